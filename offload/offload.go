// Package offload defines what the parts of offloading share. A router that is overloaded, the
// source, forwards requests that it would otherwise refuse to a router with spare processor time,
// the executor, and copies the responses back to its callers.
package offload

import "time"

// Request is a caller's complete request as it arrived.
type Request struct {
	// ID is the caller's request ID, for logs; may be empty.
	ID string
	// Raw is the HTTP/1.1 request: head and body.
	Raw []byte
	// Config is the number of the configuration version in force at the source.
	Config uint64
	// Waited is the time since the request arrived at the source.
	Waited time.Duration
}

// Outcome is how an offloaded request ended.
type Outcome int

// The outcomes of offloaded requests.
const (
	// Complete: the whole response was passed on.
	Complete Outcome = iota
	// Declined: the request certainly did not run, and no byte of a response was passed on.
	Declined
	// Broken: the request may have run, and bytes of the response may be missing.
	Broken
)

// String returns the outcome as written to logs and labels of metrics.
func (o Outcome) String() string { return [...]string{"complete", "declined", "broken"}[o] }

// Answer receives the response. Its methods are called sequentially and must not block.
type Answer interface {
	// Write takes the next bytes of the HTTP response. p is valid until Write returns.
	Write(p []byte)
	// End is called exactly once, as the last call. loss is the reason if the outcome is Broken, and
	// empty otherwise.
	End(outcome Outcome, loss Loss)
}

// Sender sends requests to executors.
type Sender interface {
	// Available reports whether Send may take a request now. A caller that got false asks again
	// with the next request. It is cheap, so that nothing is prepared for Send in vain.
	Available() bool
	// Send sends a request if an executor has granted allowance for one, and returns nil
	// otherwise. It never blocks.
	Send(request Request, answer Answer) Sent
}

// Sent is a request that was sent. Its methods never block, may be called from any goroutine at
// any time, and have no effect once Answer.End was called.
type Sent interface {
	// Taken records that n more bytes of the response were written to the caller.
	Taken(n int)
	// Cancel records that the caller has gone. Answer.End is still called.
	Cancel()
	// Silent reports whether the executor, or the way to it, has been silent for longer than a sound
	// one is: it may go on, or be gone. The request stays open until Cancel is called. Silent calls no
	// method of Answer.
	Silent() bool
}
