package managed

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// usualPercent is the slowness of a replica that works at its usual speed.
const usualPercent = 100

// The slowness of FluctuatingSlowness is drawn anew in each fluctuationStep, up to
// maxFluctuation percent around its base. In slowPeriods percent of the periods of slowPeriod,
// work takes slowFactor times as long.
const (
	fluctuationStep = 50 * time.Millisecond
	maxFluctuation  = 10
	slowPeriod      = 600 * time.Millisecond
	slowPeriods     = 15
	slowFactor      = 2.5
)

// FluctuatingSlowness returns a value of ReplicaOptions.Slowness that changes many times a second
// around a base, in percent. Equal seeds give equal values.
func FluctuatingSlowness(base int, seed uint64) func(sinceStart time.Duration) int {
	draw := func(number time.Duration, stream uint64, below int) int {
		return rand.New(rand.NewPCG(seed^stream, uint64(number))).IntN(below)
	}
	return func(sinceStart time.Duration) int {
		percent := float64(base)
		if draw(sinceStart/slowPeriod, 1, usualPercent) < slowPeriods {
			percent *= slowFactor
		}
		percent *= usualPercent - maxFluctuation + float64(draw(sinceStart/fluctuationStep, 2, 2*maxFluctuation+1))
		return max(1, int(percent/usualPercent))
	}
}

// slowness returns how long work takes at this moment, in percent.
func (r *Replica) slowness() int {
	if r.options.Slowness == nil {
		return usualPercent
	}
	r.mu.Lock()
	startedAt := r.startedAt
	r.mu.Unlock()
	return r.options.Slowness(time.Since(startedAt))
}

// pause returns the time before the next event or answer.
func (r *Replica) pause() time.Duration {
	return r.options.Pause*time.Duration(r.slowness())/usualPercent + r.currentFaults().ExtraPause
}

// reportLoad sets the header that reports the load at this moment, if the options ask for it.
func (r *Replica) reportLoad(ctx *fasthttp.RequestCtx) {
	if r.options.Slowness == nil {
		return
	}
	r.mu.Lock()
	running := r.running
	r.mu.Unlock()
	ctx.Response.Header.Set(wire.HeaderLoad, fmt.Sprintf("%d,0,%d,%d", running, r.options.Slots, r.slowness()))
}
