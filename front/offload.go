package front

import (
	"bytes"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// maxHeldAnswerBytes limits the bytes of one response that wait for a caller who reads
	// slowly. Back-pressure keeps a Sender from passing on more.
	maxHeldAnswerBytes = 64 << 10
	// maxTotalHeldAnswerBytes limits those bytes for all callers together, to a ninth of the
	// memory of the smallest router.
	maxTotalHeldAnswerBytes = 16 << 20
	// defaultCallerDeadline is the deadline of callers that state none, and maxCallerDeadline
	// limits those that are stated, as in filters/route.
	defaultCallerDeadline = 60 * time.Second
	maxCallerDeadline     = 24 * time.Hour
	// maxOfferDelay is the accept delay above which requests are refused in place of being
	// offered. Callers give up on a request that was not read for a second, or for a third of
	// the time that they had.
	maxOfferDelay = time.Second
	// maxOfferDeadlineShare is the part of the caller's time above which requests are not offered.
	maxOfferDeadlineShare = 1.0 / 3
	// deadlineGrace is how long after a caller's deadline the executor may still respond. The
	// executor refuses the caller itself, 150 ms after the deadline; see filters/detach.
	deadlineGrace = 250 * time.Millisecond
)

// offloads holds the connections of the callers whose requests executors serve. They are bare
// descriptors without a goroutine or a poller entry of their own: a goroutine for all of them
// detects callers that have gone, and writes what a caller's connection did not take at once.
//
// The set is guarded by Server.mu. A goroutine that holds offloaded.mu may lock Server.mu, but
// not the other way round.
type offloads struct {
	server *Server
	sender offload.Sender
	// wake tells the poller that a connection does not take bytes.
	wake chan struct{}

	open    []*offloaded
	polling bool // the poller runs
	aborted bool // Server.Close was called
	// blocked holds the connections that did not take all bytes. It may contain closed ones.
	blocked []*offloaded

	heldBytes atomic.Int64
	poller    offloadPoller
}

// newOffloads returns nil if offloading is off.
func newOffloads(server *Server, sender offload.Sender) *offloads {
	if sender == nil {
		return nil
	}
	return &offloads{server: server, sender: sender, wake: make(chan struct{}, 1)}
}

// offer offers a request that is to be refused to the executors. If it reports true, the
// descriptor of the caller's connection belongs to o. raw must not be changed afterwards.
// countRefused is called if the request is refused later; may be nil.
func (o *offloads) offer(fd int, ctx *fasthttp.RequestCtx, id string, raw []byte, countRefused func()) bool {
	s := o.server
	if s.HasTooManyConns() {
		offloadCrowded.Inc()
		return false
	}
	header := &ctx.Request.Header
	delay, deadline := s.acceptDelay(), s.callerDeadline(header)
	if delay > maxOfferDelay || delay.Seconds() > maxOfferDeadlineShare*deadline.Seconds() {
		offloadAcceptedLate.Inc()
		return false
	}
	if isCallerGone(fd) {
		callersGone.Inc()
		offloadCallerGone.Inc()
		closeDescriptor(fd)
		return true
	}
	now := time.Now()
	r := &offloaded{
		owner:        o,
		id:           id,
		isHead:       header.IsHead(),
		expiresAt:    now.Add(deadline + deadlineGrace),
		limitAt:      now.Add(min(deadline, s.routeLimit(ctx)) + deadlineGrace),
		countRefused: countRefused,
		index:        notListed,
		fd:           fd,
	}
	request := offload.Request{ID: id, Raw: raw}
	if s.options.ConfigNumber != nil {
		request.Config = s.options.ConfigNumber()
	}
	request.Waited = delay
	if s.options.Lag != nil {
		request.Waited = max(delay, s.options.Lag())
	}
	sent := o.sender.Send(request, r)
	if sent == nil {
		return false
	}
	offloadSent.Inc()
	o.add(r)
	r.setSent(sent)
	return true
}

