package loadtest

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
)

// Unevenness describes how the speeds of targets differ and how the load changes. The zero value
// describes targets that report no speed, and an even load.
type Unevenness struct {
	// Readings makes targets report with each response how long work takes, where 100 is usual.
	// If ReadingsHaveLasting is set, that contains the lasting speed.
	Readings, ReadingsHaveLasting bool
	// UsualFactor is how long work takes at targets that are not slow; zero: 1.
	UsualFactor float64
	// PassingRatio is the fraction of the time in which a target is PassingFactor times as slow,
	// for PassingLength at a time, give or take a third.
	PassingRatio, PassingFactor float64
	PassingLength               time.Duration
	// FullFactor is how long work takes at a full target, relative to one that is at most three
	// quarters full; zero: 1.
	FullFactor float64
	// CrashSlow makes the slow targets crash at StallAt, for CrashFor.
	CrashSlow bool
	// WaveAmplitude is by which fraction the load rises above and falls below its mean, in waves
	// of 11 to 15 s.
	WaveAmplitude float64
}

func (u *Unevenness) usual() float64 {
	if u.UsualFactor == 0 {
		return 1
	}
	return u.UsualFactor
}

// peak returns the highest load, relative to the mean.
func (u *Unevenness) peak() float64 { return 1 + u.WaveAmplitude }

// The wave of each kind has its own period.
const (
	firstWavePeriod = 11 * time.Second
	nextWavePeriod  = 2 * time.Second
)

// skipsArrival thins out the arrivals of a kind, which are drawn at the peak of its wave.
func (s *simulation) skipsArrival(kind *Kind) bool {
	u := &s.pattern.Uneven
	if u.WaveAmplitude == 0 {
		return false
	}
	period := firstWavePeriod + time.Duration(s.kindIndex(kind)%3)*nextWavePeriod
	load := 1 + u.WaveAmplitude*math.Sin(2*math.Pi*s.now.Seconds()/period.Seconds())
	return s.arrivalRNG.Float64()*u.peak() > load
}

// passingSlowness is the passing slowness of one target over time.
type passingSlowness struct {
	factor float64
	// changes are the times at which the target becomes slow, or usual again, in turn.
	changes []time.Duration
	// next is the first of them that has not passed.
	next int
}

func newPassingSlowness(p Pattern, seed uint64, index int) passingSlowness {
	u := &p.Uneven
	passing := passingSlowness{factor: 1}
	if u.PassingRatio == 0 {
		return passing
	}
	passing.factor = u.PassingFactor
	rng := rand.New(rand.NewPCG(seed, 1000+uint64(index)))
	usual := u.PassingLength.Seconds() * (1 - u.PassingRatio) / u.PassingRatio
	for at := 0.0; at < (p.Length + drainTime).Seconds(); {
		at += rng.ExpFloat64() * usual
		passing.changes = append(passing.changes, toDuration(at))
		at += u.PassingLength.Seconds() * (2 + 2*rng.Float64()) / 3
		passing.changes = append(passing.changes, toDuration(at))
	}
	return passing
}

// at returns the factor at a time that is not before that of the last call.
func (p *passingSlowness) at(now time.Duration) float64 {
	for p.next < len(p.changes) && p.changes[p.next] <= now {
		p.next++
	}
	return p.factorOf(p.next)
}

// factorOf returns the factor between the change before the given one and that change.
func (p *passingSlowness) factorOf(next int) float64 {
	if next%2 == 1 {
		return p.factor
	}
	return 1
}

// stretch returns the time of work that begins now and would take the given time at the usual
// speed, as all changes are known.
func (p *passingSlowness) stretch(now, work time.Duration) time.Duration {
	p.at(now)
	at := now
	for i := p.next; i < len(p.changes); i++ {
		factor := p.factorOf(i)
		span := p.changes[i] - at
		if needed := time.Duration(float64(work) * factor); needed <= span {
			return at + needed - now
		}
		work -= time.Duration(float64(span) / factor)
		at = p.changes[i]
	}
	return at + work - now
}

// fullFactor returns how long work takes because of the runs at the target.
func (e *engine) fullFactor() float64 {
	full := e.sim.pattern.Uneven.FullFactor
	if full == 0 {
		return 1
	}
	filled := min(1, float64(len(e.running)+len(e.waiting))/float64(e.spec.Slots))
	return 1 + (full-1)*max(0, 4*filled-3)
}

// timeOf returns how long work takes that begins now.
func (e *engine) timeOf(work time.Duration) time.Duration {
	if e.passing.factor == 1 {
		return time.Duration(e.slowdown * e.fullFactor() * float64(work))
	}
	return e.passing.stretch(e.sim.now, time.Duration(e.slowdown*e.fullFactor()*float64(work)))
}

// reading returns what the target reports with a response.
func (e *engine) reading() speed.Reading {
	u := &e.sim.pattern.Uneven
	if !u.Readings {
		return speed.Reading{}
	}
	factor := e.passing.at(e.sim.now) * e.fullFactor()
	if u.ReadingsHaveLasting {
		factor *= e.slowdown
	}
	return speed.Reading{Running: len(e.running), Waiting: len(e.waiting), Slots: e.spec.Slots, Percent: int(math.Round(100 * factor))}
}

// arrivePlain queues a run at a target that neither reads prompts nor generates tokens.
func (e *engine) arrivePlain(r *run) {
	e.waiting = append(e.waiting, r)
	e.startPlain()
}

func (e *engine) startPlain() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		e.sim.after(e.timeOf(r.workTime), func() { e.endPlain(r) })
	}
}

func (e *engine) endPlain(r *run) {
	for i, other := range e.running {
		if other == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.sim.after(messageDelay, func() {
				e.sim.firstEvent(r)
				e.sim.runEnded(r)
			})
			e.startPlain()
			return
		}
	}
}

// workTimeOf returns the work of a request at a plain target: that of the spec, give or take a
// quarter.
func workTimeOf(spec EngineSpec, work control.Work) time.Duration {
	fraction := float64(work.PromptTokens%1000) / 1000
	return time.Duration((0.75 + 0.5*fraction) * float64(spec.WorkTime))
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
