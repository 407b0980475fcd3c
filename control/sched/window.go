package sched

import (
	"math"
	"time"
)

const (
	// settleTime is how long a new window waits for the first load report
	// before it trusts its own count alone.
	settleTime = 500 * time.Millisecond
	// lagTime is the longest lag of a load report that the window allows for.
	lagTime = 2 * time.Second
	// foreignTime is how long load of unknown origin counts without a new report.
	foreignTime = 3 * time.Second
	// worthwhileLoop is the part of a run's slot time that may be lost between
	// runs before the window admits more than the target's slots.
	worthwhileLoop = 0.0025
	// handover is the least time between two runs, also where entry and
	// scheduler are one process: the last part of an answer has to reach the
	// entry, and the next request the target.
	handover = 2 * time.Millisecond
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.1
	// slowRun and verySlowRun compare a run with the average: up to the first
	// the target copes, past the second it is crowded.
	slowRun     = 1.5
	verySlowRun = 2.5
)

// Window says how many grants a target may hold. It keeps the target just full.
//
// The scheduler's own count of grants is the authority: a load report that is
// too low never admits more. A report that is higher than anything this
// scheduler granted of late shows load of another scheduler, which is left
// room for. If such a report is a lie, the runs still end in their usual time
// and the window opens again step by step.
//
// The limit is never over the slots by more than MaxExtra.
type Window struct {
	declared, reported int
	out                int
	// peak and lastPeak are the highest counts in this and the last lagTime.
	peak, lastPeak int
	rotateAt       time.Duration
	foreign        int
	foreignUntil   time.Duration
	// allowance is what may be granted in spite of foreign load.
	allowance float64
	settledAt time.Duration
	service   average
	loop      average
}

// NewWindow returns the window of a target with the declared slots.
func NewWindow(now time.Duration, slots int) *Window {
	return &Window{declared: max(1, slots), allowance: 1, settledAt: now + settleTime, rotateAt: now + lagTime}
}

// MaxExtra bounds how far the limit may be over the slots.
func MaxExtra(slots int) int { return max(1, slots/4) }

// Declare changes the declared slots.
func (w *Window) Declare(slots int) { w.declared = max(1, slots) }

// Slots returns how many runs the target serves at once.
func (w *Window) Slots() int {
	if w.reported > 0 {
		return min(w.declared, w.reported)
	}
	return w.declared
}

// Service returns how long a run takes in the mean; zero before the first ended.
func (w *Window) Service() time.Duration { return seconds(w.service.value) }

// Out returns the number of grants held.
func (w *Window) Out() int { return w.out }

// Room returns how many more grants the target may hold now.
func (w *Window) Room(now time.Duration) int { return max(0, w.limit(now)-w.out) }

// Fill returns the part of the slots in use, as far as is known.
func (w *Window) Fill(now time.Duration) float64 {
	return float64(w.out+w.foreignNow(now)) / float64(w.Slots())
}

func (w *Window) limit(now time.Duration) int {
	if now < w.settledAt {
		return 1
	}
	full := w.Slots() + w.extra()
	foreign := w.foreignNow(now)
	return min(full, max(full-foreign, int(w.allowance)))
}

func (w *Window) foreignNow(now time.Duration) int {
	if now >= w.foreignUntil {
		return 0
	}
	return w.foreign
}

// extra returns how many grants beyond the slots cover the time between the
// end of a run and the next one's start.
func (w *Window) extra() int {
	service, loop := w.service.value, max(w.loop.value, handover.Seconds())
	if service <= 0 || loop < service*worthwhileLoop {
		return 0
	}
	need := math.Ceil(float64(w.Slots()) * loop / service)
	return int(min(need, float64(MaxExtra(w.Slots()))))
}

// Granted counts a new grant.
func (w *Window) Granted(now time.Duration) {
	w.out++
	w.notePeak(now)
}

// Adopted counts a run that another scheduler granted. It was foreign load
// until now, if the target reported it.
func (w *Window) Adopted(now time.Duration) {
	w.Granted(now)
	w.foreign = max(0, w.foreign-1)
}

// Disowned counts a grant whose run cannot be followed any more as foreign
// load, until the next load report tells.
func (w *Window) Disowned(now time.Duration) {
	w.Released(now)
	w.peak = max(w.out, w.peak-1)
	w.lastPeak = max(0, w.lastPeak-1)
	w.foreign = w.foreignNow(now) + 1
	w.foreignUntil = now + foreignTime
}

// Released counts a grant that ended without a measure.
func (w *Window) Released(now time.Duration) {
	w.notePeak(now)
	w.out = max(0, w.out-1)
}

// Ended counts a grant whose run took service in a slot; loop is the time that
// the messages took, from the grant to the news of its end.
func (w *Window) Ended(now time.Duration, service, loop time.Duration) {
	usual := w.service.value
	w.Released(now)
	w.service.add(service.Seconds())
	w.loop.add(max(0, loop).Seconds())
	w.adapt(service.Seconds(), usual)
}

// adapt opens the window in spite of reported foreign load while runs end in
// their usual time, and closes it when they slow down.
func (w *Window) adapt(service, usual float64) {
	switch {
	case w.foreign == 0:
		w.allowance = 1
	case usual == 0 || service <= usual*slowRun:
		w.allowance = min(w.allowance+1/w.allowance, float64(w.Slots()))
	case service > usual*verySlowRun:
		w.allowance = max(1, w.allowance/2)
	}
}

// Reported takes a load report in.
func (w *Window) Reported(now time.Duration, running, queued, slots int) {
	w.notePeak(now)
	w.reported = max(0, slots)
	w.settledAt = min(w.settledAt, now)
	w.foreign = max(0, max(0, running)+max(0, queued)-max(w.peak, w.lastPeak))
	w.foreignUntil = now + foreignTime
}

// notePeak keeps the highest count of the last one to two lag times.
func (w *Window) notePeak(now time.Duration) {
	if now >= w.rotateAt {
		w.lastPeak = w.peak
		if now >= w.rotateAt+lagTime {
			w.lastPeak = w.out
		}
		w.peak = w.out
		w.rotateAt = now + lagTime
	}
	w.peak = max(w.peak, w.out)
}

// average is an exponentially weighted moving average in seconds.
type average struct {
	value float64
	known bool
}

func (a *average) add(sample float64) {
	if !a.known {
		a.value, a.known = sample, true
		return
	}
	a.value += averageWeight * (sample - a.value)
}
