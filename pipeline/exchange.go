package pipeline

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/targets"
)

// ErrRefusedAtDeadline ends an exchange whose caller got a refusal at its deadline while the exchange
// was still running; see Exchange.EndBy.
var ErrRefusedAtDeadline = errors.New("pipeline: the caller was already refused at its deadline")

// Run is a granted slot of a target.
type Run interface {
	// Begin reports that the target has begun to answer, so that it has finished
	// reading its input. Only the first call has an effect.
	Begin()
	// SetLoad records what the target reports about its load at this moment. It is called before
	// Begin and End, if at all.
	SetLoad(reading speed.Reading)
	// Silent reports that the target has sent nothing for so long that another one is asked for.
	Silent()
	// Overdue reports that the target has not begun to answer although the request's deadline,
	// which it was told, has passed.
	Overdue()
	// End frees the slot. Only the first call has an effect.
	End(outcome control.Outcome)
}

// Exchange holds one request and its answer while they pass through the pipeline.
// It owns copies of all its data: nothing in it points into a fasthttp buffer.
type Exchange struct {
	// Sequence is the number of the request within this process. Set by accept.
	Sequence uint64
	// ID is the request id, unique across the fleet; it is in every log line.
	ID string
	// Arrived is when the request had been received completely, by the router that the caller is
	// connected to.
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
	// ProbeCallerGone, if set, checks the caller's connection and reports whether it is
	// closed. CallerGone is closed later, at the next check of all connections.
	ProbeCallerGone func() bool
	// OffloadedFrom is the router that holds the caller's connection and forwarded the request;
	// empty if the caller is connected to this router.
	OffloadedFrom string
	// GatherEvents makes the filter events pass on several events together. Each piece of a
	// response costs processor time at the router that forwarded the request.
	GatherEvents bool
	// HoldAnswer, if set, accounts for memory that holds parts of the answer until the caller has
	// read them: bytes more, or fewer if negative. It reports false if there is no room. All is
	// returned at the end of the exchange. It may be called from any goroutine. See HoldBytes.
	HoldAnswer func(bytes int64) bool
	// TargetServes, set with a grant, reports whether the granted target is still listed
	// as one that accepts work.
	TargetServes func() bool

	// ServingContext ends when the exchange has ended or the router is stopped by
	// force, but not when the caller disconnects. See RunContext.
	ServingContext context.Context
	// EndBy, if set, answers the caller with the refusal that refuse returns if the
	// exchange has no answer at the given time. The exchange continues and its answer is
	// discarded. stop is called once there is an answer; it returns false if the caller has
	// already been refused. An answer that is still being streamed at the given time is cut off
	// there, and refuse returns why. refuse is called from a different goroutine than the
	// exchange's.
	EndBy func(at time.Time, refuse func() error) (stop func() bool)

	// Set by authenticate or route.
	Snapshot      *config.Snapshot
	WorkspaceName string
	Workspace     config.Workspace

	// Set by classify or route.
	PoolName       string
	Pool           config.Pool
	Model          string
	Stream         bool
	Idempotent     bool
	IdempotencyKey string
	CostHint       time.Duration // expected slot time; zero if the caller gave none
	Deadline       time.Time     // never zero
	LimitedByRoute bool          // Deadline is the route's time limit, not the caller's
	PrefixHash     uint64        // hash of the beginning of the prompt; zero if none
	Fingerprint    uint64        // hash of workspace, path and body

	// ResumedRequest is the id of the request that brought the first event of the stream
	// to which the caller reconnects; empty if it names none. CallerEventID is the id of the
	// last event that it has; empty if it has none or the route's streams cannot be resumed.
	ResumedRequest string
	CallerEventID  string

	// Continues reports that the caller reconnects to a stream that is known to have begun.
	Continues bool
	// Software limits the targets to those of the version that began the stream, once the
	// caller has an event of it.
	Software config.SoftwareLimit

	// Route is the route that serves the request; nil if the pool is selected by
	// model and path instead.
	Route *config.NamedRoute
	// Work holds what the caller states about the tokens of the request.
	Work control.Work

	// Set for each attempt: Attempt and Excluded by retry and hedge, Target, Address and
	// TargetSoftware by grant.
	Attempt  int
	Target   string
	Address  string
	Excluded []string // targets that failed this request
	// EarlierRuns is how many attempts before this one may have run.
	EarlierRuns int
	// TargetSoftware is the version of the software that Target runs; empty if unknown.
	TargetSoftware string
	// Placement holds what the scheduler predicted for the target, for logs and for
	// the limit of a target's silence.
	Placement Placement
	// FetchAddress is the address of the target that caches shared parts of the
	// prompt, if the granted target is to fetch them; empty otherwise.
	FetchAddress string
	// LastEventID is the id of the last event that the caller received; empty before
	// the first one. A stream resumed on another target continues after it.
	LastEventID string
	// Run is the granted slot. Set by grant; dispatch and relay end it.
	Run Run

	// Answer, set by dispatch and relay. Exactly one of AnswerBody and
	// AnswerStream is used. If the stream ends with an error other than io.EOF,
	// the caller's connection must be broken, never closed cleanly.
	Status       int
	AnswerHeader map[string]string
	AnswerBody   []byte
	AnswerStream io.ReadCloser
	// AnswerFraming is how the target framed the answer, for logs; empty if no target
	// has answered.
	AnswerFraming targets.Framing

	// BeforeDispatch functions run right before the first byte is written to
	// a target; an error refuses the request as not run.
	BeforeDispatch []func() error

	// parent is the exchange that this one is another attempt of; nil if it is none.
	parent *Exchange

	timeToAnswer atomic.Int64 // nanoseconds from arrival to the beginning of the answer
	targetHeard  atomic.Int64 // nanoseconds from arrival to the latest bytes of the target
	targetWait   atomic.Int64 // nanoseconds for which the target's events were waited for
	longestGap   atomic.Int64 // the longest of these waits after the first event, in nanoseconds
	events       atomic.Int64 // complete events of the answer
	sendState    atomic.Int32 // see BeginSend
	unattended   atomic.Bool  // see MarkUnattended
	endOnce      sync.Once
	mu           sync.Mutex
	onEnd        []func(error)
	ended        bool // End was called, with endErr
	endErr       error
	onCallerGone []*callerGoneFunc
}

