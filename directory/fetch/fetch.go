// Package fetch obtains the directory from peers that announced a newer one. It asks one peer
// at a time, and another one beside it while no answer arrives. How long a fetch may take is
// bounded by its progress and not by its duration: an answer that arrives slowly, as peers and
// this router do while they are overloaded, is never given up.
package fetch

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
)

const (
	// stalledAfter is the time without a byte of the answer after which another peer is asked
	// as well. Peers answer within some milliseconds.
	stalledAfter = 200 * time.Millisecond
	// checkInterval is the interval at which fetches are checked for that.
	checkInterval = stalledAfter / 4
	// maxFetches is the largest number of fetches in progress.
	maxFetches = 3
	// searchTime is the time without a byte of the answer after which, of maxFetches in progress,
	// the latest is replaced by one from a peer that has not been asked yet.
	searchTime = 500 * time.Millisecond
	// minPatience is the time without a byte of the answer after which any other fetch may be
	// replaced. It doubles with each replacement up to maxPatience, until a fetch succeeds: if
	// all peers are slow, some fetch must be given the time that it needs.
	minPatience = 2 * time.Second
	maxPatience = 8 * time.Second
	// maxWaiting bounds the announcements that are remembered while fetches are in progress.
	maxWaiting = 8
)

var (
	succeeded = metrics.GetOrCreateCounter(`walnut_router_directory_fetches_total{result="ok"}`)
	failed    = metrics.GetOrCreateCounter(`walnut_router_directory_fetches_total{result="failed"}`)
	replaced  = metrics.GetOrCreateCounter(`walnut_router_directory_fetches_total{result="replaced"}`)
	overtaken = metrics.GetOrCreateCounter(`walnut_router_directory_fetches_total{result="overtaken"}`)
	fetchTime = metrics.GetOrCreateHistogram(`walnut_router_directory_fetch_seconds`)
)

// Reasons to end a fetch before its answer is complete.
var (
	errReplaced  = errors.New("no answer arrives, asking another peer")
	errOvertaken = errors.New("another peer has answered")
)

// Options configure a Fetcher. All are required.
type Options struct {
	// Call asks a peer for its directory and returns the encoded answer. It calls onBytes as
	// bytes arrive, and returns once ctx ends.
	Call func(ctx context.Context, node control.NodeID, onBytes func(count int)) ([]byte, error)
	// Merge merges a peer's encoded directory.
	Merge func(node control.NodeID, encoded []byte) error
	Log   *slog.Logger
}

// Fetcher fetches the directory from peers. It is safe for concurrent use.
type Fetcher struct {
	options Options

	mu sync.Mutex
	// inProgress holds the fetches in order of their start.
	inProgress []*fetch
	// waiting holds the peers to ask next, the latest announcement last.
	waiting []candidate
	// asked holds the peers that were asked since a fetch last succeeded.
	asked    map[control.NodeID]bool
	patience time.Duration
	// check fires at checkAt, as long as fetches are in progress.
	check   *time.Timer
	checkAt time.Time
}

// candidate is a peer that announced a newer directory.
type candidate struct {
	node control.NodeID
	// isNeeded reports whether this router still lacks what the peer announced.
	isNeeded func() bool
}

// fetch is a fetch in progress.
type fetch struct {
	node      control.NodeID
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// progressAt is when the last byte arrived, or the start, and bytes the number of bytes.
	progressAt time.Time
	bytes      int
	// merging reports that the answer is complete and being merged.
	merging bool
}

// New returns a Fetcher.
func New(options Options) *Fetcher {
	return &Fetcher{options: options, asked: make(map[control.NodeID]bool), patience: minPatience}
}

// Announced fetches the directory from a peer that announced something newer, now or once the
// fetches in progress have ended or stalled. isNeeded reports whether this router still lacks
// it; it must not block. Announced does not block.
func (f *Fetcher) Announced(node control.NodeID, isNeeded func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = slices.DeleteFunc(f.waiting, func(c candidate) bool { return c.node == node })
	if len(f.waiting) == maxWaiting {
		f.waiting = slices.Delete(f.waiting, 0, 1)
	}
	f.waiting = append(f.waiting, candidate{node, isNeeded})
	f.schedule()
}

// InProgress returns the number of fetches in progress.
func (f *Fetcher) InProgress() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.inProgress)
}

// schedule begins the next fetch if there is a reason to. f.mu must be held.
func (f *Fetcher) schedule() {
	now := time.Now()
	f.discountLag(now)
	for _, in := range f.inProgress {
		if !in.isStalled(now, stalledAfter) {
			return
		}
	}
	next, found := f.nextCandidate()
	if !found {
		return
	}
	if len(f.inProgress) >= maxFetches && !f.replaceOne(now, f.asked[next.node]) {
		f.waiting = append(f.waiting, next)
		return
	}
	f.begin(next.node)
}

// nextCandidate removes and returns the first waiting peer that is needed and not being asked;
// peers that were not asked before go first. f.mu must be held.
func (f *Fetcher) nextCandidate() (next candidate, found bool) {
	f.waiting = slices.DeleteFunc(f.waiting, func(c candidate) bool { return !c.isNeeded() })
	for _, asked := range []bool{false, true} {
		for i, c := range f.waiting {
			if f.asked[c.node] == asked && !f.isAsking(c.node) {
				f.waiting = slices.Delete(f.waiting, i, i+1)
				return c, true
			}
		}
	}
	return candidate{}, false
}

