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

// fakeTarget keeps parts and loses its history when told to.
type fakeTarget struct {
	mu    sync.Mutex
	epoch string
	start int64
	log   []control.PromptPart
	kept  map[uint64]int
	lost  bool
	down  bool
	lists int
}

func (f *fakeTarget) set(id uint64, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept[id] = tokens
	f.log = append(f.log, control.PromptPart{ID: id, Tokens: tokens})
}

// Kept implements Source.
func (f *fakeTarget) Kept(context.Context, string) (News, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return News{}, errors.New("down")
	}
	f.lists++
	f.lost = false
	news := News{Epoch: f.epoch, Start: f.start, Next: uint64(len(f.log))}
	for id, tokens := range f.kept {
		news.Parts = append(news.Parts, control.PromptPart{ID: id, Tokens: tokens})
	}
	return news, nil
}

// Changes implements Source.
func (f *fakeTarget) Changes(_ context.Context, _ string, after uint64, _ time.Duration) (News, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return News{}, errors.New("down")
	}
	after = min(after, uint64(len(f.log)))
	return News{Epoch: f.epoch, Start: f.start, Next: uint64(len(f.log)), Lost: f.lost, Parts: f.log[after:]}, nil
}

// TestWatcherKeepsUp: what a target keeps is known here soon, also after it lost
// its history, started anew or was away.
func TestWatcherKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &fakeTarget{epoch: "1", kept: map[uint64]int{7: 100}}
		var mu sync.Mutex
		known := make(map[uint64]int)
		w := New(target, func(kept control.TargetCacheReported) {
			mu.Lock()
			defer mu.Unlock()
			if kept.Full {
				clear(known)
			}
			for _, part := range kept.Parts {
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
				t.Errorf("part %d: %d tokens known, %d kept", id, known[id], tokens)
			}
		}
		check(time.Second, 7, 100)
		target.set(8, 200)
		check(3*time.Second, 8, 200)
		target.mu.Lock()
		target.lost = true
		delete(target.kept, 7)
		target.mu.Unlock()
		check(3*time.Second, 7, 0)
		target.mu.Lock()
		target.epoch, target.log, target.kept = "2", nil, map[uint64]int{9: 300}
		target.mu.Unlock()
		check(3*time.Second, 9, 300)
		// The next start under the same name may number its news alike.
		target.mu.Lock()
		target.start, target.kept = 2, map[uint64]int{10: 400}
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
		if target.lists != 4 {
			t.Errorf("%d listings, 4 were needed", target.lists)
		}
	})
}
