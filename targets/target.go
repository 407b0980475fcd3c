// Package targets is the client towards model engines and plain services. It
// reuses connections, never retries by itself, and says of every failure
// whether the request may have run.
package targets

import (
	"context"
	"io"
	"time"
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
	// Offset asks the target to resume a stream after this many body bytes;
	// zero starts afresh. Only for targets that resume.
	Offset int64
	// Host is the host name that the caller sent; empty: Address.
	Host string
	// Workspace is the workspace's name, where the dialect tells targets.
	Workspace string
	// Target names the incarnation that is to run the request, where the
	// dialect tells targets; empty: any.
	Target string
	// Deadline is when the caller gives up, where the dialect tells targets;
	// zero: not known.
	Deadline time.Time
	// CallerLeft looks whether the caller is still there; nil: it is. It is asked if a
	// connection was long in coming, right before anything is written.
	CallerLeft func() bool
	// TargetServes looks whether the target still takes work; nil: it does. It is asked
	// right before anything is written.
	TargetServes func() bool
	// OnCallerGone adds a function that is run by whoever finds that the caller has gone
	// away, and must not block; see pipeline.Exchange. nil: nobody tells, and ctx alone
	// ends the call.
	OnCallerGone func(f func()) (stop func() bool)
	// FirstByte bounds the sending of the request and the wait for the answer's head;
	// zero: Options.FirstByteTimeout.
	FirstByte time.Duration
	// Stall bounds the gap between parts of the answer's body; zero:
	// Options.StallTimeout.
	Stall time.Duration
	// FetchAddress is the "ip:port" of the target that keeps shared parts of the
	// prompt, where the dialect tells targets; empty: nothing is to be fetched.
	FetchAddress string
	// AfterEvent asks to go on with a stream behind this event; empty: from the
	// beginning, or from where the caller's own header says.
	AfterEvent string
	// Fence is the fencing number sent with the order; zero sends none.
	Fence uint64
}

// Response is a target's answer. Body must be closed; closing it before its
// end cancels the run. A Body that does not end as the target framed it
// returns an error other than io.EOF.
type Response struct {
	Status int
	Header map[string]string
	Body   io.ReadCloser
}

// header returns a header by its canonical name; empty if it is absent.
func (r *Response) header(name string) string { return r.Header[name] }

// Client calls targets.
type Client interface {
	// Do sends the request and returns when the answer's head has arrived.
	// Errors are *result.Error with Ran set truly: RanNo only if no byte was
	// written or the target refused before running. Cancelling ctx ends the run.
	Do(ctx context.Context, req Request) (*Response, error)
	// Load polls a target's load report, which may leave out CachedPrefixes.
	Load(ctx context.Context, address string) (Load, error)
}

// Load is a target's load report.
type Load struct {
	Running        int      `json:"running"`
	Queued         int      `json:"queued"`
	Slots          int      `json:"slots"`
	Leaving        bool     `json:"leaving"`
	CachedPrefixes []uint64 `json:"cached_prefixes,omitempty"`
	// StartID tells one start of the target from the next; zero if it reports none.
	StartID uint64 `json:"start_id,omitempty"`
	// Age is how old the report was when the target sent it.
	Age time.Duration `json:"age_ns,omitempty"`
}
