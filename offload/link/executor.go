package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/offload/link/linkpb"
)

// ErrDeclined is returned by a Handler that did not run the request.
var ErrDeclined = errors.New("link: request declined")

// Handler serves one request. It reads the HTTP request from conn, writes the HTTP response to it
// and returns when the response is complete. Reads after the end of the request block until the
// caller has gone. When the caller has gone, ctx is cancelled, reads return io.EOF and writes
// fail. A Handler that returns an error that wraps ErrDeclined before the first Write ends the
// request as offload.Declined; any other error, and nil without a Write, as offload.Broken.
type Handler func(ctx context.Context, from control.NodeID, request offload.Request, conn net.Conn) error

// Executor is the side of a link that serves requests.
type Executor struct {
	connection
	from    control.NodeID
	handler Handler

	// partial is the request of which parts are missing; used by the goroutine that reads.
	partial *response
	// transit is used by the goroutine that reads.
	transit transit
	// muted is set while the source is silent: it may hear the executor although the executor does
	// not hear it, and is then allowed no new requests.
	muted atomic.Bool

	// The following is guarded by connection.mu.
	open map[uint64]*response
	// ready are the responses with something to send.
	ready []*response
	// blocked are the responses that wait for the writer.
	blocked []*response
	// unsent is the number of response bytes in ready responses and in the batch being written.
	unsent int
	// running is the number of Handlers, unsentEnds that of requests whose Handler returned and
	// whose end is not written.
	running    int
	unsentEnds int
	received   uint64 // number of the last request
	wanted     uint64
	// total and maxOpen are the allowance, topOpen the highest maxOpen so far.
	total         uint64
	maxOpen       uint64
	topOpen       uint64
	closing       bool
	allowanceDue  bool
	writtenBuffer []byte
	// writtenBytes and writtenEnds describe the batch that is being written.
	writtenBytes int
	writtenEnds  int
}

// NewExecutor starts the executor's side of a link on a connection, which it closes at the end.
// The allowance is zero until SetAllowance is called.
func NewExecutor(from control.NodeID, conn net.Conn, handler Handler, options Options) *Executor {
	e := &Executor{from: from, handler: handler, open: make(map[uint64]*response)}
	options = options.complete()
	e.init(e, conn, options, 2*options.IdleTimeout)
	e.framesKeepOpen = true
	e.start()
	return e
}

// SetAllowance allows the source to send more requests in addition to those allowed before, and
// sets how many may be open at once.
func (e *Executor) SetAllowance(more, maxOpen int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	more, maxOpen = max(0, more), max(0, maxOpen)
	if more == 0 && uint64(maxOpen) == e.maxOpen {
		return
	}
	e.total += uint64(more)
	e.maxOpen = uint64(maxOpen)
	e.topOpen = max(e.topOpen, e.maxOpen)
	e.allowanceDue = true
	e.wakeWriter()
}

// Drain sets the allowance to zero for good and asks the source to end the link once no request is
// open.
func (e *Executor) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closing = true
	e.allowanceDue = true
	e.wakeWriter()
}

// Demand returns the number of requests that the source sent and that it wanted to send since the
// link opened.
func (e *Executor) Demand() (sent, wanted uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received, max(e.received, e.wanted)
}

// OpenRequests returns the number of requests that are being served or whose end is not written to
// the link. Requests of callers that have gone count until their Handler returns.
func (e *Executor) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + e.unsentEnds
}

// HeldBytes returns the response bytes that are not written to the link. Request bytes count in
// Options.Budget.
func (e *Executor) HeldBytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int64(e.unsent)
}

// openLocked implements endpoint.
func (e *Executor) openLocked() int { return len(e.open) }

// isAwaitedLocked implements endpoint. Requests of callers that have gone are not open. The others
// have deadlines, which their Handlers enforce.
func (e *Executor) isAwaitedLocked() bool { return len(e.open) > 0 }

// checkLocked implements endpoint.
func (e *Executor) checkLocked(now time.Duration) (write, again bool) {
	if e.isSilentLocked(now) && !e.muted.Swap(true) {
		e.allowanceDue = true
	}
	if len(e.open) > 0 && !e.writing && now-e.wroteAt >= e.options.PingInterval-e.options.CheckInterval {
		e.allowanceDue = true
	}
	return e.allowanceDue, false
}

// takeLocked implements endpoint.
func (e *Executor) takeLocked() []byte {
	b := e.writtenBuffer[:0]
	e.writtenBytes, e.writtenEnds = 0, 0
	if e.allowanceDue {
		e.allowanceDue = false
		b = appendAllowance(b, e.total, e.allowedOpenLocked(), e.closing)
	}
	for len(e.ready) > 0 && len(b) < maxBatchBytes {
		r := e.ready[0]
		e.ready[0] = nil
		e.ready = e.ready[1:]
		b = e.appendAnswerLocked(b, r)
	}
	e.writtenBuffer = b
	if len(b) == 0 {
		e.ready = nil
		e.writtenBuffer = nil
		return nil
	}
	return b
}

// allowedOpenLocked returns how many requests the source may have open.
func (e *Executor) allowedOpenLocked() uint64 {
	if e.muted.Load() {
		return 0
	}
	return e.maxOpen
}

// appendAnswerLocked appends the next part of a response, and queues the response again if that
// was not the last.
func (e *Executor) appendAnswerLocked(b []byte, r *response) []byte {
	part := r.unsent.Next(maxPartBytes)
	end := linkpb.End_END_NONE
	if r.finished && r.unsent.Len() == 0 {
		end = ends[r.outcome]
		if !r.gone {
			e.writtenEnds++
		}
	}
	b = appendAnswer(b, r.number, part, end)
	e.writtenBytes += len(part)
	r.queued = false
	if r.unsent.Len() > 0 {
		e.queueLocked(r)
	}
	return b
}

