package link

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/offload"
)

// Refusal is the reason for which a request was not sent.
type Refusal string

// The reasons for which requests are not sent.
const (
	RefusedNoAllowance Refusal = "no_allowance" // nothing left of the executor's allowance
	RefusedTooLarge    Refusal = "too_large"    // the request exceeds Options.MaxRequestBytes
	RefusedFull        Refusal = "full"         // Options.MaxUnwrittenBytes wait to be written
	RefusedStalled     Refusal = "stalled"      // a write or the executor's next frame is overdue
	RefusedEnded       Refusal = "ended"        // the link has ended
)

// Source is the side of a link that sends requests.
type Source struct {
	connection

	// The following is guarded by connection.mu.
	out  outbox
	open map[uint64]*sentRequest
	// sent is the number of the last request, written the number of the last one of which bytes
	// may have reached the executor.
	sent    uint64
	written uint64
	total   uint64 // the executor's allowance
	maxOpen uint64
	closing bool
	// wanted is the demand, and pinged the one that the executor was told last.
	wanted uint64
	pinged uint64
}

var _ offload.Sender = (*Source)(nil)

// NewSource starts the source's side of a link on a connection, which it closes at the end.
func NewSource(conn net.Conn, options Options) *Source {
	s := &Source{open: make(map[uint64]*sentRequest)}
	options = options.complete()
	s.init(s, conn, options, options.IdleTimeout)
	s.start()
	return s
}

// Available implements offload.Sender.
func (s *Source) Available() bool { return s.Allowance() > 0 }

// Send implements offload.Sender. request.Raw is not retained. The methods of answer may be called
// before Send returns, from another goroutine, and Write once more after Sent.Cancel. They are called
// without locks of the link, so that they may call the methods of Sent.
func (s *Source) Send(request offload.Request, answer offload.Answer) offload.Sent {
	sent, _ := s.Offer(request, answer)
	return sent
}

// Offer is Send, and returns the reason if the request was not sent.
func (s *Source) Offer(request offload.Request, answer offload.Answer) (offload.Sent, Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.refusalLocked(len(request.Raw)); refusal != "" {
		return nil, refusal
	}
	s.sent++
	sent := &sentRequest{source: s, number: s.sent, answer: answer}
	s.open[sent.number] = sent
	s.appendRequestLocked(sent.number, request)
	s.activateLocked()
	s.wakeWriter()
	return sent, ""
}

// refusalLocked returns why a request of a size cannot be sent, or "".
func (s *Source) refusalLocked(size int) Refusal {
	switch {
	case s.err != nil:
		return RefusedEnded
	case size > s.options.MaxRequestBytes || size == 0:
		return RefusedTooLarge
	case s.allowanceLocked() == 0:
		return RefusedNoAllowance
	case s.out.bytes+size > s.options.MaxUnwrittenBytes:
		return RefusedFull
	case s.isStalledLocked(s.now()):
		return RefusedStalled
	}
	return ""
}

// isStalledLocked reports whether a write takes too long or the executor missed the time of its
// next frame: a request sent now would wait for an executor that may be gone. So it would if this
// process was paused and has not read yet that the link ended. The writer of an overloaded process may
// wait 100 ms for the processor, which is no stall.
func (s *Source) isStalledLocked(now time.Duration) bool {
	return s.writing && now-s.wroteAt > s.options.SilenceTimeout/4 ||
		len(s.open) > 0 && s.silenceLocked(now) > s.options.SilenceTimeout/2
}

// appendRequestLocked encodes a request in parts.
func (s *Source) appendRequestLocked(number uint64, request offload.Request) {
	f := frame{
		number: number,
		id:     request.ID[:min(len(request.ID), maxIDBytes)],
		config: request.Config,
		waited: uint64(max(0, request.Waited.Microseconds())),
		size:   uint64(len(request.Raw)),
		queued: uint64(s.now().Microseconds()),
	}
	for raw := request.Raw; len(raw) > 0; {
		part := min(len(raw), maxPartBytes)
		f.bytes = raw[:part]
		raw = raw[part:]
		s.out.append(part+len(f.id)+frameOverheadBytes, number, func(b []byte) []byte {
			return appendRequest(b, f)
		})
		f = frame{number: number}
	}
}

// allowanceLocked returns the requests that may be sent now.
func (s *Source) allowanceLocked() int {
	if s.closing || s.total <= s.sent || s.maxOpen <= uint64(len(s.open)) {
		return 0
	}
	return int(min(s.total-s.sent, s.maxOpen-uint64(len(s.open))))
}

// Allowance returns the number of requests that may be sent now.
func (s *Source) Allowance() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || s.isStalledLocked(s.now()) {
		return 0
	}
	return s.allowanceLocked()
}

// NoteWanted adds n requests to the demand, which the executor is told: requests that were offered
// to this link, whether they were sent or not.
func (s *Source) NoteWanted(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted += uint64(max(0, n))
	s.activateLocked()
}

// OpenRequests returns the number of requests that have not ended.
func (s *Source) OpenRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// HeldBytes returns the bytes of requests that are not written to the link.
func (s *Source) HeldBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.out.bytes)
}

// CloseIdle ends the link unless requests are open, and reports whether none were. It does not wait
// for Done.
func (s *Source) CloseIdle() bool {
	s.mu.Lock()
	isIdle := len(s.open) == 0
	var err error
	if isIdle {
		err = s.endLocked(ErrClosed)
	}
	s.mu.Unlock()
	if err != nil {
		s.closeConn(err)
	}
	return isIdle
}

// Silent reports whether requests are open and the executor has sent nothing for
// Options.SilenceTimeout.
func (s *Source) Silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == nil && s.isSilentLocked(s.now())
}

// openLocked implements endpoint.
func (s *Source) openLocked() int { return len(s.open) }

