package orders

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

// denyingWeights is a weight store that counts and denies all requests.
type denyingWeights struct {
	store.Weights
	mu       sync.Mutex
	requests int
}

func (d *denyingWeights) RequestFetch(context.Context, store.WeightFetch) (store.WeightPermit, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests++
	return store.WeightPermit{RetryAfter: time.Second}, nil
}

// TestDeniedRouterRequestsOncePerPause checks that a router sends one request per
// pause, however many targets wait for a permit, and that the pauses double up to a
// bound.
func TestDeniedRouterRequestsOncePerPause(t *testing.T) {
	weights := &denyingWeights{}
	now := time.Unix(1000, 0)
	p := newPermitClient(weights, func() time.Time { return now })
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
		if weights.requests != round+1 {
			t.Fatalf("%d requests in %d pauses", weights.requests, round+1)
		}
		now = now.Add(want * time.Second)
	}
}
