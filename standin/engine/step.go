package engine

import (
	"time"

	"github.com/walnutcove/walnutcove/standin/journal"
)

const (
	// cachedPrefillDivisor shortens the prefill of a prompt whose beginning is cached.
	cachedPrefillDivisor = 8
	// maxCatchUpSteps is how many steps the loop may be late and still catch up;
	// if it is later than that, it skips the missed steps.
	maxCatchUpSteps = 20
)

// stepLoop runs batch steps while there is work, until the engine is closed.
func (e *Engine) stepLoop() {
	defer e.loops.Done()
	var next time.Time
	for {
		if !e.step() {
			if !e.waitForWork() {
				return
			}
			next = time.Time{}
			continue
		}
		next = e.nextStep(next)
		if !e.sleep(time.Until(next)) {
			return
		}
	}
}

// nextStep returns when the step after the one due at previous begins. Steps that
// are late are caught up with, so that the token rate holds on a busy machine.
func (e *Engine) nextStep(previous time.Time) time.Time {
	now := time.Now()
	step := e.host.Faults().Slow(e.options.Step)
	if previous.IsZero() || now.Sub(previous) > maxCatchUpSteps*step {
		return now.Add(step)
	}
	return previous.Add(step)
}

// waitForWork waits until there is work. It reports false if the engine is closed.
func (e *Engine) waitForWork() bool {
	select {
	case <-e.stop:
		return false
	case <-e.workAdded:
		return true
	}
}

// sleep waits for d and reports whether the engine is still open.
func (e *Engine) sleep(d time.Duration) bool {
	if d > 0 {
		time.Sleep(d)
	}
	select {
	case <-e.stop:
		return false
	default:
		return true
	}
}

// step advances every running request by one token and fills free slots. It
// reports whether any request runs.
func (e *Engine) step() bool {
	e.mu.Lock()
	e.advanceAll()
	poisoned := e.startQueued()
	e.expireResumable()
	busy := len(e.running) > 0
	e.mu.Unlock()
	if poisoned {
		e.CrashNow()
		return false
	}
	return busy
}

// advanceAll gives every running request its next token and frees the slots of
// complete ones. The caller holds e.mu.
func (e *Engine) advanceAll() {
	kept := e.running[:0]
	for _, r := range e.running {
		e.advanceRun(r)
		if r.phase == phaseRunning {
			kept = append(kept, r)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) advanceRun(r *run) {
	if r.prefillStepsLeft > 0 {
		r.prefillStepsLeft--
		return
	}
	if r.isHanging() {
		return
	}
	r.generated++
	if r.generated >= r.call.MaxTokens {
		r.phase = phaseComplete
		r.resumableSince = time.Now()
		e.recordEnd(r, journal.Answered)
	}
	r.wakeReader()
}

// startQueued starts queued requests while slots are free. It reports whether one
// of them is to crash the engine. The caller holds e.mu.
func (e *Engine) startQueued() bool {
	poisoned := false
	for len(e.queue) > 0 && len(e.running) < e.options.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.startRun(r)
		poisoned = poisoned || e.host.Faults().Poisoned(r.body)
	}
	return poisoned
}

func (e *Engine) startRun(r *run) {
	entry := r.entry
	entry.Event = journal.Started
	entry.Tokens = r.generated
	if r.started {
		entry.Event = journal.Resumed
	} else {
		r.prefillStepsLeft = e.prefillSteps(r.call)
	}
	r.started = true
	r.phase = phaseRunning
	e.running = append(e.running, r)
	e.host.Journal.Add(entry)
}

// prefillSteps returns how many steps the prompt takes before the first token.
func (e *Engine) prefillSteps(call Call) int {
	steps := promptTokens(call.Prompt) / e.options.PrefillTokensPerStep
	if e.prefixes.use(call.PrefixHash) {
		steps /= cachedPrefillDivisor
	}
	return steps
}

// expireResumable removes the runs that can no longer be resumed. The caller holds
// e.mu.
func (e *Engine) expireResumable() {
	if len(e.resumable) == 0 {
		return
	}
	oldest := time.Now().Add(-e.options.ResumeWindow)
	for id, r := range e.resumable {
		dropped := r.phase == phaseDropped
		tooOld := (r.phase == phaseDetached || r.phase == phaseComplete) && r.resumableSince.Before(oldest)
		if dropped || tooOld {
			delete(e.resumable, id)
		}
	}
}
