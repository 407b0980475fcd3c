// Package dialect describes how callers and targets spell what a request
// needs: the names of headers, and what an answer's head says about the run.
// The rest of the product asks a Dialect and knows no header of its own. Own is
// the dialect of docs/CALLERS.md and docs/TARGETS.md; an adapter to another
// system brings its own value.
package dialect

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/notice"
)

// Getter returns a header's value by its canonical name; empty if it is absent.
type Getter func(name string) string

// Dialect is one way of speaking with callers and targets. An empty header name
// means that the dialect has no such header. It must not be changed in use.
type Dialect struct {
	// RequestID carries the request's id to targets. If CallerSetsID, callers
	// send it and the id in logs is theirs.
	RequestID    string
	CallerSetsID bool
	// EchoesID says that targets repeat the id in each answer, so that an answer
	// with another one belongs to another request.
	EchoesID bool
	// StatusPromises says that callers go by the HTTP status alone: 408, 421, 429
	// and 503 promise that the request did not run.
	StatusPromises bool
	// RetryFractions says that callers read fractions in Retry-After.
	RetryFractions bool
	// Key carries a workspace's key from callers.
	Key string
	// Deadline carries how many milliseconds are left, from callers and to targets.
	Deadline string
	// Workspace tells targets the name of the key's workspace.
	Workspace string
	// ExpectTarget names the incarnation that is to run the request, so that a
	// new owner of its address refuses it.
	ExpectTarget string
	// FetchFrom names the address of a target that keeps parts of the prompt,
	// which the target is to fetch rather than read.
	FetchFrom string
	// ResumeAfter carries the id of the last event that a caller has.
	ResumeAfter string
	// Seal marks an answer as the target's own; a success without it is not one.
	Seal string
	// Reserved are headers that only this fleet sets: a caller's are dropped.
	Reserved []string
	// UnframedEnds says that an answer without a length that ends with its
	// connection is whole.
	UnframedEnds bool
	// RefusedNotRun says by an answer's head that the target refused the request
	// and did not run it.
	RefusedNotRun func(status int, header Getter) bool
	// Notice reads what an answer's head says of the target itself; nil: nothing.
	Notice func(status int, header Getter) notice.Notice
	// Work reads what the caller says about the tokens of the request; nil: nothing.
	Work func(header Getter) control.Work
}

// Headers of the product's own dialect towards targets.
const (
	// HeaderRequestID carries the request id.
	HeaderRequestID = "Walnut-Request-Id"
	// HeaderNotRun with the value "true" on a 503 says that the target refused
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

// Owns says whether the fleet itself sets a header towards targets, so that a
// caller's value must not pass. The name is canonical.
func (d *Dialect) Owns(name string) bool {
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

// TimeLeft is a deadline as targets are told it: whole milliseconds, at least 1.
func TimeLeft(deadline, now time.Time) int64 {
	return max(1, deadline.Sub(now).Milliseconds())
}

// maxRetryAfter is the longest advice of a target that is believed.
const maxRetryAfter = time.Hour

// RetryAfter reads the seconds of a Retry-After header; zero if there are none or they cannot
// be read.
func RetryAfter(header Getter) time.Duration {
	seconds, err := strconv.ParseFloat(header(fasthttp.HeaderRetryAfter), 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
