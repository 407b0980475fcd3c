package engine

import (
	"time"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// phase is where a run stands.
type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	// phaseParked: the caller is gone; the run may be resumed for a while.
	phaseParked
	// phaseWhole: every token was generated.
	phaseWhole
	// phaseDropped: the run was cancelled or crashed.
	phaseDropped
)

// run is one request in the engine. The engine's lock guards it.
type run struct {
	call   Call
	mark   string
	entry  journal.Entry
	body   string
	faults host.Faults

	phase phase
	// started says that the run once had a slot.
	started bool
	// prefill counts the steps left before the first token.
	prefill int
	// produced counts the tokens generated.
	produced int
	// since is when the run was parked or became whole.
	since time.Time
	// notify wakes the reader of the run. It is replaced, and the old one
	// closed, when a resumed stream takes the run over.
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

// wake tells the reader that something changed.
func (r *run) wake() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// hangs says whether a fault keeps the run from its next token.
func (r *run) hangs() bool {
	limit := r.faults.HangAfterTokens
	return r.faults.Hang || (limit > 0 && r.produced >= limit)
}

// ended says whether no further token will come.
func (r *run) ended() bool { return r.phase == phaseWhole || r.phase == phaseDropped }
