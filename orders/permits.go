package orders

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

const (
	// permitPrefix begins the ids of the fetches that this package asks for.
	permitPrefix = "orders/"
	// defaultRetryAfter is the pause after a denial that names none.
	defaultRetryAfter = time.Second
	// maxDenialDoublings bounds how far denials in a row lengthen the pause.
	maxDenialDoublings = 3
)

// permits asks the platform's weight store for permits to load. After a denial
// the whole router waits, longer with each, so that a change of the whole fleet
// overruns neither the weight store nor its front.
type permits struct {
	weights store.Weights
	now     func() time.Time
	random  func() float64
	// asking is taken by the goroutine that asks for a new permit, so that one
	// denial is enough for all that wait.
	asking chan struct{}

	mu      sync.Mutex
	denials int
	// closedUntil is until when no new permit is asked for.
	closedUntil time.Time
}

func newPermits(weights store.Weights, now func() time.Time) *permits {
	return &permits{weights: weights, now: now, random: rand.Float64, asking: make(chan struct{}, 1)}
}

// permitID names the fetch of a model by a target. It is the same at every
// router, so that two that schedule one target share its permit, and the next
// scheduler takes over the permit of the one before.
func permitID(targetName, model string) string {
	return permitPrefix + targetName + "/" + model
}

// take asks for a permit. If it is not granted, wait says when to ask again.
func (p *permits) take(ctx context.Context, targetName, model string) (granted bool, wait time.Duration, err error) {
	select {
	case p.asking <- struct{}{}:
		defer func() { <-p.asking }()
	case <-ctx.Done():
		return false, 0, ctx.Err()
	}
	if wait := p.closedFor(); wait > 0 {
		return false, wait, nil
	}
	permit, err := p.renew(ctx, targetName, model)
	if err != nil {
		return false, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if permit.Granted {
		p.denials = 0
		return true, 0, nil
	}
	wait = p.pause(permit.RetryAfter)
	p.closedUntil = p.now().Add(wait)
	p.denials = min(p.denials+1, maxDenialDoublings)
	return false, wait, nil
}

func (p *permits) closedFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closedUntil.Sub(p.now())
}

// pause doubles with each denial and is jittered by half. p.mu is held.
func (p *permits) pause(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	return time.Duration(float64(retryAfter<<p.denials) * (0.5 + p.random()))
}

// renew asks for a permit whatever was denied before. For a model that the
// target loads already, this keeps its permit or takes it over.
func (p *permits) renew(ctx context.Context, targetName, model string) (store.WeightPermit, error) {
	return p.weights.RequestFetch(ctx, store.WeightFetch{
		ID:       permitID(targetName, model),
		Artifact: model,
		Target:   targetName,
	})
}

// finish gives a permit back.
func (p *permits) finish(ctx context.Context, targetName, model string) error {
	return p.weights.FinishFetch(ctx, permitID(targetName, model))
}