// isAwaitedLocked implements endpoint.
func (s *Source) isAwaitedLocked() bool {
	for _, sent := range s.open {
		if !sent.cancelled {
			return true
		}
	}
	return false
}

// takeLocked implements endpoint.
func (s *Source) takeLocked() []byte {
	b, ok := s.out.take()
	if !ok {
		return nil
	}
	s.written = max(s.written, b.last)
	return b.data
}

// wroteLocked implements endpoint.
func (s *Source) wroteLocked(data []byte) { s.out.wrote(data) }

// checkLocked implements endpoint.
func (s *Source) checkLocked(now time.Duration) (write, again bool) {
	changed := s.wanted != s.pinged
	due := len(s.open) > 0 && now-s.wroteAt >= s.options.PingInterval-s.options.CheckInterval
	if s.writing || !changed && !due {
		return false, changed
	}
	s.pinged = s.wanted
	s.out.append(frameOverheadBytes, 0, func(b []byte) []byte { return appendPing(b, s.wanted) })
	return true, changed
}

// releaseBuffersLocked implements endpoint.
func (s *Source) releaseBuffersLocked() { s.out.free = nil }

// handle implements endpoint.
func (s *Source) handle(f frame) error {
	switch f.kind {
	case kindAllowance:
		return s.setAllowance(f)
	case kindAnswer:
		return s.deliver(f)
	case kindRequest, kindCancel, kindTaken, kindPing:
		return fmt.Errorf("%w: kind %d from an executor", errFrame, f.kind)
	}
	return nil
}

// setAllowance handles an Allowance frame.
func (s *Source) setAllowance(f frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.total < s.total {
		return fmt.Errorf("%w: the allowance decreased", errFrame)
	}
	s.total = f.total
	s.maxOpen = f.maxOpen
	s.closing = s.closing || f.closing
	return s.drainedLocked()
}

// drainedLocked returns ErrDrained if the executor asked for the end of the link and no request is
// open. It is the source that ends the link, after it has read everything.
func (s *Source) drainedLocked() error {
	if s.closing && len(s.open) == 0 {
		return ErrDrained
	}
	return nil
}

// deliver handles an Answer frame.
func (s *Source) deliver(f frame) error {
	s.mu.Lock()
	sent := s.open[f.number]
	known := f.number > 0 && f.number <= s.written
	passOn := sent != nil && !sent.cancelled
	s.mu.Unlock()
	if !known {
		return fmt.Errorf("%w: response to request %d", errFrame, f.number)
	}
	if sent == nil {
		return nil
	}
	outcome := outcomeOf(f.end)
	if outcome == offload.Declined && (sent.began || len(f.bytes) > 0) ||
		outcome == offload.Complete && f.end != 0 && !sent.began && len(f.bytes) == 0 {
		return fmt.Errorf("%w: end %d of request %d", errFrame, f.end, f.number)
	}
	if len(f.bytes) > 0 {
		sent.began = true
		if passOn {
			sent.answer.Write(f.bytes)
		}
	}
	if f.end == 0 {
		return nil
	}
	return s.endRequest(sent, outcome)
}

// lossOf returns why requests broke that were open when a link ended with an error.
func lossOf(err error) offload.Loss {
	cause := offload.CauseConnection
	switch {
	case errors.Is(err, errFrame):
		cause = offload.CauseProtocol
	case errors.Is(err, ErrSilent):
		cause = offload.CauseSilent
	case errors.Is(err, ErrClosed):
		cause = offload.CauseStopped
	}
	return offload.Loss{Cause: cause, Err: err}
}

// endRequest ends a request.
func (s *Source) endRequest(sent *sentRequest, outcome offload.Outcome) error {
	s.mu.Lock()
	delete(s.open, sent.number)
	sent.ended = true
	err := s.drainedLocked()
	s.mu.Unlock()
	loss := offload.Loss{}
	if outcome == offload.Broken {
		loss.Cause = offload.CauseResponse
	}
	sent.answer.End(outcome, loss)
	return err
}

// finish implements endpoint.
func (s *Source) finish() {
	s.mu.Lock()
	open := s.open
	written, loss := s.written, lossOf(s.err)
	s.open = make(map[uint64]*sentRequest)
	s.out = outbox{}
	for _, sent := range open {
		sent.ended = true
	}
	s.mu.Unlock()
	for number, sent := range open {
		if number <= written {
			sent.answer.End(offload.Broken, loss)
		} else {
			sent.answer.End(offload.Declined, offload.Loss{})
		}
	}
}

// sentRequest implements offload.Sent.
type sentRequest struct {
	source *Source
	number uint64
	answer offload.Answer
	began  bool         // used by the goroutine that reads: bytes of the response arrived
	taken  atomic.Int64 // bytes that the executor was not told of

	// Guarded by connection.mu of the source.
	cancelled bool
	ended     bool
}

// Taken implements offload.Sent.
func (r *sentRequest) Taken(n int) {
	if r.taken.Add(int64(n)) < takenStepBytes {
		return
	}
	s := r.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ended || r.cancelled || s.err != nil {
		return
	}
	taken := uint64(r.taken.Swap(0))
	s.out.append(frameOverheadBytes, 0, func(b []byte) []byte { return appendTaken(b, r.number, taken) })
	s.wakeWriter()
}

// Silent implements offload.Sent.
func (r *sentRequest) Silent() bool { return r.source.Silent() }

// Cancel implements offload.Sent.
func (r *sentRequest) Cancel() {
	s := r.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ended || r.cancelled || s.err != nil {
		return
	}
	r.cancelled = true
	s.out.append(frameOverheadBytes, 0, func(b []byte) []byte { return appendCancel(b, r.number) })
	s.wakeWriter()
}