// callerGoneFunc is a function added with OnCallerGone.
type callerGoneFunc struct{ call func() }

// Placement holds a scheduler's predictions for the target that it chose.
type Placement struct {
	// PredictedStart is the predicted time from the grant to the beginning of the answer.
	PredictedStart time.Duration
	// UncachedTokens is the number of prompt tokens that the target had to read.
	UncachedTokens int
	// FetchFrom names the target to fetch shared parts of the prompt from.
	FetchFrom string
}

// HoldBytes calls HoldAnswer. Without it there is always room.
func (ex *Exchange) HoldBytes(bytes int) bool {
	return ex.HoldAnswer == nil || ex.HoldAnswer(int64(bytes))
}

// HashContent hashes the fields that make two requests equal: workspace, path and body.
// The workspace and the path are preceded by their lengths, so that different splits of
// the same bytes hash differently.
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

// MarkAnswerBegan records that the answer has begun. Only the first call has an effect.
func (ex *Exchange) MarkAnswerBegan() {
	ex.timeToAnswer.CompareAndSwap(0, int64(max(1, time.Since(ex.Arrived))))
}

// TimeToAnswer returns the time from the request's arrival to the beginning of its
// answer; zero if no answer has begun.
func (ex *Exchange) TimeToAnswer() time.Duration { return time.Duration(ex.timeToAnswer.Load()) }

// MarkTargetHeard records that bytes of the target's answer have arrived.
func (ex *Exchange) MarkTargetHeard() { ex.targetHeard.Store(int64(max(1, time.Since(ex.Arrived)))) }

// RecordEvents records that further events of the target's answer arrived after a wait. Waits
// are recorded by one goroutine at a time.
func (ex *Exchange) RecordEvents(events int, wait time.Duration) {
	ex.targetWait.Add(int64(wait))
	if ex.events.Add(int64(events)) > int64(events) && int64(wait) > ex.longestGap.Load() {
		ex.longestGap.Store(int64(wait))
	}
}

// EventProgress is how far an answer that is an event stream got.
type EventProgress struct {
	// Events is the number of complete events that arrived.
	Events int
	// TargetWait is the total time for which they were waited for, and LongestGap the longest
	// wait after the first one. The remaining time passed at this router and its caller.
	TargetWait, LongestGap time.Duration
}

