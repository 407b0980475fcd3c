package engine

import (
	"time"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// phase is the state of a run.
type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	// phaseDetached: the caller is gone, but the run can be resumed for
	// Options.ResumeWindow.
	phaseDetached
	// phaseComplete: every token was generated.
	phaseComplete
	// phaseDropped: the run was cancelled or crashed.
	phaseDropped
)

// run is one request in the engine. Engine.mu guards it.
type run struct {
	call   Call
	mark   string
	entry  journal.Entry
	body   string
	faults host.Faults

	phase phase
	// started is set once the run has had a slot.
	started bool
	// prefillStepsLeft is the number of steps before the first token.
	prefillStepsLeft int
	// generated is the number of tokens generated.
	generated int
	// resumableSince is when the run became detached or complete.
	resumableSince time.Time
	// notify wakes the reader of the run. When a resumed stream takes over the
	// run, the channel is closed and replaced.
	notify chan struct{}
}

func newRun(call Call, entry journal.Entry, body string, faults host.Faults) *run {
	return &run{
		call:   call,
		mark:   host.Mark(call.Prompt),
		entry:  entry,
		body:   body,
		faults: faults,
		notify: make(chan struct{}, 1),
	}
}

// wakeReader wakes the reader after the run has changed.
func (r *run) wakeReader() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// isHanging reports whether a fault keeps the run from its next token.
func (r *run) isHanging() bool {
	limit := r.faults.HangAfterTokens
	return r.faults.Hang || (limit > 0 && r.generated >= limit)
}

// hasEnded reports whether the run will generate no further token.
func (r *run) hasEnded() bool { return r.phase == phaseComplete || r.phase == phaseDropped }
