package cachewatch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// fakeTarget has parts cached and loses its history when the test sets historyLost.
type fakeTarget struct {
	mu          sync.Mutex
	epoch       string
	start       int64
	log         []control.PromptPart
	cached      map[uint64]int
	historyLost bool
	down        bool
	listings    int
}

func (f *fakeTarget) set(id uint64, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cached[id] = tokens
	f.log = append(f.log, control.PromptPart{ID: id, Tokens: tokens})
}

// List implements Source.
func (f *fakeTarget) List(context.Context, string) (Update, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Update{}, errors.New("down")
	}
	f.listings++
	f.historyLost = false
	update := Update{Epoch: f.epoch, Start: f.start, Next: uint64(len(f.log))}
	for id, tokens := range f.cached {
		update.Parts = append(update.Parts, control.PromptPart{ID: id, Tokens: tokens})
	}
	return update, nil
}

// Changes implements Source.
func (f *fakeTarget) Changes(_ context.Context, _ string, after uint64, _ time.Duration) (Update, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Update{}, errors.New("down")
	}
	after = min(after, uint64(len(f.log)))
	return Update{Epoch: f.epoch, Start: f.start, Next: uint64(len(f.log)), Lost: f.historyLost, Parts: f.log[after:]}, nil
}

// TestWatcherTracksTarget checks that what a target has cached is known soon, also after it lost
// its history, restarted or was unreachable.
func TestWatcherTracksTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &fakeTarget{epoch: "1", cached: map[uint64]int{7: 100}}
		var mu sync.Mutex
		known := make(map[uint64]int)
		w := New(target, func(update control.TargetCacheReported) {
			mu.Lock()
			defer mu.Unlock()
			if update.Full {
				clear(known)
			}
			for _, part := range update.Parts {
				known[part.ID] = part.Tokens
			}
		}, slog.New(slog.DiscardHandler))
		defer w.Close()
		w.SetTargets(map[string]string{"e": "127.0.0.1:1"})
		check := func(within time.Duration, id uint64, tokens int) {
			t.Helper()
			time.Sleep(within)
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			if known[id] != tokens {
				t.Errorf("part %d: %d tokens known, %d cached", id, known[id], tokens)
			}
		}
		check(time.Second, 7, 100)
		target.set(8, 200)
		check(3*time.Second, 8, 200)
		target.mu.Lock()
		target.historyLost = true
		delete(target.cached, 7)
		target.mu.Unlock()
		check(3*time.Second, 7, 0)
		target.mu.Lock()
		target.epoch, target.log, target.cached = "2", nil, map[uint64]int{9: 300}
		target.mu.Unlock()
		check(3*time.Second, 9, 300)
		// The next start under the same name may use the same numbers.
		target.mu.Lock()
		target.start, target.cached = 2, map[uint64]int{10: 400}
		target.mu.Unlock()
		check(3*time.Second, 9, 0)
		check(0, 10, 400)
		target.mu.Lock()
		target.down = true
		target.mu.Unlock()
		time.Sleep(5 * time.Second)
		target.mu.Lock()
		target.down = false
		target.mu.Unlock()
		target.set(10, 400)
		check(15*time.Second, 10, 400)
		if target.listings != 4 {
			t.Errorf("%d listings, 4 were needed", target.listings)
		}
	})
}

// TestCloseEndsBesideSetTargets guards against a Close that waits forever for targets that
// SetTargets adds at the same time.
func TestCloseEndsBesideSetTargets(t *testing.T) {
	for range 200 {
		w := New(&fakeTarget{cached: map[uint64]int{}}, func(control.TargetCacheReported) {}, slog.New(slog.DiscardHandler))
		var setters, started sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for range 4 {
			started.Add(1)
			setters.Go(func() {
				started.Done()
				for ctx.Err() == nil {
					w.SetTargets(map[string]string{"e": "127.0.0.1:1"})
				}
			})
		}
		started.Wait()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			w.Close()
		}()
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("Close does not return")
		}
		cancel()
		setters.Wait()
	}
}
