package orders

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

// denying is a weight store that counts what it is asked and denies it.
type denying struct {
	store.Weights
	mu    sync.Mutex
	asked int
}

func (d *denying) RequestFetch(context.Context, store.WeightFetch) (store.WeightPermit, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	return store.WeightPermit{RetryAfter: time.Second}, nil
}

// However many targets wait, a router asks once for each pause, and the pauses
// double up to a bound.
func TestDeniedRouterAsksOnceEachPause(t *testing.T) {
	store := &denying{}
	now := time.Unix(1000, 0)
	p := newPermits(store, func() time.Time { return now })
	p.random = func() float64 { return 0.5 }
	for round, want := range []time.Duration{1, 2, 4, 8, 8} {
		var all sync.WaitGroup
		for n := range 20 {
			all.Go(func() {
				granted, wait, err := p.take(t.Context(), fmt.Sprintf("target-%d", n), "a")
				if granted || err != nil || wait != want*time.Second {
					t.Errorf("round %d: granted %v, wait %v, %v", round, granted, wait, err)
				}
			})
		}
		all.Wait()
		if store.asked != round+1 {
			t.Fatalf("asked %d times in %d pauses", store.asked, round+1)
		}
		now = now.Add(want * time.Second)
	}
}
