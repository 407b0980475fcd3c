package pipeline

import (
	"context"
	"encoding/binary"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
)

// Run is a granted slot of a target.
type Run interface {
	// Begin says that the target has begun to answer: what it had to read is
	// read. Only the first call counts.
	Begin()
	// End frees the slot. Only the first call counts.
	End(outcome control.Outcome)
}

// Exchange is one request and its answer on their way through the pipeline.
// It owns copies of everything: nothing in it points into a fasthttp buffer.
type Exchange struct {
	// Sequence numbers the request within this process. Set by accept.
	Sequence uint64
	// ID is the request id, unique across the fleet; it is in every log line.
	ID string
	// Arrived is when the request had arrived whole.
	Arrived time.Time

	// Set by accept.
	Method      string
	Path        string // path with query, as sent
	Host        string // as sent, with its port if it had one
	ContentType string
	Header      map[string]string // forwarded headers and Walnut-*; canonical names
	Body        []byte
	// CallerGone is closed when the caller's connection is found closed.
	CallerGone <-chan struct{}
	// LookForCaller, if set, looks at the caller's connection and says whether it is
	// closed. CallerGone tells that later, at the next look at all connections.
	LookForCaller func() bool
	// TargetServes, set with a grant, says whether the target granted is still listed, as
	// one that takes work.
	TargetServes func() bool

	// Serving ends when the exchange has ended or the router is stopped by
	// force, but not when the caller goes away. See RunContext.
	Serving context.Context
	// EndBy, if set, has the caller get the refusal that refuse returns at a time, if the
	// exchange has no answer by then; the exchange goes on, and its answer is dropped. stop
	// gives that up; it reports false if the caller has been refused. refuse is called from
	// another goroutine than the exchange's.
	EndBy func(at time.Time, refuse func() error) (stop func() bool)

	// Set by authenticate.
	Snapshot      *config.Snapshot
	WorkspaceName string
	Workspace     config.Workspace

	// Set by classify.
	PoolName       string
	Pool           config.Pool
	Model          string
	Stream         bool
	Idempotent     bool
	IdempotencyKey string
	CostHint       time.Duration // slot time; zero if the caller gave none
	Deadline       time.Time     // never zero
	PrefixHash     uint64        // hash of the prompt's beginning; zero if none
	Fingerprint    uint64        // hash of workspace, path and body

	// Route is the route that serves the request; nil where pools are found by
	// model and path.
	Route *config.NamedRoute
	// Work is what the caller says about the tokens of the request.
	Work control.Work

	// Set by grant for each attempt.
	Attempt  int
	Target   string
	Address  string
	Excluded []string // targets that failed this request
	// Placed is what the scheduler went by, for logs.
	Placed Placement
	// FetchAddress is the target that keeps shared parts of the prompt, if the
	// target is to fetch them; empty otherwise.
	FetchAddress string
	// AfterEvent is the id of the last event that the caller has; empty before
	// the first one. A stream that goes on elsewhere begins behind it.
	AfterEvent string
	// Run is the granted slot. Set by grant; dispatch and relay end it.
	Run Run

	// Answer, set by dispatch and relay. Exactly one of AnswerBody and
	// AnswerStream is used. A stream that ends with an error other than io.EOF
	// must break the caller's connection, never end it cleanly.
	Status       int
	AnswerHeader map[string]string
	AnswerBody   []byte
	AnswerStream io.ReadCloser

	// BeforeDispatch functions run right before the first byte is written to
	// a target; an error refuses the request as not run.
	BeforeDispatch []func() error

	began   atomic.Int64 // nanoseconds from arrival to the answer's beginning
	sent    atomic.Int32 // see BeginSend
	endOnce sync.Once
	mu      sync.Mutex
	onEnd   []func(error)
	onGone  []*goneFunc
}

// goneFunc is a function added with OnCallerGone.
type goneFunc struct{ run func() }