// isCallerGone reports whether the caller has closed or reset a connection.
func isCallerGone(fd int) bool {
	return pollNow(fd, unix.POLLRDHUP) != 0
}

// callerDeadline returns the time that a caller allows for its request.
func (s *Server) callerDeadline(header *fasthttp.RequestHeader) time.Duration {
	name := s.options.Dialect.Deadline
	if name == "" {
		return defaultCallerDeadline
	}
	millis, err := strconv.ParseFloat(string(header.Peek(name)), 64)
	if err != nil || !(millis >= 0) {
		return defaultCallerDeadline
	}
	return time.Duration(min(millis, float64(maxCallerDeadline.Milliseconds())) * float64(time.Millisecond))
}

// routeLimit returns the time that the route of a request allows.
func (s *Server) routeLimit(ctx *fasthttp.RequestCtx) time.Duration {
	if s.options.RouteLimit != nil {
		if limit := s.options.RouteLimit(ctx.Request.Header.Host(), ctx.Path()); limit > 0 {
			return limit
		}
	}
	return maxCallerDeadline
}

// add adds a request that was sent, unless it has already ended.
func (o *offloads) add(r *offloaded) {
	s := o.server
	s.mu.Lock()
	aborted := o.aborted
	if !r.removed {
		r.index = len(o.open)
		o.open = append(o.open, r)
		s.active++
		if !o.polling {
			o.polling = true
			go o.poll()
		}
	}
	s.mu.Unlock()
	if aborted {
		r.abort()
	}
}

// remove removes a request that has ended.
func (o *offloads) remove(r *offloaded) {
	s := o.server
	s.mu.Lock()
	defer s.mu.Unlock()
	r.removed = true
	if r.index == notListed {
		return // Send has not returned yet
	}
	last := len(o.open) - 1
	o.open[r.index] = o.open[last]
	o.open[r.index].index = r.index
	o.open[last] = nil
	o.open = o.open[:last]
	r.index = notListed
	s.active--
	s.signal()
}

// addBlocked makes the poller write to a connection as soon as it takes bytes again.
func (o *offloads) addBlocked(r *offloaded) {
	s := o.server
	s.mu.Lock()
	o.blocked = append(o.blocked, r)
	s.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default: // the poller is about to run
	}
}

// abortAll ends all requests, and those that are sent later. o may be nil.
func (o *offloads) abortAll() {
	if o == nil {
		return
	}
	s := o.server
	s.mu.Lock()
	o.aborted = true
	open := append([]*offloaded(nil), o.open...)
	s.mu.Unlock()
	for _, r := range open {
		r.abort()
	}
}

// count returns the number of open requests. The caller holds Server.mu. o may be nil.
func (o *offloads) count() int {
	if o == nil {
		return 0
	}
	return len(o.open)
}

// OffloadedRequests returns the number of open requests that executors serve for this router.
func (s *Server) OffloadedRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offloads.count()
}

// HeldAnswerBytes returns the number of bytes of responses of executors that wait for callers.
func (s *Server) HeldAnswerBytes() int64 {
	if s.offloads == nil {
		return 0
	}
	return s.offloads.heldBytes.Load()
}

// notListed is the index of a request that is not in offloads.open.
const notListed = -1

// closedDescriptor is the descriptor of a connection that is closed. poll ignores it.
const closedDescriptor = -1

// offloaded is a request that an executor serves, and the connection of its caller. It
// implements offload.Answer.
type offloaded struct {
	owner  *offloads
	id     string
	isHead bool
	// expiresAt is the caller's deadline, and limitAt the earlier one of it and of the route's, which
	// binds a request whose executor is silent.
	expiresAt    time.Time
	limitAt      time.Time
	countRefused func()

	// Guarded by Server.mu.
	index   int
	removed bool

	mu sync.Mutex
	// fd is the caller's connection. It is written to and closed only with mu held, and is
	// closedDescriptor from then on: the system reuses the number for other connections.
	fd int
	// sent is nil until Send has returned. What was to be reported to it before is in
	// takenEarly and cancelledEarly.
	sent           offload.Sent
	takenEarly     int
	cancelledEarly bool
	// begun is set once a byte of the response has arrived.
	begun bool
	// held holds the bytes that the connection has not taken yet. blocked is set while the
	// request is in offloads.blocked, and progressAt is when the connection last took bytes.
	held       []byte
	blocked    bool
	progressAt time.Time
	// complete is set if the response is complete but for the held bytes.
	complete bool
}

