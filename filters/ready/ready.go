// Package ready is the filter that refuses new work while the router has no
// configuration yet or is leaving.
package ready

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

// Refused callers are told to retry after a random time between these, so that they
// do not all come back at the same time.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

var refusals = codecounter.New("walnut_ready_refusals_total", result.NotReady, result.Draining)

// State provides the state of the router. Its methods must be safe for concurrent
// use.
type State interface {
	// Ready reports whether a configuration version is in force.
	Ready() bool
	// Draining reports whether the router is leaving.
	Draining() bool
}

// Filter refuses new work depending on the state of the router.
type Filter struct {
	state State
}

// New returns a filter that consults state for each request.
func New(state State) *Filter { return &Filter{state: state} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "ready" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if f.state.Draining() {
		return refuse(result.Draining, "This router is leaving.")
	}
	if !f.state.Ready() {
		return refuse(result.NotReady, "No configuration version is in force yet.")
	}
	return next(ctx, ex)
}

// refuse counts and returns a refusal.
func refuse(code result.Code, detail string) error {
	refusals.Inc(code)
	return result.New(code, "%s", detail).WithRetryAfter(retryAfter())
}

func retryAfter() time.Duration {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}
