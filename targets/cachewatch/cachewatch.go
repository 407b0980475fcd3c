// Package cachewatch tracks which parts of prompts targets keep cached, so that a scheduler
// places requests by what is actually there and not only by its own earlier placements. Targets
// report late and lose some changes; only the choice of a target depends on this data.
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
	// meanInterval is the mean pause between two calls to a target. A target counts a call that
	// finds changes at once as a probe; calling more often hardly improves the data.
	meanInterval = time.Second
	// changesHold is how long one call waits for changes.
	changesHold = time.Second
	// callMargin is how much longer than changesHold a call may take.
	callMargin = time.Second
	// startJitter spreads the first calls of a new scheduler.
	startJitter = 150 * time.Millisecond
	// maxPause bounds the pause after failed calls.
	maxPause = 8 * time.Second
)

var (
	calls    = metrics.GetOrCreateCounter(`walnut_cachewatch_calls_total`)
	failures = metrics.GetOrCreateCounter(`walnut_cachewatch_failures_total`)
	listings = metrics.GetOrCreateCounter(`walnut_cachewatch_listings_total`)
)

// Update is what a target reports about the prompt parts that it has cached.
type Update struct {
	// Epoch changes when the target restarts, and with it its numbering of changes.
	Epoch string
	// Start distinguishes one start of the target from the next; zero if the target does not
	// report it.
	Start int64
	// Next is the number after which the next call continues.
	Next uint64
	// Lost reports that earlier changes are missing.
	Lost bool
	// Parts are the changed parts, or in a listing all parts, with the number of tokens cached
	// now.
	Parts []control.PromptPart
}

// Source queries targets.
type Source interface {
	// List returns everything that the target at an address has cached.
	List(ctx context.Context, address string) (Update, error)
	// Changes returns what changed after a number, waiting up to the given time for a change.
	Changes(ctx context.Context, address string, after uint64, wait time.Duration) (Update, error)
}

// Watcher follows a set of targets. Create it with New.
type Watcher struct {
	source Source
	// onUpdate receives what a target has cached.
	onUpdate func(control.TargetCacheReported)
	log      *slog.Logger

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

// New returns a watcher without targets.
func New(source Source, onUpdate func(control.TargetCacheReported), log *slog.Logger) *Watcher {
	return &Watcher{source: source, onUpdate: onUpdate, log: log, watched: make(map[string]*watch)}
}

// SetTargets replaces the set of followed targets, given by name and address. It does nothing
// after Close.
func (w *Watcher) SetTargets(addresses map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.setTargets(addresses)
	}
}

// setTargets implements SetTargets. w.mu must be held.
func (w *Watcher) setTargets(addresses map[string]string) {
	for name, current := range w.watched {
		if addresses[name] != current.address {
			current.cancel()
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

// Close cancels all calls and waits for them to end.
func (w *Watcher) Close() {
	w.mu.Lock()
	w.closed = true
	w.setTargets(nil)
	w.mu.Unlock()
	w.running.Wait()
}

// follow polls one target until ctx ends.
func (w *Watcher) follow(ctx context.Context, name, address string) {
	wait.For(ctx, rand.N(startJitter))
	var last Update
	listed := false
	pause := meanInterval
	for ctx.Err() == nil {
		update, err := w.fetch(ctx, address, listed, last.Next)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			failures.Inc()
			if pause == meanInterval {
				w.log.Warn("cachewatch: Cannot read what a target has cached.", "target", name, "error", err)
			}
			pause = min(2*pause, maxPause)
		case listed && (update.Lost || update.Epoch != last.Epoch || update.Start != last.Start):
			listed = false
			continue
		default:
			w.onUpdate(control.TargetCacheReported{Target: name, Start: update.Start, Full: !listed, Parts: update.Parts})
			last, listed, pause = update, true, meanInterval
		}
		wait.For(ctx, pause/2+rand.N(pause))
	}
}

func (w *Watcher) fetch(ctx context.Context, address string, listed bool, after uint64) (Update, error) {
	calls.Inc()
	ctx, cancel := context.WithTimeout(ctx, changesHold+callMargin)
	defer cancel()
	if !listed {
		listings.Inc()
		return w.source.List(ctx, address)
	}
	return w.source.Changes(ctx, address, after, changesHold)
}
