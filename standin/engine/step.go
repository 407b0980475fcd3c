package engine

import (
	"time"

	"github.com/walnutcove/walnutcove/standin/journal"
)

const (
	// cachedPrefillDivisor shortens the prefill of a prompt whose beginning is cached.
	cachedPrefillDivisor = 8
	// maxLateSteps is how many missed steps the loop makes up for before it
	// gives up on them.
	maxLateSteps = 20
)

// stepLoop runs one step after another while there is work.
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
		if !e.pause(time.Until(next)) {
			return
		}
	}
}

// nextStep returns when the step after the one due at previous begins. Late
// steps are made up for, so that the rate holds on a busy machine.
func (e *Engine) nextStep(previous time.Time) time.Time {
	now := time.Now()
	step := e.host.Faults().Slow(e.options.Step)
	if previous.IsZero() || now.Sub(previous) > maxLateSteps*step {
		return now.Add(step)
	}
	return previous.Add(step)
}

func (e *Engine) waitForWork() bool {
	select {
	case <-e.stop:
		return false
	case <-e.kick:
		return true
	}
}

func (e *Engine) pause(d time.Duration) bool {
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
// says whether anything runs.
func (e *Engine) step() bool {
	e.mu.Lock()
	e.advance()
	poisoned := e.admit()
	e.expire()
	busy := len(e.running) > 0
	e.mu.Unlock()
	if poisoned {
		e.CrashNow()
		return false
	}
	return busy
}

// advance gives every running request its next token.
func (e *Engine) advance() {
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
	if r.prefill > 0 {
		r.prefill--
		return
	}
	if r.hangs() {
		return
	}
	r.produced++
	if r.produced >= r.call.MaxTokens {
		r.phase = phaseWhole
		r.since = time.Now()
		e.journalEnd(r, journal.Answered)
	}
	r.wake()
}

// admit starts queued requests while slots are free. It says whether one of
// them crashes the engine.
func (e *Engine) admit() bool {
	poisoned := false
	for len(e.queue) > 0 && len(e.running) < e.options.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.start(r)
		poisoned = poisoned || e.host.Faults().Poisoned(r.body)
	}
	return poisoned
}

func (e *Engine) start(r *run) {
	entry := r.entry
	entry.Event = journal.Started
	entry.Tokens = r.produced
	if r.started {
		entry.Event = journal.Resumed
	} else {
		r.prefill = e.prefillSteps(r.call)
	}
	r.started = true
	r.phase = phaseRunning
	e.running = append(e.running, r)
	e.host.Journal.Add(entry)
}

// prefillSteps returns how many steps the prompt takes before its first token.
func (e *Engine) prefillSteps(call Call) int {
	steps := promptTokens(call.Prompt) / e.options.PrefillTokensPerStep
	if e.prefixes.use(call.PrefixHash) {
		steps /= cachedPrefillDivisor
	}
	return steps
}

// expire forgets the runs that can no longer be resumed.
func (e *Engine) expire() {
	if len(e.resumable) == 0 {
		return
	}
	limit := time.Now().Add(-e.options.ResumeWindow)
	for id, r := range e.resumable {
		gone := r.phase == phaseDropped
		late := (r.phase == phaseParked || r.phase == phaseWhole) && r.since.Before(limit)
		if gone || late {
			delete(e.resumable, id)
		}
	}
}