// Placement is what a scheduler went by when it chose the target of a request.
type Placement struct {
	// Start is when the answer was predicted to begin, from the grant.
	Start time.Duration
	// Reads is how many tokens of the prompt the target had to read.
	Reads int
	// FetchFrom names the target that shared parts were to be fetched from.
	FetchFrom string
}

// HashContent hashes what makes two requests the same: workspace, path and body.
// Lengths keep the parts apart.
func (ex *Exchange) HashContent() uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	for _, part := range []string{ex.WorkspaceName, ex.Path} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		d.Write(length[:])
		d.WriteString(part)
	}
	d.Write(ex.Body)
	return d.Sum64()
}

// MarkBegan notes that the answer has begun; only the first call counts.
func (ex *Exchange) MarkBegan() {
	ex.began.CompareAndSwap(0, int64(max(1, time.Since(ex.Arrived))))
}

// Began is the time from the request's arrival to the beginning of its answer;
// zero if there was none.
func (ex *Exchange) Began() time.Duration { return time.Duration(ex.began.Load()) }

// OnEnd adds a function that runs once, when the answer has been sent whole
// (nil error), broken off, or refused. Functions run last added first.
func (ex *Exchange) OnEnd(f func(error)) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.onEnd = append(ex.onEnd, f)
}

// OnCallerGone adds a function that is run once the caller is found to have gone away,
// by whoever found it and before anything else is. It must not block. On a router that
// runs late each goroutine in between waits for the processor in its turn: runs went on
// for 0.6 s and more after their callers had left. stop takes the function out again,
// and reports whether it has not run and will not.
func (ex *Exchange) OnCallerGone(f func()) (stop func() bool) {
	one := &goneFunc{run: f}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.onGone = append(ex.onGone, one)
	return func() bool {
		ex.mu.Lock()
		defer ex.mu.Unlock()
		at := slices.Index(ex.onGone, one)
		if at < 0 {
			return false
		}
		ex.onGone = slices.Delete(ex.onGone, at, at+1)
		return true
	}
}

// CallerWentAway runs the functions added with OnCallerGone. The mutex is held, so that
// none runs once its stop has returned.
func (ex *Exchange) CallerWentAway() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, one := range ex.onGone {
		one.run()
	}
	ex.onGone = nil
}

// HasCallerLeft is IsCallerGone with a look at the connection, which costs a
// system call.
func (ex *Exchange) HasCallerLeft() bool {
	return ex.IsCallerGone() || ex.LookForCaller != nil && ex.LookForCaller()
}

// IsCallerGone says whether the caller's connection was found closed.
func (ex *Exchange) IsCallerGone() bool {
	select {
	case <-ex.CallerGone:
		return true
	default:
		return false
	}
}

// OutlivesCaller says whether a run of this request goes on when its caller
// goes away: a non-idempotent one does, so that a resend gets its answer from
// the run record, and so that what it does at the target is not left half done.
// On routes a stream never does: nobody could have the rest of it.
func (ex *Exchange) OutlivesCaller() bool {
	if ex.Route != nil && ex.Route.Kind != config.RouteNonIdempotent {
		return false
	}
	return !ex.Idempotent && ex.Serving != nil
}

// RunContext returns the context of a dispatched run, given that of a filter.
func (ex *Exchange) RunContext(ctx context.Context) context.Context {
	if ex.OutlivesCaller() {
		return ex.Serving
	}
	return ctx
}

// IsAbandoned says whether the caller has gone and its run is to be cancelled.
func (ex *Exchange) IsAbandoned() bool { return ex.IsCallerGone() && !ex.OutlivesCaller() }

// End runs the functions added with OnEnd. Only the first call counts.
func (ex *Exchange) End(err error) {
	ex.endOnce.Do(func() {
		ex.mu.Lock()
		fs := ex.onEnd
		ex.onEnd = nil
		ex.mu.Unlock()
		for i := len(fs) - 1; i >= 0; i-- {
			fs[i](err)
		}
	})
}
