// Package targets is the client for model engines and plain services. It reuses connections,
// never retries on its own, and reports for every failure whether the request may have run.
package targets

import (
	"context"
	"io"
	"time"

	"github.com/walnutcove/walnutcove/control/speed"
)

// Request is one call to a target.
type Request struct {
	// ID is the request id, sent as Walnut-Request-Id.
	ID string
	// Address is the target's "ip:port".
	Address string
	Method  string
	Path    string
	Header  map[string]string
	Body    []byte
	// Offset asks the target to resume a stream after this many body bytes; zero starts from
	// the beginning. Only for targets that support resuming.
	Offset int64
	// Host is the host name that the caller sent; if empty, Address is used.
	Host string
	// Workspace is the workspace's name, if the dialect sends it to targets.
	Workspace string
	// Target names the incarnation that is to run the request, if the dialect sends it to
	// targets; empty means any.
	Target string
	// Deadline is when the caller gives up, if the dialect sends it to targets; zero if not
	// known.
	Deadline time.Time
	// IsCallerGone reports whether the caller has gone away; nil means that it has not. It is
	// called right before anything is written, if getting a connection took long.
	IsCallerGone func() bool
	// TargetServes reports whether the target still accepts work; nil means that it does. It is
	// called right before anything is written.
	TargetServes func() bool
	// OnCallerGone registers a function that is run by whoever detects that the caller has gone
	// away, and that must not block; see pipeline.Exchange.OnCallerGone. If OnCallerGone is nil,
	// only ctx ends the call.
	OnCallerGone func(f func()) (stop func() bool)
	// FirstByteTimeout bounds the sending of the request and the wait for the head of the
	// answer; zero means Options.FirstByteTimeout.
	FirstByteTimeout time.Duration
	// StallTimeout bounds the gap between parts of the body of the answer; zero means
	// Options.StallTimeout.
	StallTimeout time.Duration
	// FetchAddress is the "ip:port" of the target that holds shared parts of the prompt, if the
	// dialect sends it to targets; empty if nothing is to be fetched.
	FetchAddress string
	// LastEventID asks to continue a stream after this event; empty means from the beginning, or
	// from where the caller's own header requests.
	LastEventID string
	// Fence is the fencing number sent with an order; zero sends none.
	Fence uint64
}

// Framing is how the end of an answer's body is determined. A Framing is also written to logs
// and to the label of a counter.
type Framing string

// The framings of answers.
const (
	// FramingLength means that the head states the length of the body, which may be zero.
	FramingLength Framing = "length"
	// FramingChunked means that the body is sent in chunks and ends with an empty one.
	FramingChunked Framing = "chunked"
	// FramingClose means that the body ends with its connection. HTTP does not distinguish a
	// whole body from one that was cut off.
	FramingClose Framing = "close"
)

// Response is a target's answer. Body must be closed; closing it before its end cancels the
// run. A Body that does not end as the target framed it returns an error other than io.EOF.
type Response struct {
	Status int
	Header map[string]string
	Body   io.ReadCloser
	// Framing is how the end of Body is determined.
	Framing Framing
	// Load is what the target reported about its load with the head, which was read right before
	// the Response was returned; the zero value if it reported nothing valid.
	Load speed.Reading
}

// header returns a header by its canonical name; empty if it is absent.
func (r *Response) header(name string) string { return r.Header[name] }

// Client calls targets.
type Client interface {
	// Do sends the request and returns when the head of the answer has arrived. Errors are
	// *result.Error with an accurate Ran: RanNo only if no byte was written or the target
	// refused before running. Cancelling ctx ends the run. LoadOf returns what a target reported
	// about its load, also with a refusal.
	Do(ctx context.Context, req Request) (*Response, error)
	// Load requests a target's load report, which may lack CachedPrefixes.
	Load(ctx context.Context, address string) (Load, error)
}

// Load is a target's load report.
type Load struct {
	Running        int      `json:"running"`
	Queued         int      `json:"queued"`
	Slots          int      `json:"slots"`
	Leaving        bool     `json:"leaving"`
	CachedPrefixes []uint64 `json:"cached_prefixes,omitempty"`
	// StartID distinguishes one start of the target from the next; zero if the target does not
	// report it.
	StartID uint64 `json:"start_id,omitempty"`
	// Age is how old the report was when the target sent it.
	Age time.Duration `json:"age_ns,omitempty"`
}