// isAsking reports whether a fetch from a peer is in progress. f.mu must be held.
func (f *Fetcher) isAsking(node control.NodeID) bool {
	return slices.ContainsFunc(f.inProgress, func(in *fetch) bool { return in.node == node })
}

// replaceOne ends a fetch that has been stalled for too long to make room for another one;
// askedBefore reports whether its peer was asked before. f.mu must be held.
func (f *Fetcher) replaceOne(now time.Time, askedBefore bool) bool {
	latest := f.inProgress[len(f.inProgress)-1]
	oldest := slices.MinFunc(f.inProgress, func(a, b *fetch) int { return a.progressAt.Compare(b.progressAt) })
	switch {
	case !askedBefore && latest.isStalled(now, searchTime):
		f.replace(latest)
	case oldest.isStalled(now, f.patience):
		f.patience = min(2*f.patience, maxPatience)
		f.replace(oldest)
	default:
		return false
	}
	return true
}

func (f *Fetcher) replace(in *fetch) {
	f.remove(in)
	in.cancel(errReplaced)
}

// isStalled reports whether no byte has arrived for the given time.
func (in *fetch) isStalled(now time.Time, after time.Duration) bool {
	return !in.merging && now.Sub(in.progressAt) >= after
}

// begin starts a fetch. f.mu must be held.
func (f *Fetcher) begin(node control.NodeID) {
	ctx, cancel := context.WithCancelCause(context.Background())
	now := time.Now()
	in := &fetch{node: node, cancel: cancel, startedAt: now, progressAt: now}
	f.inProgress = append(f.inProgress, in)
	f.asked[node] = true
	if len(f.inProgress) == 1 {
		f.armCheck()
	}
	go f.run(ctx, in)
}

// armCheck sets when the fetches are checked next. f.mu must be held.
func (f *Fetcher) armCheck() {
	f.checkAt = time.Now().Add(checkInterval)
	if f.check == nil {
		f.check = time.AfterFunc(checkInterval, f.checkStalled)
		return
	}
	f.check.Reset(checkInterval)
}

// checkStalled begins another fetch if those in progress have stalled.
func (f *Fetcher) checkStalled() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.inProgress) > 0 {
		f.schedule()
		f.armCheck()
	}
}

// discountLag extends the fetches in progress by the time for which a check is overdue: this process
// did not run, and answers may wait to be read. f.mu must be held.
func (f *Fetcher) discountLag(now time.Time) {
	lag := now.Sub(f.checkAt)
	if lag <= 0 {
		return
	}
	for _, in := range f.inProgress {
		in.progressAt = in.progressAt.Add(lag)
	}
	f.checkAt = now
}

// run carries out a fetch and begins the next one.
func (f *Fetcher) run(ctx context.Context, in *fetch) {
	defer in.cancel(nil)
	encoded, err := f.options.Call(ctx, in.node, func(count int) { f.noteProgress(in, count) })
	fetchTime.UpdateDuration(in.startedAt)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err == nil {
		err = f.merge(in, encoded)
	}
	f.end(in, err)
}

// noteProgress records that bytes of an answer have arrived.
func (f *Fetcher) noteProgress(in *fetch, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in.progressAt = time.Now()
	in.bytes += count
}

// merge merges an answer. Other fetches that have not received anything are ended.
func (f *Fetcher) merge(in *fetch, encoded []byte) error {
	f.mu.Lock()
	in.merging = true
	others := len(f.inProgress) - 1
	f.mu.Unlock()
	received := time.Now()
	if err := f.options.Merge(in.node, encoded); err != nil {
		return err
	}
	f.options.Log.Info("directory: Fetched a peer's directory.", "node", in.node, "bytes", len(encoded),
		"fetch", received.Sub(in.startedAt), "merge", time.Since(received), "others_asked", others)
	return nil
}

// end removes a fetch and begins the next one, if one is needed.
func (f *Fetcher) end(in *fetch, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(in)
	switch {
	case err == nil:
		succeeded.Inc()
		f.patience = minPatience
		clear(f.asked)
		f.endStalled()
	case errors.Is(err, errReplaced):
		replaced.Inc()
	case errors.Is(err, errOvertaken):
		overtaken.Inc()
	default:
		failed.Inc()
	}
	if err != nil && !errors.Is(err, errOvertaken) {
		f.options.Log.Warn("directory: Could not fetch a peer's directory.", "node", in.node, "after", time.Since(in.startedAt),
			"bytes", in.bytes, "in_progress", len(f.inProgress), "error", err)
	}
	f.schedule()
}

// endStalled ends the fetches that have not received anything. f.mu must be held.
func (f *Fetcher) endStalled() {
	for _, in := range slices.Clone(f.inProgress) {
		if in.bytes == 0 {
			f.remove(in)
			in.cancel(errOvertaken)
		}
	}
}

// remove removes a fetch from those in progress. f.mu must be held.
func (f *Fetcher) remove(in *fetch) {
	f.inProgress = slices.DeleteFunc(f.inProgress, func(other *fetch) bool { return other == in })
}
