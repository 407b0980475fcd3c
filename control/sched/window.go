package sched

import (
	"math"
	"time"
)

const (
	// settleTimeout is how long a new window waits for the first load report before it
	// relies on its own count alone.
	settleTimeout = 500 * time.Millisecond
	// maxReportLag is the longest delay of a load report that the window allows for.
	maxReportLag = 2 * time.Second
	// foreignTimeout is how long reported load that this scheduler did not grant counts
	// without a new report.
	foreignTimeout = 3 * time.Second
	// minOverheadRatio is the fraction of a run's slot time that may be lost between
	// runs before the window allows more grants than the target's slots.
	minOverheadRatio = 0.0025
	// minOverhead is the least time between two runs, also if entry and scheduler are in
	// one process: the last part of an answer has to reach the entry, and the next
	// request the target.
	minOverhead = 2 * time.Millisecond
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.1
	// slowRunRatio and verySlowRunRatio compare a run with the average. Up to the first
	// the target is not overloaded; beyond the second it is.
	slowRunRatio     = 1.5
	verySlowRunRatio = 2.5
)

// Window limits how many grants a target may hold, so that the target is just full.
//
// The scheduler's own count of grants decides: a load report that is too low never
// allows more. A report that is higher than any count which this scheduler had within
// maxReportLag shows load of another scheduler, and the window leaves room for it. If
// such a report is false, runs still end in their usual time, and the window opens again
// step by step.
//
// The limit never exceeds the slots by more than MaxExtra.
type Window struct {
	declaredSlots, reportedSlots int
	held                         int
	// peak and lastPeak are the highest counts in the current and the previous
	// maxReportLag.
	peak, lastPeak int
	rotateAt       time.Duration
	foreign        int
	foreignUntil   time.Duration
	// allowance is how many grants are allowed regardless of foreign load.
	allowance   float64
	settleUntil time.Duration
	service     average
	overhead    average
}

// NewWindow returns the window of a target with the declared slots.
func NewWindow(now time.Duration, slots int) *Window {
	return &Window{declaredSlots: max(1, slots), allowance: 1, settleUntil: now + settleTimeout, rotateAt: now + maxReportLag}
}

// MaxExtra returns how far the limit may exceed the slots.
func MaxExtra(slots int) int { return max(1, slots/4) }

// SetSlots changes the declared slots.
func (w *Window) SetSlots(slots int) { w.declaredSlots = max(1, slots) }

// SettlesAt returns when the window relies on its own count alone; earlier, it allows one grant
// unless a load report has come.
func (w *Window) SettlesAt() time.Duration { return w.settleUntil }

// Slots returns how many runs the target serves at once.
func (w *Window) Slots() int {
	if w.reportedSlots > 0 {
		return min(w.declaredSlots, w.reportedSlots)
	}
	return w.declaredSlots
}

// MeanService returns the average time of a run; zero before the first one ended.
func (w *Window) MeanService() time.Duration { return toDuration(w.service.value) }

// Held returns the number of grants held.
func (w *Window) Held() int { return w.held }

// Free returns how many more grants the target may hold now.
func (w *Window) Free(now time.Duration) int { return max(0, w.limit(now)-w.held) }

// Utilisation returns the fraction of the slots in use, including known load of other
// schedulers.
func (w *Window) Utilisation(now time.Duration) float64 {
	return float64(w.held+w.currentForeign(now)) / float64(w.Slots())
}

func (w *Window) limit(now time.Duration) int {
	if now < w.settleUntil {
		return 1
	}
	full := w.Slots() + w.extra()
	foreign := w.currentForeign(now)
	return min(full, max(full-foreign, int(w.allowance)))
}

func (w *Window) currentForeign(now time.Duration) int {
	if now >= w.foreignUntil {
		return 0
	}
	return w.foreign
}

// extra returns how many grants beyond the slots fill the time between the end of one
// run and the start of the next.
func (w *Window) extra() int {
	service, overhead := w.service.value, max(w.overhead.value, minOverhead.Seconds())
	if service <= 0 || overhead < service*minOverheadRatio {
		return 0
	}
	need := math.Ceil(float64(w.Slots()) * overhead / service)
	return int(min(need, float64(MaxExtra(w.Slots()))))
}

// Granted records a new grant.
func (w *Window) Granted(now time.Duration) {
	w.held++
	w.updatePeak(now)
}

// Adopted records a run that another scheduler granted. Until now it was foreign load,
// if the target reported it.
func (w *Window) Adopted(now time.Duration) {
	w.Granted(now)
	w.foreign = max(0, w.foreign-1)
}

// Disowned turns a grant whose run can no longer be followed into foreign load, until
// the next load report.
func (w *Window) Disowned(now time.Duration) {
	w.Released(now)
	w.peak = max(w.held, w.peak-1)
	w.lastPeak = max(0, w.lastPeak-1)
	w.foreign = w.currentForeign(now) + 1
	w.foreignUntil = now + foreignTimeout
}

// Released records the end of a grant whose run was not measured.
func (w *Window) Released(now time.Duration) {
	w.updatePeak(now)
	w.held = max(0, w.held-1)
}

// Ended records the end of a grant whose run used a slot for service. overhead is the
// time that messages took between the grant and the report of the run's end.
func (w *Window) Ended(now time.Duration, service, overhead time.Duration) {
	usual := w.service.value
	w.Released(now)
	w.service.add(service.Seconds())
	w.overhead.add(max(0, overhead).Seconds())
	w.adapt(service.Seconds(), usual)
}

// adapt raises the allowance in spite of reported foreign load while runs end in their
// usual time, and lowers it when they slow down.
func (w *Window) adapt(service, usual float64) {
	switch {
	case w.foreign == 0:
		w.allowance = 1
	case usual == 0 || service <= usual*slowRunRatio:
		w.allowance = min(w.allowance+1/w.allowance, float64(w.Slots()))
	case service > usual*verySlowRunRatio:
		w.allowance = max(1, w.allowance/2)
	}
}

// Reported records a load report.
func (w *Window) Reported(now time.Duration, running, queued, slots int) {
	w.updatePeak(now)
	w.reportedSlots = max(0, slots)
	w.settleUntil = min(w.settleUntil, now)
	w.foreign = max(0, max(0, running)+max(0, queued)-max(w.peak, w.lastPeak))
	w.foreignUntil = now + foreignTimeout
}

// updatePeak keeps the highest count of the last one to two times maxReportLag.
func (w *Window) updatePeak(now time.Duration) {
	if now >= w.rotateAt {
		w.lastPeak = w.peak
		if now >= w.rotateAt+maxReportLag {
			w.lastPeak = w.held
		}
		w.peak = w.held
		w.rotateAt = now + maxReportLag
	}
	w.peak = max(w.peak, w.held)
}

// average is an exponentially weighted moving average in seconds.
type average struct {
	value     float64
	hasSample bool
}

func (a *average) add(sample float64) {
	if !a.hasSample {
		a.value, a.hasSample = sample, true
		return
	}
	a.value += averageWeight * (sample - a.value)
}
