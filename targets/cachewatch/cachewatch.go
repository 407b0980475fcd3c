// Package cachewatch follows what targets keep of prompts, so that a scheduler
// places requests by what is there and not only by what it placed itself. Targets
// tell late and lose some; nothing rests on it but the choice of a target.
package cachewatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/wait"
)

const (
	// pace is the mean time between two calls to a target. A call that finds news
	// at once counts as a probe there; more often is hardly better informed.
	pace = time.Second
	// longHold is how long one call waits for news.
	longHold = time.Second
	// callMargin is how much longer than longHold a call may take.
	callMargin = time.Second
	// firstSpread spreads the first calls of a new scheduler.
	firstSpread = 150 * time.Millisecond
	// maxPause bounds the pause after calls that failed.
	maxPause = 8 * time.Second
)

var (
	calls    = metrics.GetOrCreateCounter(`walnut_cachewatch_calls_total`)
	failures = metrics.GetOrCreateCounter(`walnut_cachewatch_failures_total`)
	listings = metrics.GetOrCreateCounter(`walnut_cachewatch_listings_total`)
)

// News is what a target tells of the parts that it keeps.
type News struct {
	// Epoch changes when the target starts anew, and with it its numbering.
	Epoch string
	// Start tells one start of the target from the next; zero: it does not tell.
	Start int64
	// Next is where the next call goes on.
	Next uint64
	// Lost says that news before these are missing.
	Lost bool
	// Parts are the changed parts, or in a listing all, with the tokens kept now.
	Parts []control.PromptPart
}

// Source asks targets.
type Source interface {
	// Kept lists everything that the target at an address keeps.
	Kept(ctx context.Context, address string) (News, error)
	// Changes returns what changed behind a number, waiting for it for a while.
	Changes(ctx context.Context, address string, after uint64, wait time.Duration) (News, error)
}

// Watcher follows a set of targets. Create it with New.
type Watcher struct {
	source Source
	// told gets what a target keeps.
	told func(control.TargetCacheReported)
	log  *slog.Logger

	mu      sync.Mutex
	watched map[string]*watch
	closed  bool
	running sync.WaitGroup
}

// watch is one followed target.
type watch struct {
	address string
	cancel  context.CancelFunc
}

// New returns a watcher of no targets.
func New(source Source, told func(control.TargetCacheReported), log *slog.Logger) *Watcher {
	return &Watcher{source: source, told: told, log: log, watched: make(map[string]*watch)}
}

// SetTargets replaces the set of followed targets, given by name and address.
func (w *Watcher) SetTargets(addresses map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	for name, one := range w.watched {
		if addresses[name] != one.address {
			one.cancel()
			delete(w.watched, name)
		}
	}
	for name, address := range addresses {
		if w.watched[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		w.watched[name] = &watch{address: address, cancel: cancel}
		w.running.Go(func() { w.follow(ctx, name, address) })
	}
}

// Close ends all calls.
func (w *Watcher) Close() {
	w.SetTargets(nil)
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.running.Wait()
}

// follow asks one target until ctx ends.
func (w *Watcher) follow(ctx context.Context, name, address string) {
	wait.For(ctx, rand.N(firstSpread))
	var last News
	listed := false
	pause := pace
	for ctx.Err() == nil {
		news, err := w.ask(ctx, address, listed, last.Next)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			failures.Inc()
			if pause == pace {
				w.log.Warn("cachewatch: Target does not tell what it keeps.", "target", name, "error", err)
			}
			pause = min(2*pause, maxPause)
		case listed && (news.Lost || news.Epoch != last.Epoch || news.Start != last.Start):
			listed = false
			continue
		default:
			w.told(control.TargetCacheReported{Target: name, Start: news.Start, Full: !listed, Parts: news.Parts})
			last, listed, pause = news, true, pace
		}
		wait.For(ctx, pause/2+rand.N(pause))
	}
}

func (w *Watcher) ask(ctx context.Context, address string, listed bool, after uint64) (News, error) {
	calls.Inc()
	ctx, cancel := context.WithTimeout(ctx, longHold+callMargin)
	defer cancel()
	if !listed {
		listings.Inc()
		return w.source.Kept(ctx, address)
	}
	return w.source.Changes(ctx, address, after, longHold)
}
