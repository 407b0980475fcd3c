package runrecord

import (
	"sync"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/result"
)

// Claim is the right to dispatch one request. Its end and its dispatch exclude
// each other under one lock: once a claim was given up, BeginDispatch refuses.
type Claim struct {
	keeper *Keeper
	entry  *entry
	// sentAt is the monotonic time right before the claim was first sent.
	sentAt control.Instant

	mu    sync.Mutex
	ended bool
}

// StillValid says whether the claim may still be dispatched under: it was not
// given up, and less than Options.Lease has passed since before it was sent.
func (c *Claim) StillValid(now control.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.valid(now)
}

func (c *Claim) valid(now control.Instant) bool {
	return !c.ended && now-c.sentAt < c.keeper.options.Lease
}

// BeginDispatch must be called right before the first byte of each attempt is
// written to a target. An error (RecordLapsed) forbids the attempt.
func (c *Claim) BeginDispatch() error {
	if c.StillValid(c.keeper.options.Now()) {
		return nil
	}
	return c.keeper.refuse(result.RecordLapsed, "The run record lapsed before dispatch.")
}

// Answered ends the claim with the target's whole answer.
func (c *Claim) Answered(outcome Outcome) {
	outcome.Code = result.OK
	c.end(StateAnswered, outcome.bounded(c.keeper.options.MaxStoredBytes))
}

// NotRun gives the claim up: the request surely did not run, and BeginDispatch
// refuses from now on. A resend may claim it anew.
func (c *Claim) NotRun(code result.Code) {
	c.end(StateNotRun, Outcome{Code: code})
}

// Unknown ends the claim of a request that may have run.
func (c *Claim) Unknown(code result.Code) {
	c.end(StateUnknown, Outcome{Code: code})
}

// end ends the claim. Only the first call counts.
func (c *Claim) end(state State, outcome Outcome) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.ended = true
	c.mu.Unlock()
	c.keeper.end(c.entry, state, outcome)
}