// EventProgress returns how far the answer got; the zero value if no event arrived.
func (ex *Exchange) EventProgress() EventProgress {
	return EventProgress{
		Events:     int(ex.events.Load()),
		TargetWait: time.Duration(ex.targetWait.Load()),
		LongestGap: time.Duration(ex.longestGap.Load()),
	}
}

// TargetSilence returns how long before a time the latest bytes of the target's answer arrived; zero
// if none have.
func (ex *Exchange) TargetSilence(at time.Time) time.Duration {
	heard := time.Duration(ex.targetHeard.Load())
	if heard == 0 {
		return 0
	}
	return at.Sub(ex.Arrived) - heard
}

// OnEnd adds a function that runs once, when the answer has been sent completely
// (nil error), has broken off, or the request was refused. Functions run in reverse
// order of their addition; one that is added after the end runs at once.
func (ex *Exchange) OnEnd(f func(error)) {
	ex.mu.Lock()
	ended, err := ex.ended, ex.endErr
	if !ended {
		ex.onEnd = append(ex.onEnd, f)
	}
	ex.mu.Unlock()
	if ended {
		f(err)
	}
}

// OnCallerGone adds a function that runs as soon as the caller's connection is found
// closed, in the goroutine that found it and before any other work. It must not block.
// Passing the event on through other goroutines is slow on an overloaded router, as each
// of them waits for the processor: runs continued for 0.6 s and more after their callers
// had disconnected. stop removes the function and reports whether it has not run and
// never will.
func (ex *Exchange) OnCallerGone(f func()) (stop func() bool) {
	if ex.parent != nil {
		return ex.parent.OnCallerGone(f)
	}
	entry := &callerGoneFunc{call: f}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.onCallerGone = append(ex.onCallerGone, entry)
	return func() bool {
		ex.mu.Lock()
		defer ex.mu.Unlock()
		index := slices.Index(ex.onCallerGone, entry)
		if index < 0 {
			return false
		}
		ex.onCallerGone = slices.Delete(ex.onCallerGone, index, index+1)
		return true
	}
}

// NotifyCallerGone runs the functions added with OnCallerGone. It holds the mutex, so
// that no function runs after its stop has returned.
func (ex *Exchange) NotifyCallerGone() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, entry := range ex.onCallerGone {
		entry.call()
	}
	ex.onCallerGone = nil
}

// IsCallerGoneNow is like IsCallerGone but also checks the connection itself, at the
// cost of a system call.
func (ex *Exchange) IsCallerGoneNow() bool {
	return ex.IsCallerGone() || ex.ProbeCallerGone != nil && ex.ProbeCallerGone()
}

// IsCallerGone reports whether the caller's connection was found closed.
func (ex *Exchange) IsCallerGone() bool {
	select {
	case <-ex.CallerGone:
		return true
	default:
		return false
	}
}

// OutlivesCaller reports whether a run of this request continues after its caller
// disconnects. A non-idempotent run does, so that a resend gets its answer from the
// run record and the target's work is not left half done. A stream on a route never
// does, because nobody could receive the rest of it.
func (ex *Exchange) OutlivesCaller() bool {
	if ex.Route != nil && ex.Route.Kind != config.RouteNonIdempotent {
		return false
	}
	return !ex.Idempotent && ex.ServingContext != nil
}

// MarkUnattended records that the caller receives no more of the answer. What is read of it from
// then on only keeps the run from being cut off.
func (ex *Exchange) MarkUnattended() { ex.unattended.Store(true) }

// IsUnattended reports whether MarkUnattended was called or the caller has disconnected.
func (ex *Exchange) IsUnattended() bool { return ex.unattended.Load() || ex.IsCallerGone() }

// RunContext returns the context for a dispatched run; ctx is the calling filter's.
func (ex *Exchange) RunContext(ctx context.Context) context.Context {
	if ex.OutlivesCaller() {
		return ex.ServingContext
	}
	return ctx
}

// IsAbandoned reports whether the caller has disconnected and the run is to be cancelled.
func (ex *Exchange) IsAbandoned() bool { return ex.IsCallerGone() && !ex.OutlivesCaller() }

// End runs the functions added with OnEnd. Only the first call has an effect.
func (ex *Exchange) End(err error) {
	ex.endOnce.Do(func() {
		ex.mu.Lock()
		onEnd := ex.onEnd
		ex.onEnd, ex.ended, ex.endErr = nil, true, err
		ex.mu.Unlock()
		for i := len(onEnd) - 1; i >= 0; i-- {
			onEnd[i](err)
		}
	})
}