// setSent sets the request as sent and reports what has happened to it meanwhile.
func (r *offloaded) setSent(sent offload.Sent) {
	r.mu.Lock()
	r.sent = sent
	r.unlock(r.takenEarly, r.cancelledEarly)
}

// unlock unlocks r.mu and then reports that the caller took bytes or has gone. The lock is not
// held then, because a Sender may call End from within Cancel.
func (r *offloaded) unlock(taken int, cancel bool) {
	sent := r.sent
	if sent == nil {
		r.takenEarly += taken
		r.cancelledEarly = r.cancelledEarly || cancel
	}
	r.mu.Unlock()
	if sent == nil {
		return
	}
	if taken > 0 {
		sent.Taken(taken)
	}
	if cancel {
		sent.Cancel()
	}
}

// Write implements offload.Answer.
func (r *offloaded) Write(p []byte) {
	r.mu.Lock()
	if r.fd == closedDescriptor || len(p) == 0 {
		r.unlock(0, false)
		return
	}
	r.begun = true
	taken := 0
	if len(r.held) == 0 {
		var err error
		if taken, err = writeAvailable(r.fd, p); err != nil {
			r.finish(offloadCallerGone, true)
			r.unlock(taken, true)
			return
		}
	}
	r.unlock(taken, taken < len(p) && !r.hold(p[taken:]))
}

// hold keeps bytes that the connection does not take. If there are too many, it closes the
// connection and returns false. The caller holds r.mu.
func (r *offloaded) hold(p []byte) bool {
	total := r.owner.heldBytes.Add(int64(len(p)))
	if len(r.held)+len(p) > maxHeldAnswerBytes || total > maxTotalHeldAnswerBytes {
		r.owner.heldBytes.Add(-int64(len(p)))
		r.cutOff(answersOverLimit, "held_bytes_full")
		return false
	}
	r.held = append(r.held, p...)
	if !r.blocked {
		r.blocked = true
		r.progressAt = time.Now()
		r.owner.addBlocked(r)
	}
	return true
}

// flush writes held bytes, and reports whether some are left. It closes the connection of a
// caller that has taken none for the write timeout.
func (r *offloaded) flush(now time.Time, writable bool) (isBlocked bool) {
	r.mu.Lock()
	taken, cancel := 0, false
	if r.fd != closedDescriptor && writable {
		var err error
		taken, err = writeAvailable(r.fd, r.held)
		r.dropHeld(taken, now)
		cancel = err != nil
	}
	stalled := r.fd != closedDescriptor && now.Sub(r.progressAt) > r.owner.server.options.WriteTimeout
	switch {
	case r.fd == closedDescriptor:
	case cancel:
		r.finish(offloadCallerGone, true)
	case len(r.held) == 0 && r.complete:
		r.finish(offloadComplete, false)
	case stalled && len(r.held) > 0:
		r.cutOff(answersStalled, "stalled")
		cancel = true
	}
	r.blocked = len(r.held) > 0
	isBlocked = r.blocked
	r.unlock(taken, cancel)
	return isBlocked
}

// cutOff ends a request whose caller does not read the response. The caller holds r.mu.
func (r *offloaded) cutOff(counter *metrics.Counter, reason string) {
	s := r.owner.server
	counter.Inc()
	if s.allowRefusalLog() {
		s.log.Warn("front: Caller of an offloaded request reads too slowly.", "request", r.id, "reason", reason,
			"held_bytes", len(r.held), "unlogged_before", s.unlogged.Swap(0))
	}
	r.finish(offloadCallerGone, true)
}

