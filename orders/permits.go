package orders

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

const (
	// permitPrefix is the prefix of the fetch IDs of this package.
	permitPrefix = "orders/"
	// defaultRetryAfter is the pause after a denial without a retry time.
	defaultRetryAfter = time.Second
	// maxDenialDoublings bounds how often denials in a row double the pause.
	maxDenialDoublings = 3
)

// permitClient requests permits to load models from the platform's weight store.
// After a denial the whole router pauses its requests, longer with each denial in a
// row, so that a change of the whole fleet overloads neither the weight store nor
// the front end that it is reached through.
type permitClient struct {
	weights store.Weights
	now     func() time.Time
	random  func() float64 // from 0 to 1, for the jitter
	// requestSlot is a semaphore held by the goroutine that requests a new permit, so
	// that one denial applies to all goroutines that wait for it.
	requestSlot chan struct{}

	mu           sync.Mutex
	denialsInRow int
	// nextRequestAt is the time before which no new permit is requested.
	nextRequestAt time.Time
}

func newPermitClient(weights store.Weights, now func() time.Time) *permitClient {
	return &permitClient{weights: weights, now: now, random: rand.Float64, requestSlot: make(chan struct{}, 1)}
}

// permitID returns the fetch ID for loading a model on a target. It is the same on
// every router, so that two routers that schedule the same target share its permit,
// and a new scheduler takes over the permit of the previous one.
func permitID(targetName, model string) string {
	return permitPrefix + targetName + "/" + model
}

// take requests a permit. If it is denied, wait is the time until the next request.
func (p *permitClient) take(ctx context.Context, targetName, model string) (granted bool, wait time.Duration, err error) {
	select {
	case p.requestSlot <- struct{}{}:
		defer func() { <-p.requestSlot }()
	case <-ctx.Done():
		return false, 0, ctx.Err()
	}
	if wait := p.nextRequestIn(); wait > 0 {
		return false, wait, nil
	}
	permit, err := p.request(ctx, targetName, model)
	if err != nil {
		return false, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if permit.Granted {
		p.denialsInRow = 0
		return true, 0, nil
	}
	wait = p.denialPause(permit.RetryAfter)
	p.nextRequestAt = p.now().Add(wait)
	p.denialsInRow = min(p.denialsInRow+1, maxDenialDoublings)
	return false, wait, nil
}

// nextRequestIn returns the time until a new permit may be requested.
func (p *permitClient) nextRequestIn() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nextRequestAt.Sub(p.now())
}

// denialPause returns the pause after a denial. It doubles with each denial in a
// row, with a jitter of 50 % either way. The caller holds p.mu.
func (p *permitClient) denialPause(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	return time.Duration(float64(retryAfter<<p.denialsInRow) * (0.5 + p.random()))
}

// request requests a permit regardless of earlier denials. For a model that the
// target is already loading, this renews its permit or takes it over.
func (p *permitClient) request(ctx context.Context, targetName, model string) (store.WeightPermit, error) {
	return p.weights.RequestFetch(ctx, store.WeightFetch{
		ID:       permitID(targetName, model),
		Artifact: model,
		Target:   targetName,
	})
}

// release returns a permit to the weight store.
func (p *permitClient) release(ctx context.Context, targetName, model string) error {
	return p.weights.FinishFetch(ctx, permitID(targetName, model))
}
