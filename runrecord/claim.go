package runrecord

import (
	"sync"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/result"
)

// Claim is the right to dispatch one request. A lock makes ending and
// dispatching mutually exclusive: once a claim has been given up, BeginDispatch
// returns an error.
type Claim struct {
	manager *Manager
	entry   *entry
	// sentAt is the monotonic time immediately before the claim was first sent.
	sentAt control.Instant

	mu    sync.Mutex
	ended bool
}

// StillValid reports whether the request may still be dispatched under the claim:
// it has not ended, and less than Options.Lease has passed since before it was
// sent.
func (c *Claim) StillValid(now control.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isValid(now)
}

func (c *Claim) isValid(now control.Instant) bool {
	return !c.ended && now-c.sentAt < c.manager.options.Lease
}

// BeginDispatch must be called immediately before the first byte of each attempt
// is written to a target. After an error (RecordLapsed) the attempt must not be
// made.
func (c *Claim) BeginDispatch() error {
	if c.StillValid(c.manager.options.Now()) {
		return nil
	}
	return c.manager.refuse(result.RecordLapsed, "The run record lapsed before dispatch.")
}

// Answered ends the claim with the target's complete answer.
func (c *Claim) Answered(outcome Outcome) {
	outcome.Code = result.OK
	c.end(StateAnswered, outcome.limitedTo(c.manager.options.MaxStoredBytes))
}

// NotRun gives the claim up: the request certainly did not run, and from now on
// BeginDispatch returns an error. A resend may claim the request again.
func (c *Claim) NotRun(code result.Code) {
	c.end(StateNotRun, Outcome{Code: code})
}

// Unknown ends the claim of a request that may have run.
func (c *Claim) Unknown(code result.Code) {
	c.end(StateUnknown, Outcome{Code: code})
}

// end ends the claim. Only the first call has an effect.
func (c *Claim) end(state State, outcome Outcome) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.ended = true
	c.mu.Unlock()
	c.manager.queueEnd(c.entry, state, outcome)
}
