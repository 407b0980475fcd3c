package sched

import (
	"time"

	"github.com/walnutcove/walnutcove/control/speed"
)

// minRunTime is the least reading time of a run, in seconds. A first event that comes sooner than
// the fixed part of the model says that the target is fast.
const minRunTime = 1e-3

// timedRun is what the speed of a target is learned from once a run there has begun.
type timedRun struct {
	since speed.Mark
	// work is what the target had to read until the run's first event, in seconds at the pool's
	// usual target.
	work float64
	// running is the number of runs there at the grant.
	running int
}

// SetSpeed makes the engine use an estimate that follows the target's readings; nil: it reports
// none. A target that ignores differences of speed ignores the readings as well.
func (e *Engine) SetSpeed(now time.Duration, estimate *speed.Estimate) {
	if e.ignoreSlowdown {
		return
	}
	e.speed = estimate
	e.slowdown = 1
	e.startReading(e.readingSince)
	for _, run := range e.unread {
		run.timed = nil // its mark belongs to the previous estimate
	}
}

// startReading records when the target began to read the first unread prompt.
func (e *Engine) startReading(at time.Duration) {
	e.readingSince = at
	if e.speed != nil {
		e.readingMark = e.speed.Mark(at)
	}
}

// fillFactor returns by how much the target is slower because of its present runs.
func (e *Engine) fillFactor() float64 { return e.speed.Fill(e.running, e.slots) }

// unreadWork returns the work of the unread prompts, less what has been read of the first, in
// seconds at the pool's usual target.
func (e *Engine) unreadWork(now time.Duration) float64 {
	if len(e.unread) == 0 {
		return 0
	}
	done := e.speed.Done(e.readingMark, now) / e.fillFactor()
	return e.model.seconds(e.backlog) - min(e.model.seconds(e.unread[0].reads), done)
}

// stretched returns how long work takes that begins now, given in seconds at the pool's usual
// target.
func (e *Engine) stretched(now time.Duration, work float64) float64 {
	return e.speed.Stretch(now, e.fillFactor()*work)
}

// PredictBoth returns Predict, and what it would be if the target were as fast as usual in its pool.
// Both are the same for targets that do not report their speed.
func (e *Engine) PredictBoth(now time.Duration, task EngineTask, reads int) (predicted, usual time.Duration) {
	if e.speed == nil {
		predicted = e.Wait(now) + e.PredictIdle(now, task, reads)
		return predicted, predicted
	}
	work := e.unreadWork(now) + e.model.seconds(promptLoad(reads, task.PromptTokens))
	return toDuration(e.model.fixed + e.stretched(now, work)), toDuration(e.model.fixed + work)
}

// PredictIdleLasting is PredictIdle without passing deviations of the speed.
func (e *Engine) PredictIdleLasting(now time.Duration, task EngineTask, reads int) time.Duration {
	if e.speed == nil {
		return e.PredictIdle(now, task, reads)
	}
	work := e.fillFactor() * e.model.seconds(promptLoad(reads, task.PromptTokens))
	return toDuration(e.model.fixed + e.speed.Lasting(now)*work)
}

// timeRun returns what the speed is learned from once a run that is granted now has begun.
func (e *Engine) timeRun(now time.Duration, run *EngineRun) *timedRun {
	return &timedRun{
		since:   e.speed.Mark(now),
		work:    e.unreadWork(now) + e.model.seconds(run.reads),
		running: e.running,
	}
}

// learnSpeed updates the pool's model and this target's speed from one observed start. The
// passing factor that held is taken out of what is learned.
func (e *Engine) learnSpeed(now time.Duration, run *EngineRun, sinceGrant time.Duration) {
	total := run.ahead.plus(run.reads)
	usual := e.model.seconds(total)
	if usual <= 0 {
		return
	}
	factor := e.speed.FactorSince(run.timed.since, now) * e.speed.Fill(run.timed.running, e.slots)
	doneBefore := max(0, usual-run.timed.work)
	e.model.learn(total, factor, sinceGrant.Seconds()+doneBefore*factor)
	e.speed.Learn(now, speed.Run{
		Since:    run.timed.since,
		Took:     max(minRunTime, sinceGrant.Seconds()-e.model.fixed),
		Expected: run.timed.work,
		Running:  run.timed.running,
		Slots:    e.slots,
		Weight:   min(1, run.timed.work/fullWeightReadTime.Seconds()),
	})
}