// dropHeld removes held bytes that the connection has taken. The caller holds r.mu.
func (r *offloaded) dropHeld(taken int, now time.Time) {
	if taken == 0 {
		return
	}
	r.progressAt = now
	r.owner.heldBytes.Add(-int64(taken))
	if r.held = r.held[taken:]; len(r.held) == 0 {
		r.held = nil
	}
}

// End implements offload.Answer.
func (r *offloaded) End(outcome offload.Outcome, loss offload.Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.fd == closedDescriptor:
	case outcome == offload.Declined && !r.begun:
		r.refuse()
	case outcome == offload.Complete && r.begun:
		r.complete = true
		if len(r.held) == 0 {
			r.finish(offloadComplete, false)
		}
	default:
		if loss.Cause == "" { // what the executor reported contradicts what it sent
			loss.Cause = offload.CauseProtocol
		}
		r.breakOff(loss)
	}
}

// refuse refuses the request as overloaded: it was not run. The caller holds r.mu.
func (r *offloaded) refuse() {
	s := r.owner.server
	requests.Inc()
	err := overloadedError()
	if r.countRefused != nil {
		r.countRefused()
	}
	s.logRefusal(r.id, err)
	r.respond(err)
	r.finish(offloadDeclined, false)
}

// breakOff ends a request that may have run: with an error if the caller has no byte of the
// response, otherwise by resetting the connection, because a response that is delimited by the
// end of the connection would look complete after an orderly close. The caller holds r.mu.
func (r *offloaded) breakOff(loss offload.Loss) {
	s := r.owner.server
	offloadBrokenBy[loss.Cause].Inc()
	if s.allowRefusalLog() {
		s.log.Warn("front: Offloaded request broke off.", "request", r.id, "cause", loss.Cause, "executor", loss.Executor,
			"error", loss.Err, "response_begun", r.begun, "unlogged_before", s.unlogged.Swap(0))
	}
	if !r.begun {
		detail := "The router that served the request was lost."
		if loss.Cause == offload.CauseStopped {
			detail = "This router was stopped."
		}
		refusals.Inc(result.ExecutorLost)
		r.respond(result.New(result.ExecutorLost, "%s", detail))
	}
	r.finish(offloadBroken, r.begun)
}

// callerGone ends a request whose caller has closed the connection.
func (r *offloaded) callerGone() {
	r.mu.Lock()
	if r.fd == closedDescriptor {
		r.unlock(0, false)
		return
	}
	callersGone.Inc()
	// The caller may have closed its side only: a part of a response must not look complete.
	r.finish(offloadCallerGone, r.begun)
	r.unlock(0, true)
}

// expire ends a request that is overdue: it refuses a caller without a byte of a response, and breaks
// off a response that has begun.
func (r *offloaded) expire(now time.Time) {
	r.mu.Lock()
	if r.fd == closedDescriptor || !r.isOverdue(now) {
		r.unlock(0, false)
		return
	}
	if r.begun {
		r.breakOff(offload.Loss{Cause: offload.CauseSilent})
		r.unlock(0, true)
		return
	}
	s := r.owner.server
	detail, outcome := "The request was not answered by the deadline.", offloadDeadline
	if r.sent != nil && r.sent.Silent() {
		detail, outcome = "The router that serves the request was silent until the deadline.", offloadSilent
	}
	err := result.New(result.FirstByteTimeout, "%s", detail)
	refusals.Inc(err.Code)
	s.logRefusal(r.id, err)
	r.respond(err)
	r.finish(outcome, false)
	r.unlock(0, true)
}

// isOverdue reports whether the deadline of a request has passed that no executor enforces: that of a
// response that has not begun, or of one whose executor is silent. The caller holds r.mu.
func (r *offloaded) isOverdue(now time.Time) bool {
	switch {
	case r.complete:
		return false
	case !r.begun && now.After(r.expiresAt):
		return true
	default:
		return now.After(r.limitAt) && r.sent != nil && r.sent.Silent()
	}
}

