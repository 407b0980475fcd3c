package memory

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

// Defaults of WeightsOptions.
const (
	defaultWeightBytesPerSecond = 10 << 30
	defaultMaxFetches           = 4
	defaultPermitTime           = 5 * time.Minute
	fetchRetryAfter             = time.Second
)

// WeightsOptions configures Weights. Zero fields take the stated defaults.
type WeightsOptions struct {
	// BytesPerSecond is divided equally among MaxFetches permits. Default 10 GiB.
	BytesPerSecond int64
	// MaxFetches limits the permits that are valid at once. Default 4.
	MaxFetches int
	// PermitTime is how long a permit is valid. Default 5 min.
	PermitTime time.Duration
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Weights is an in-memory implementation of store.Weights.
type Weights struct {
	options    WeightsOptions
	mu         sync.Mutex
	permitEnds map[string]time.Time // end of each permit's validity, by ID
}

var _ store.Weights = (*Weights)(nil)

// NewWeights returns a weight store without permits.
func NewWeights(options WeightsOptions) *Weights {
	if options.BytesPerSecond == 0 {
		options.BytesPerSecond = defaultWeightBytesPerSecond
	}
	if options.MaxFetches == 0 {
		options.MaxFetches = defaultMaxFetches
	}
	if options.PermitTime == 0 {
		options.PermitTime = defaultPermitTime
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Weights{options: options, permitEnds: make(map[string]time.Time)}
}

// WeightsRate implements store.Weights.
func (w *Weights) WeightsRate(ctx context.Context) (store.WeightRate, error) {
	if err := ctx.Err(); err != nil {
		return store.WeightRate{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeExpired()
	return store.WeightRate{
		BytesPerSecond: w.options.BytesPerSecond,
		Fetches:        len(w.permitEnds),
		MaxFetches:     w.options.MaxFetches,
	}, nil
}

// RequestFetch implements store.Weights.
func (w *Weights) RequestFetch(ctx context.Context, fetch store.WeightFetch) (store.WeightPermit, error) {
	if err := ctx.Err(); err != nil {
		return store.WeightPermit{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err := store.CheckFetch(fetch); err != nil {
		return store.WeightPermit{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeExpired()
	end, exists := w.permitEnds[fetch.ID]
	if !exists && len(w.permitEnds) >= w.options.MaxFetches {
		return store.WeightPermit{RetryAfter: fetchRetryAfter}, nil
	}
	if !exists {
		end = w.options.Now().Add(w.options.PermitTime)
		w.permitEnds[fetch.ID] = end
	}
	return store.WeightPermit{
		Granted:        true,
		BytesPerSecond: w.options.BytesPerSecond / int64(w.options.MaxFetches),
		TimeLeft:       end.Sub(w.options.Now()),
	}, nil
}

// FinishFetch implements store.Weights.
func (w *Weights) FinishFetch(ctx context.Context, id string) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.permitEnds, id)
	return nil
}

func (w *Weights) removeExpired() {
	now := w.options.Now()
	for id, end := range w.permitEnds {
		if !end.After(now) {
			delete(w.permitEnds, id)
		}
	}
}
