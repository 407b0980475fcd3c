// Package dialect describes the HTTP headers that callers and targets use: the
// names of request headers, and what an answer's head reports about the run. The
// rest of the product takes these names and rules from a Dialect. Own is the
// dialect of docs/CALLERS.md and docs/TARGETS.md; an adapter to another system
// defines its own Dialect.
package dialect

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/control/speed"
)

// Getter returns a header's value by its canonical name; empty if it is absent.
type Getter func(name string) string

// Dialect holds the headers and rules of one protocol with callers and targets.
// An empty header name means that the dialect has no such header. A Dialect must
// not be changed once it is in use.
type Dialect struct {
	// RequestID carries the request's id to targets. If CallerSetsID is set, callers
	// send the id, and it is the one in logs.
	RequestID    string
	CallerSetsID bool
	// EchoesID means that targets repeat the request's id in each answer, so that an
	// answer without it belongs to another request. An answer with another id does in any
	// dialect.
	EchoesID bool
	// StatusTellsNotRun means that callers look at the HTTP status alone: 408, 421, 429
	// and 503 promise that the request did not run.
	StatusTellsNotRun bool
	// FractionalRetryAfter means that callers accept fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// Key carries a workspace's key from callers.
	Key string
	// Deadline carries how many milliseconds are left, from callers and to targets.
	Deadline string
	// Workspace carries the name of the key's workspace to targets.
	Workspace string
	// ExpectTarget names the target incarnation that is to run the request, so that
	// another one at the same address refuses it.
	ExpectTarget string
	// FetchFrom carries the address of another target that has parts of the prompt in
	// its cache. The target is to fetch them from there instead of computing them.
	FetchFrom string
	// ResumeAfter carries the id of the last event that a caller has received.
	ResumeAfter string
	// ResumedRequest carries, when a caller reconnects to a stream, the id of the request that
	// brought the stream's first event.
	ResumedRequest string
	// Seal marks an answer as written by the target; a success without it does not count as one.
	Seal string
	// Reserved are headers that only this fleet sets: those of callers are dropped.
	Reserved []string
	// CloseDelimited means that an answer without a length is complete when its
	// connection is closed. An event stream must also end between two events.
	CloseDelimited bool
	// WholeEvents means that targets end event streams between two events: one that ends inside
	// an event has been broken off, however it is framed.
	WholeEvents bool
	// RefusedNotRun reports by an answer's head whether the target refused the request
	// and did not run it.
	RefusedNotRun func(status int, header Getter) bool
	// Notice reads what an answer's head reports about the target itself; nil: nothing.
	Notice func(status int, header Getter) notice.Notice
	// Load reads what an answer's head reports about the target's load: the zero value if it
	// reports nothing, and an error if it is invalid; nil: nothing.
	Load func(header Getter) (speed.Reading, error)
	// Work reads what the caller declares about the tokens of the request; nil: nothing.
	Work func(header Getter) control.Work
}

// Headers between routers and targets in the product's own dialect.
const (
	// HeaderRequestID carries the request id.
	HeaderRequestID = "Walnut-Request-Id"
	// HeaderNotRun with the value "true" on a 503 means that the target refused
	// the request before running it.
	HeaderNotRun = "Walnut-Not-Run"
)

// Own is the product's own dialect.
var Own = &Dialect{
	RequestID: HeaderRequestID,
	RefusedNotRun: func(status int, header Getter) bool {
		return status == fasthttp.StatusServiceUnavailable && header(HeaderNotRun) == "true"
	},
}

// SetByFleet reports whether the fleet itself sets a header of requests to targets, so that
// a caller's value must not be forwarded. The name is canonical.
func (d *Dialect) SetByFleet(name string) bool {
	switch name {
	case d.RequestID, d.Key, d.Deadline, d.Workspace, d.ExpectTarget, d.FetchFrom:
		return name != ""
	}
	for _, reserved := range d.Reserved {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	return false
}

// MillisLeft returns the value of the Deadline header: the whole milliseconds until the
// deadline, at least 1.
func MillisLeft(deadline, now time.Time) int64 {
	return max(1, deadline.Sub(now).Milliseconds())
}

// maxRetryAfter is the longest Retry-After of a target that is accepted; longer ones are ignored.
const maxRetryAfter = time.Hour

// RetryAfter reads a Retry-After header in seconds; zero if it is absent or not a valid number.
func RetryAfter(header Getter) time.Duration {
	seconds, err := strconv.ParseFloat(header(fasthttp.HeaderRetryAfter), 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
