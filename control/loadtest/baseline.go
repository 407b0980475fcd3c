package loadtest

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/speed"
)

// Placement is who chooses the targets of requests.
type Placement string

// The placements.
const (
	// PlacementNew is the routers' own.
	PlacementNew Placement = ""
	// PlacementToday is that of routers which ignore readings.
	PlacementToday Placement = "ignore readings"
	// PlacementLeast chooses the target with the fewest outstanding requests.
	PlacementLeast Placement = "least outstanding"
	// PlacementTwo chooses the earlier predicted first event of two random targets.
	PlacementTwo Placement = "two choices"
	// PlacementOracle chooses the earliest first event, and knows the speeds of all targets, now
	// and later, and what they have cached. It refuses what cannot be in time.
	PlacementOracle Placement = "oracle"
)

// oracleReread is the cost of reading shared parts again, relative to the reading time, as in
// policy.Default.
const oracleReread = 2.5

// baseline is a single scheduler to compare the routers with. It learns at once what ends, and
// which targets are down. Requests wait in order of arrival, and are dropped when their objective has passed.
type baseline struct {
	sim     *simulation
	engines []*engine
	waiting []*clientRequest
	rng     *rand.Rand
	pool    *speed.Pool
	usualAt time.Duration
}

// newBaseline returns the baseline of a simulation; nil if the routers choose the targets.
func newBaseline(s *simulation, seed uint64) *baseline {
	if s.pattern.Placement == PlacementNew || s.pattern.Placement == PlacementToday {
		return nil
	}
	b := &baseline{sim: s, rng: rand.New(rand.NewPCG(seed, 9)), pool: speed.NewPool()}
	for _, name := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[name]
		e.estimate = speed.NewEstimate(b.pool)
		b.engines = append(b.engines, e)
	}
	return b
}

func (b *baseline) enqueue(req *clientRequest) {
	b.waiting = append(b.waiting, req)
	b.placeWaiting()
}

// placeWaiting places the waiting requests in order until there is no room.
func (b *baseline) placeWaiting() {
	for len(b.waiting) > 0 {
		req := b.waiting[0]
		if b.sim.now > req.sentAt+req.kind.Objective {
			b.sim.result.Refusals++
			b.waiting = b.waiting[1:]
			continue
		}
		e := b.choose(req)
		if e == nil {
			return
		}
		b.waiting = b.waiting[1:]
		if b.sim.pattern.Placement == PlacementOracle && b.sim.now+e.trueStart(req) > req.sentAt+req.kind.Objective {
			b.sim.result.Refusals++
			continue
		}
		b.dispatch(req, e)
	}
}

// choose returns a target with a free slot; nil if there is none.
func (b *baseline) choose(req *clientRequest) *engine {
	switch b.sim.pattern.Placement {
	case PlacementLeast:
		return b.lowest(b.engines, func(e *engine) float64 { return float64(e.outstanding) })
	case PlacementTwo:
		var two []*engine
		for range 10 { // tries to find two with room
			if e := b.engines[b.rng.IntN(len(b.engines))]; e.hasRoom() {
				if two = append(two, e); len(two) == 2 {
					break
				}
			}
		}
		if len(two) == 0 {
			two = b.engines
		}
		return b.lowest(two, func(e *engine) float64 { return b.predictedStart(e, req) })
	default:
		return b.lowest(b.engines, func(e *engine) float64 { return e.trueCost(req) })
	}
}

func (b *baseline) lowest(engines []*engine, cost func(*engine) float64) *engine {
	var best *engine
	lowest := 0.0
	for _, e := range engines {
		if !e.hasRoom() {
			continue
		}
		if c := cost(e); best == nil || c < lowest {
			best, lowest = e, c
		}
	}
	return best
}

func (e *engine) hasRoom() bool { return !e.crashed && e.outstanding < e.spec.Slots }

// usualTime returns how long a target of usual speed works until the first event of a request,
// and how long it reads shared parts again for that.
func (e *engine) usualTime(req *clientRequest) (start, reread time.Duration) {
	if e.spec.WorkTime > 0 {
		return workTimeOf(e.spec, req.work), 0
	}
	tokens := 0
	for _, r := range e.waiting {
		tokens += r.unreadTokens
	}
	cached := e.cachedPrefix(req)
	own := max(1, req.work.PromptTokens-cached)
	shared := req.work.PromptTokens - req.work.Parts[len(req.work.Parts)-1].Tokens
	steps := 1 + (tokens+own)/e.spec.ChunkTokens
	stepTime := e.spec.StepTime + time.Duration(len(e.running))*e.spec.StepPerRun
	start = time.Duration(tokens+own)*e.spec.PerToken + time.Duration(steps)*stepTime
	return start, time.Duration(max(0, shared-cached)) * e.spec.PerToken
}

// cachedPrefix returns how many tokens of a prompt are cached, or will be as they are about to be
// read for another run.
func (e *engine) cachedPrefix(req *clientRequest) int {
	tokens := 0
	for _, part := range req.work.Parts {
		if e.cache.byID[part.ID] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// trueStart returns the time until the first event of a request.
func (e *engine) trueStart(req *clientRequest) time.Duration {
	work, _ := e.usualTime(req)
	return 2*messageDelay + e.timeOf(work) + e.spec.FirstEventDelay
}

func (e *engine) trueCost(req *clientRequest) float64 {
	_, reread := e.usualTime(req)
	return e.trueStart(req).Seconds() + oracleReread*e.slowdown*reread.Seconds()
}

// predictedStart is like trueStart, with an estimate of the speed.
func (b *baseline) predictedStart(e *engine, req *clientRequest) float64 {
	work, _ := e.usualTime(req)
	return e.estimate.Stretch(b.sim.now, work.Seconds())
}

func (b *baseline) dispatch(req *clientRequest, e *engine) {
	work, _ := e.usualTime(req)
	r := &run{client: req, engine: e, work: req.work, outputTokens: req.outputTokens, workTime: workTimeOf(e.spec, req.work), started: b.sim.now, usualTime: work, mark: e.estimate.Mark(b.sim.now)}
	e.outstanding++
	b.sim.after(2*messageDelay, func() {
		if e.crashed {
			b.lost(r)
			return
		}
		e.arrive(r)
	})
}

// began records a first event, and what it says about the speed of its target.
func (b *baseline) began(r *run) {
	if r.lost {
		return
	}
	now := b.sim.now
	r.engine.estimate.Read(now, r.engine.reading())
	r.engine.estimate.Learn(now, speed.Run{
		Since: r.mark, Took: (now - r.started - r.engine.spec.FirstEventDelay).Seconds(), Expected: r.usualTime.Seconds(),
		Running: r.engine.outstanding, Slots: r.engine.spec.Slots, Weight: 1,
	})
	if now >= b.usualAt {
		b.usualAt = now + 100*time.Millisecond
		var estimates []*speed.Estimate
		for _, e := range b.engines {
			estimates = append(estimates, e.estimate)
		}
		b.pool.SetUsual(estimates)
	}
	if !r.client.done {
		r.client.done = true
		b.sim.result.recordFirstEvent(b.sim, r.client)
	}
}

func (b *baseline) ended(r *run) {
	if r.lost {
		return
	}
	r.engine.outstanding--
	b.placeWaiting()
}

// lost has a request run again whose target crashed.
func (b *baseline) lost(r *run) {
	r.lost = true
	r.engine.outstanding--
	if !r.client.done {
		b.waiting = slices.Insert(b.waiting, 0, r.client)
	}
	b.placeWaiting()
}