// queueLocked queues a response to be sent.
func (e *Executor) queueLocked(r *response) {
	if !r.queued {
		r.queued = true
		e.ready = append(e.ready, r)
		e.wakeWriter()
	}
}

// wroteLocked implements endpoint.
func (e *Executor) wroteLocked([]byte) {
	e.unsent -= e.writtenBytes
	e.unsentEnds -= e.writtenEnds
	e.writtenBytes, e.writtenEnds = 0, 0
	for _, r := range e.blocked {
		signal(r.writeWake)
	}
	e.blocked = e.blocked[:0]
}

// releaseBuffersLocked implements endpoint.
func (e *Executor) releaseBuffersLocked() { e.writtenBuffer = nil }

// handle implements endpoint.
func (e *Executor) handle(f frame) error {
	e.unmute()
	switch f.kind {
	case kindRequest:
		return e.receive(f)
	case kindCancel:
		e.cancel(f.number)
	case kindTaken:
		return e.take(f)
	case kindPing:
		e.mu.Lock()
		e.wanted = max(e.wanted, f.wanted)
		e.mu.Unlock()
	case kindAnswer, kindAllowance:
		return fmt.Errorf("%w: kind %d from a source", errFrame, f.kind)
	}
	return nil
}

// unmute ends the silence of the source.
func (e *Executor) unmute() {
	if !e.muted.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.muted.Store(false)
	e.allowanceDue = true
	e.wakeWriter()
}

// receive handles a Request frame.
func (e *Executor) receive(f frame) error {
	r := e.partial
	if r == nil {
		var err error
		if r, err = e.begin(f); err != nil {
			return err
		}
		e.partial = r
	}
	r.missing -= len(f.bytes)
	if f.number != r.number || r.missing < 0 || len(f.bytes) == 0 {
		return fmt.Errorf("%w: part of request %d", errFrame, f.number)
	}
	if r.reserved {
		r.request.Raw = append(r.request.Raw, f.bytes...)
	}
	if r.missing == 0 {
		e.partial = nil
		e.serve(r)
	}
	return nil
}

// begin handles the first part of a request.
func (e *Executor) begin(f frame) (*response, error) {
	if f.size == 0 || f.size > uint64(e.options.MaxRequestBytes) {
		return nil, fmt.Errorf("%w: size of request %d", errFrame, f.number)
	}
	r := newResponse(e, f)
	r.request.Waited += e.transit.delay(time.Duration(e.heard.Load()), micros(f.queued))
	if err := e.admit(r); err != nil {
		r.release()
		return nil, err
	}
	return r, nil
}

// admit adds a request to the open ones if the allowance covers it.
func (e *Executor) admit(r *response) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.err != nil:
		return e.err
	case r.number != e.received+1 || r.number > e.total:
		return fmt.Errorf("%w: request %d of %d", errFrame, r.number, e.total)
	case uint64(len(e.open)) >= e.topOpen:
		return fmt.Errorf("%w: %d open requests", errFrame, len(e.open))
	}
	e.received = r.number
	e.open[r.number] = r
	e.running++
	e.activateLocked()
	return nil
}

// serve starts the Handler of a request that is complete, or declines the request if the budget
// does not hold it.
func (e *Executor) serve(r *response) {
	if !r.reserved {
		e.handled(r, ErrDeclined)
		return
	}
	go func() {
		err := e.handler(r.ctx, e.from, r.request, r)
		e.handled(r, err)
	}()
}

// handled ends a request whose Handler returned.
func (e *Executor) handled(r *response, err error) {
	r.release()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	r.closed = true
	if r.gone {
		return
	}
	e.endLocked(r, r.outcomeOf(err))
}

// endLocked ends a request.
func (e *Executor) endLocked(r *response, outcome offload.Outcome) {
	delete(e.open, r.number)
	r.finished = true
	r.outcome = outcome
	if !r.gone {
		e.unsentEnds++
	}
	e.queueLocked(r)
}

// cancel handles a Cancel frame. The request ends at once: its Handler may still run, but
// what it writes would be of no use.
func (e *Executor) cancel(number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.open[number]
	if r == nil {
		return
	}
	e.abandonLocked(r, errCallerGone)
	e.endLocked(r, offload.Broken)
}

// abandonLocked makes the caller of a request count as gone, for a reason.
func (e *Executor) abandonLocked(r *response, reason error) {
	r.gone = true
	e.unsent -= r.unsent.Len()
	r.unsent.Reset()
	r.cancel(reason)
}

// take handles a Taken frame.
func (e *Executor) take(f frame) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.open[f.number]
	if r == nil {
		return nil
	}
	if f.taken > uint64(r.untaken) {
		return fmt.Errorf("%w: taken %d of %d", errFrame, f.taken, r.untaken)
	}
	r.untaken -= int(f.taken)
	signal(r.writeWake)
	return nil
}

// finish implements endpoint.
func (e *Executor) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.partial != nil { // its Handler will not be called
		e.running--
		e.partial.release()
	}
	reason := fmt.Errorf("%w: %w", errSourceGone, e.err)
	for _, r := range e.open {
		e.abandonLocked(r, reason)
	}
	clear(e.open)
	e.ready = nil
	e.blocked = nil
	e.unsent, e.unsentEnds = 0, 0
	e.writtenBytes, e.writtenEnds = 0, 0
}
