package follower

import (
	"context"
	"fmt"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// hintBuffer is the number of announcements that may wait for the loop.
const hintBuffer = 256

// loop is the follower's goroutine. At most one call to the store and one to a
// peer are under way; neither holds the loop up.
type loop struct {
	f       *Follower
	timer   *time.Timer
	polling bool
	// reload makes the next read of the store take the whole snapshot, since
	// its entries do not follow the version in force.
	reload   bool
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
		if err := l.f.apply(o); err != nil {
			l.f.refuse(o, err)
		}
	}
}

func (l *loop) takeFromStore(ctx context.Context, o offer) {
	l.polling = false
	if o.err != nil {
		refused(reasonStoreFailed)
		l.f.options.Log.Warn("config: Store not read.", "error", o.err)
		l.timer.Reset(l.nextPoll())
		return
	}
	before := l.f.Version()
	l.reload = false
	if err := l.f.apply(o); err != nil {
		l.f.refuse(o, err)
		l.reload = true
		l.timer.Reset(l.nextPoll())
		return
	}
	if len(o.entries) > 0 && l.f.Version() > before {
		l.poll(ctx) // There may be another page.
		return
	}
	l.timer.Reset(l.nextPoll())
}

func (l *loop) takeFromPeer(ctx context.Context, o offer) {
	l.fetching = false
	delete(l.announced, o.node)
	if o.err != nil {
		refused(reasonPeerFailed)
		l.f.options.Log.Warn("config: Peer not read.", "node", o.node, "error", o.err)
	} else if err := l.f.apply(o); err != nil {
		l.f.refuse(o, err)
	}
	l.fetch(ctx)
}

func (l *loop) nextPoll() time.Duration {
	period := float64(l.f.options.PollEvery)
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
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, l.f.options.Timeout)
		defer cancel()
		l.f.deliver(ctx, l.f.fetchFrom(callCtx, node, from))
	}()
}

// newestAnnounced picks a node and forgets announcements that are in force.
// Among nodes of the same version the first by name is asked.
func (l *loop) newestAnnounced() (string, bool) {
	best := ""
	current := l.f.Version()
	for node, version := range l.announced {
		if version <= current {
			delete(l.announced, node)
			continue
		}
		newer := best == "" || version > l.announced[best]
		if newer || (version == l.announced[best] && node < best) {
			best = node
		}
	}
	return best, best != ""
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
