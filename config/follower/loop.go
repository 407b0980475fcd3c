package follower

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// maxPendingAnnouncements is the number of announcements buffered for the loop.
const maxPendingAnnouncements = 256

// maxBackoffDoublings limits how often the poll interval is doubled after
// rejected content.
const maxBackoffDoublings = 5

// loop is the state of the follower's goroutine. At most one call to the store
// and one to a peer are in progress; neither blocks the loop.
type loop struct {
	f       *Follower
	timer   *time.Timer
	polling bool
	// reloadSnapshot makes the next poll load the complete snapshot, since the
	// store's entries do not follow the version in force.
	reloadSnapshot bool
	// rejectedInARow counts the store's responses rejected since the last one that
	// took effect.
	rejectedInARow int
	// storeFailing is set while the last read of the store failed.
	storeFailing bool
	fetching     bool
	// announced is the newest version announced by each router, by its name.
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
		case a := <-l.f.announcements:
			l.announced[a.node] = max(a.version, l.announced[a.node])
			l.fetch(ctx)
		case c := <-l.f.candidates:
			l.handle(ctx, c)
		}
	}
}

// handle processes one candidate.
func (l *loop) handle(ctx context.Context, c candidate) {
	switch c.source {
	case fromStore:
		l.handleStoreResult(ctx, c)
	case fromPeer:
		l.handlePeerResult(ctx, c)
	default:
		l.handleOperatorEntry(ctx, c)
	}
}

// handleOperatorEntry applies an entry that the store has accepted. If earlier
// versions are missing here, it polls the store for them.
func (l *loop) handleOperatorEntry(ctx context.Context, c candidate) {
	err := l.f.apply(c)
	if err == nil {
		return
	}
	l.f.reject(c, err)
	l.poll(ctx)
}

func (l *loop) handleStoreResult(ctx context.Context, c candidate) {
	l.polling = false
	err := c.err
	before := l.f.Version()
	if err == nil {
		l.recordStoreSuccess()
		err = l.f.apply(c)
	}
	switch {
	case err != nil && isContentError(err):
		l.f.reject(c, err)
		l.reloadSnapshot = true
		l.rejectedInARow++
	case err != nil:
		l.recordStoreFailure(err)
	case l.f.Version() > before && len(c.entries) > 0:
		l.reloadSnapshot = false
		l.rejectedInARow = 0
		l.poll(ctx) // There may be another page of entries.
		return
	default:
		l.reloadSnapshot = false
		if l.f.Version() > before {
			l.rejectedInARow = 0
		}
	}
	l.timer.Reset(l.nextPollDelay())
}

// recordStoreFailure counts every failure and logs the first of an outage.
func (l *loop) recordStoreFailure(err error) {
	failureCounters[failureStore].Inc()
	if !l.storeFailing {
		l.f.options.Log.Warn("config: Reading the store failed.", "error", err)
	}
	l.storeFailing = true
}

func (l *loop) recordStoreSuccess() {
	if l.storeFailing {
		l.f.options.Log.Info("config: Reading the store succeeded again.")
	}
	l.storeFailing = false
}

// isContentError reports whether an error was caused by the content that was
// read, not by the read itself.
func isContentError(err error) bool { return reasonOf(err) != reasonOther }

func (l *loop) handlePeerResult(ctx context.Context, c candidate) {
	l.fetching = false
	if l.announced[c.node] <= c.announced {
		delete(l.announced, c.node) // Fetched or failed; that router's next announcement causes another fetch.
	}
	err := c.err
	if err == nil {
		err = l.f.apply(c)
	}
	if err != nil && isContentError(err) {
		l.f.reject(c, err)
	} else if err != nil {
		failureCounters[failurePeer].Inc()
		l.f.options.Log.Warn("config: Fetching from a peer failed.", "node", c.node, "error", err)
	}
	l.fetch(ctx)
}

// nextPollDelay returns the time until the next poll: the poll interval with
// jitter. The interval is doubled for each rejected response in a row, since a
// poll that follows a rejection loads the complete snapshot.
func (l *loop) nextPollDelay() time.Duration {
	period := float64(l.f.options.PollEvery << min(l.rejectedInARow, maxBackoffDoublings))
	return time.Duration(period * (1 + pollJitter*(2*l.f.options.Random.Float64()-1)))
}

// poll reads the store: first the complete snapshot, later the entries after the
// version in force.
func (l *loop) poll(ctx context.Context) {
	if l.polling {
		return
	}
	l.polling = true
	current := l.f.Current()
	loadSnapshot := current == nil || l.reloadSnapshot
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, l.f.options.Timeout)
		defer cancel()
		c := candidate{source: fromStore}
		if loadSnapshot {
			c.snapshot, c.err = l.f.options.Source.Load(callCtx)
		} else {
			c.entries, c.err = l.f.options.Source.Since(callCtx, current.Version)
		}
		l.f.deliver(ctx, c)
	}()
}

// fetch fetches from a router that announced the newest version, if that is
// newer than the version in force.
func (l *loop) fetch(ctx context.Context) {
	if l.fetching || l.f.options.Peers == nil {
		return
	}
	node, found := l.pickNewestPeer()
	if !found {
		return
	}
	l.fetching = true
	from := l.f.Version()
	announced := l.announced[node]
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, l.f.options.Timeout)
		defer cancel()
		c := l.f.fetchFrom(callCtx, node, from)
		c.announced = announced
		l.f.deliver(ctx, c)
	}()
}

// pickNewestPeer returns one of the routers that announced the newest version,
// at random so that the fleet does not fetch from a single router. It removes
// announcements of versions that are not newer than the one in force.
func (l *loop) pickNewestPeer() (string, bool) {
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

// fetchFrom fetches from one peer. It decodes and verifies a snapshot in the
// calling goroutine, outside the loop.
func (f *Follower) fetchFrom(ctx context.Context, node string, from config.Version) candidate {
	c := candidate{source: fromPeer, node: node}
	update, err := f.options.Peers.Fetch(ctx, node, from)
	if err != nil {
		c.err = fmt.Errorf("config follower: fetch: %w", err)
		return c
	}
	c.entries = update.Entries
	if len(update.Snapshot) > 0 {
		c.snapshot, c.err = config.DecodeSnapshot(update.Snapshot)
	}
	return c
}
