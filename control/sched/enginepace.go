package sched

import (
	"time"

	"github.com/walnutcove/walnutcove/control/decode"
)

// slowness returns the target's time for a step as a factor on the usual time in its pool.
func (e *Engine) slowness(now time.Duration) float64 {
	if e.speed != nil {
		return e.speed.Lasting(now)
	}
	return e.slowdown
}

// clock returns the state by which the target's answers advance.
func (e *Engine) clock(now time.Duration) decode.Clock {
	return decode.Clock{Now: now, Read: e.finishedReading + e.elapsed(now).Seconds(), Slowness: e.slowness(now)}
}

func (e *Engine) startAnswer(now time.Duration, run *EngineRun, task EngineTask) {
	if e.pace == nil {
		return
	}
	c := e.clock(now)
	run.answer = e.pace.Start(c, task.OutputTokens, task.Deadline, c.Slowness*e.model.seconds(run.reads))
}

// answersBegun records that the target has just read the prompts of runs and begins to answer them.
func (e *Engine) answersBegun(now time.Duration, runs []*EngineRun) {
	c := decode.Clock{Now: now, Read: e.finishedReading, Slowness: e.slowness(now)}
	for _, run := range runs {
		if run.answer != nil {
			e.pace.Begun(c, run.answer)
		}
	}
}

// Complete records that a run has answered completely. End has to be called, too.
func (e *Engine) Complete(now time.Duration, run *EngineRun) {
	if run.answer != nil {
		e.pace.Complete(e.clock(now), run.answer)
	}
}

// PaceLimit returns how the answers in progress at the target, and that to one more task, limit its
// reading.
func (e *Engine) PaceLimit(now time.Duration, task EngineTask) decode.Limit {
	if e.pace == nil {
		return decode.Limit{Allowed: 1, Needed: 1, Feasible: true}
	}
	if e.pace.IsStale(now) {
		e.pace.Update(e.clock(now))
	}
	return e.pace.LimitWith(now, e.slowness(now), task.OutputTokens, task.Deadline)
}

// ReadDebt returns the reading time that was granted beyond what the target may have read since, so
// that its answers end before their deadlines.
func (e *Engine) ReadDebt(now time.Duration) time.Duration {
	if e.pace == nil {
		return 0
	}
	return e.pace.Debt(now)
}
