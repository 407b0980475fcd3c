package follower

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// hintBuffer is the number of announcements that may wait for the loop.
const hintBuffer = 256

// maxRefusalDoublings bounds how far refused content lengthens the poll period.
const maxRefusalDoublings = 5

// loop is the follower's goroutine. At most one call to the store and one to a
// peer are under way; neither holds the loop up.
type loop struct {
	f       *Follower
	timer   *time.Timer
	polling bool
	// reload makes the next read of the store take the whole snapshot, since
	// its entries do not follow the version in force.
	reload bool
	// refusals counts the contents of the store refused since the last that
	// came into force.
	refusals int
	// outage says that the last read of the store failed.
	outage   bool
	fetching bool
	// announced is the newest version announced by each node.
	announced map[string]config.Version
}

func newLoop(f *Follower) *loop {
	return &loop{f: f, announced: make(map[string]config.Version)}
}

func (l *loop) run(ctx context.Context) {
	l.timer = time.NewTimer(0)
	defer l.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.timer.C:
			l.poll(ctx)
		case h := <-l.f.hints:
			l.announced[h.node] = max(h.version, l.announced[h.node])
			l.fetch(ctx)
		case o := <-l.f.offers:
			l.take(ctx, o)
		}
	}
}

// take handles one answer or offer.
func (l *loop) take(ctx context.Context, o offer) {
	switch o.origin {
	case fromStore:
		l.takeFromStore(ctx, o)
	case fromPeer:
		l.takeFromPeer(ctx, o)
	default:
		l.takeFromOperator(ctx, o)
	}
}

// takeFromOperator applies an entry that the store has accepted. If versions
// before it are missing here, the store has them.
func (l *loop) takeFromOperator(ctx context.Context, o offer) {
	err := l.f.apply(o)
	if err == nil {
		return
	}
	l.f.refuse(o, err)
	l.poll(ctx)
}

func (l *loop) takeFromStore(ctx context.Context, o offer) {
	l.polling = false
	err := o.err
	before := l.f.Version()
	if err == nil {
		l.storeAnswered()
		err = l.f.apply(o)
	}
	switch {
	case err != nil && isContent(err):
		l.f.refuse(o, err)
		l.reload = true
		l.refusals++
	case err != nil:
		l.storeFailed(err)
	case l.f.Version() > before && len(o.entries) > 0:
		l.reload = false
		l.refusals = 0
		l.poll(ctx) // There may be another page.
		return
	default:
		l.reload = false
		if l.f.Version() > before {
			l.refusals = 0
		}
	}
	l.timer.Reset(l.nextPoll())
}

// storeFailed counts every failure and logs the first of an outage.
func (l *loop) storeFailed(err error) {
	failures[failureStore].Inc()
	if !l.outage {
		l.f.options.Log.Warn("config: Store not read.", "error", err)
	}
	l.outage = true
}

func (l *loop) storeAnswered() {
	if l.outage {
		l.f.options.Log.Info("config: Store read again.")
	}
	l.outage = false
}

// isContent says that an error lies in what was read, not in reading it.
func isContent(err error) bool { return refusalReason(err) != reasonOther }

func (l *loop) takeFromPeer(ctx context.Context, o offer) {
	l.fetching = false
	if l.announced[o.node] <= o.asked {
		delete(l.announced, o.node) // Answered or failed; the next announcement asks again.
	}
	err := o.err
	if err == nil {
		err = l.f.apply(o)
	}
	if err != nil && isContent(err) {
		l.f.refuse(o, err)
	} else if err != nil {
		failures[failurePeer].Inc()
		l.f.options.Log.Warn("config: Peer not read.", "node", o.node, "error", err)
	}
	l.fetch(ctx)
}

// nextPoll is the time to the next poll: the period with jitter, longer after
// content that was refused, since reading it again reads it whole.
func (l *loop) nextPoll() time.Duration {
	period := float64(l.f.options.PollEvery << min(l.refusals, maxRefusalDoublings))
	return time.Duration(period * (1 + pollJitter*(2*l.f.options.Random.Float64()-1)))
}

// poll reads the store: whole at the start, then the entries that follow.
func (l *loop) poll(ctx context.Context) {
	if l.polling {
		return
	}
	l.polling = true
	current := l.f.Current()
	whole := current == nil || l.reload
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, l.f.options.Timeout)
		defer cancel()
		o := offer{origin: fromStore}
		if whole {
			o.snapshot, o.err = l.f.options.Source.Load(callCtx)
		} else {
			o.entries, o.err = l.f.options.Source.Since(callCtx, current.Version)
		}
		l.f.deliver(ctx, o)
	}()
}

// fetch asks the node that announced the newest version, if it is newer than
// the version in force.
func (l *loop) fetch(ctx context.Context) {
	if l.fetching || l.f.options.Peers == nil {
		return
	}
	node, found := l.newestAnnounced()
	if !found {
		return
	}
	l.fetching = true
	from := l.f.Version()
	asked := l.announced[node]
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, l.f.options.Timeout)
		defer cancel()
		o := l.f.fetchFrom(callCtx, node, from)
		o.asked = asked
		l.f.deliver(ctx, o)
	}()
}

// newestAnnounced picks a node that announced the newest version, at random so
// that the fleet does not ask one node, and forgets what is in force already.
func (l *loop) newestAnnounced() (string, bool) {
	newest := l.f.Version()
	var nodes []string
	for _, node := range slices.Sorted(maps.Keys(l.announced)) {
		version := l.announced[node]
		if version <= l.f.Version() {
			delete(l.announced, node)
			continue
		}
		if version > newest {
			newest = version
			nodes = nodes[:0]
		}
		if version == newest {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		return "", false
	}
	return nodes[l.f.options.Random.IntN(len(nodes))], true
}

// fetchFrom asks one peer. A whole snapshot is decoded and checked here, away
// from the loop.
func (f *Follower) fetchFrom(ctx context.Context, node string, from config.Version) offer {
	o := offer{origin: fromPeer, node: node}
	update, err := f.options.Peers.Fetch(ctx, node, from)
	if err != nil {
		o.err = fmt.Errorf("config follower: fetch: %w", err)
		return o
	}
	o.entries = update.Entries
	if len(update.Whole) > 0 {
		o.snapshot, o.err = config.DecodeSnapshot(update.Whole)
	}
	return o
}