// abort ends a request because the server is stopped by force.
func (r *offloaded) abort() {
	r.mu.Lock()
	if r.fd == closedDescriptor {
		r.unlock(0, false)
		return
	}
	r.breakOff(offload.Loss{Cause: offload.CauseStopped})
	r.unlock(0, true)
}

// respond writes an error response. The caller holds r.mu.
func (r *offloaded) respond(err error) {
	// A failed write means that the caller is gone.
	_, _ = writeAvailable(r.fd, r.owner.server.encodeError(r.id, err, r.isHead))
}

// finish closes the connection and ends the request. With reset set, the caller sees that the
// response is not complete, however it is delimited. The caller holds r.mu.
func (r *offloaded) finish(outcome *metrics.Counter, reset bool) {
	if reset {
		// If this fails, the connection is already broken.
		_ = syscall.SetsockoptLinger(r.fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	} else {
		discardReceived(r.fd)
	}
	if !reset && hasUnsent(r.fd) {
		r.owner.server.closeWhenRead(r.fd)
	} else {
		closeDescriptor(r.fd)
	}
	r.fd = closedDescriptor
	r.owner.heldBytes.Add(-int64(len(r.held)))
	r.held = nil
	outcome.Inc()
	r.owner.remove(r)
}

// descriptor returns the descriptor of the connection, for poll.
func (r *offloaded) descriptor() int32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int32(r.fd)
}

// writeAvailable writes as much of p as a connection takes without blocking.
func writeAvailable(fd int, p []byte) (written int, err error) {
	for written < len(p) {
		n, err := syscall.Write(fd, p[written:])
		switch err {
		case nil:
			written += n
		case syscall.EINTR:
		case syscall.EAGAIN:
			return written, nil
		default:
			return written, err
		}
	}
	return written, nil
}

// maxDiscardedBytes limits what is read from a caller after its request.
const maxDiscardedBytes = 256 << 10

// discardReceived discards what a caller has sent after its request: closing a connection with unread
// bytes resets it, and the reset can overtake the end of the response.
func discardReceived(fd int) {
	var buffer [4 << 10]byte
	for discarded := 0; discarded < maxDiscardedBytes; {
		n, err := syscall.Read(fd, buffer[:])
		if err == syscall.EINTR {
			continue
		}
		if err != nil || n == 0 {
			return // nothing is left, or the caller has gone
		}
		discarded += n
	}
}

// hasUnsent reports whether the system has bytes to send on a connection for which the caller has had no
// room yet. If the caller sends further bytes after the close, they are lost.
func hasUnsent(fd int) bool {
	unsent, err := unix.IoctlGetInt(fd, unix.SIOCOUTQNSD)
	return err == nil && unsent > 0
}

// closeWhenRead closes a connection on which nothing more is written, once its caller has read what was
// written or has gone; see callerConn.Close. Shutdown waits for it.
func (s *Server) closeWhenRead(fd int) {
	conn, err := connOf(fd)
	if err != nil {
		acceptFailures.Inc()
		s.log.Warn("front: Could not wait for a caller to read its response.", "error", err)
		return
	}
	c := newCallerConn(conn, s)
	c.linger = true
	s.connOpened(c)
	go func() {
		_ = c.Close() // the caller may have gone
		s.connClosed(c)
	}()
}

// duplicateDescriptor returns another descriptor of a connection, which remains open when the
// connection is closed.
func duplicateDescriptor(raw syscall.RawConn) (fd int, ok bool) {
	var errno syscall.Errno
	err := raw.Control(func(original uintptr) {
		var duplicate uintptr
		duplicate, _, errno = syscall.Syscall(syscall.SYS_FCNTL, original, syscall.F_DUPFD_CLOEXEC, 0)
		fd = int(duplicate)
	})
	return fd, err == nil && errno == 0
}

// cloneRequest returns a copy of the first request in read, whose head has the given length.
func cloneRequest(read []byte, headBytes int, header *fasthttp.RequestHeader) []byte {
	return bytes.Clone(read[:headBytes+max(0, header.ContentLength())])
}
