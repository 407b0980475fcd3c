package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/offload"
)

// errCallerGone is returned by writes of a response whose caller has gone, and errSourceGone, with why
// the link ended, by those of a response that cannot reach its caller any more.
var (
	errCallerGone = errors.New("link: the caller has gone")
	errSourceGone = errors.New("link: the link to the source has ended")
)

// response is a request at the executor and the connection that its Handler uses.
type response struct {
	executor *Executor
	number   uint64
	request  offload.Request
	missing  int           // bytes of the request that have not arrived
	reserved bool          // whether the budget holds the request
	input    *bytes.Reader // used by Read
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// readWake and writeWake make a blocked Read and a blocked Write look again.
	readWake      chan struct{}
	writeWake     chan struct{}
	readDeadline  atomic.Pointer[time.Time]
	writeDeadline atomic.Pointer[time.Time]

	// Guarded by connection.mu of the executor.
	unsent   bytes.Buffer
	untaken  int  // bytes accepted by Write that the source has not reported as taken
	wrote    bool // whether Write accepted bytes
	failed   bool // whether a Write failed, so that the response is incomplete
	queued   bool // whether the response is in Executor.ready
	gone     bool // the caller has gone or the link has ended
	closed   bool // the Handler returned or closed the connection
	finished bool // the end is to be sent after the unsent bytes
	outcome  offload.Outcome
}

var _ net.Conn = (*response)(nil)

func newResponse(e *Executor, f frame) *response {
	r := &response{
		executor:  e,
		number:    f.number,
		missing:   int(f.size),
		reserved:  e.options.Budget.reserve(int(f.size)),
		readWake:  make(chan struct{}, 1),
		writeWake: make(chan struct{}, 1),
		request: offload.Request{
			ID:     f.id,
			Config: f.config,
			Waited: micros(f.waited),
		},
	}
	if r.reserved {
		r.request.Raw = make([]byte, 0, f.size)
	}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// release returns the request's bytes to the budget.
func (r *response) release() {
	if r.reserved {
		r.executor.options.Budget.release(cap(r.request.Raw))
	}
	r.cancel(errCallerGone)
}

// outcomeOf returns how a request ends whose Handler returned an error.
func (r *response) outcomeOf(err error) offload.Outcome {
	switch {
	case errors.Is(err, ErrDeclined) && !r.wrote:
		return offload.Declined
	case err != nil || !r.wrote || r.failed:
		return offload.Broken
	default:
		return offload.Complete
	}
}

// signal makes one blocked call look again.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Read implements net.Conn.
func (r *response) Read(p []byte) (int, error) {
	if r.input == nil {
		r.input = bytes.NewReader(r.request.Raw)
	}
	for r.input.Len() == 0 {
		if r.isClosed() {
			return 0, net.ErrClosed
		}
		if err := r.wait(r.readWake, &r.readDeadline); err != nil {
			if r.ctx.Err() != nil {
				err = io.EOF
			}
			return 0, err
		}
	}
	return r.input.Read(p)
}

func (r *response) isClosed() bool {
	r.executor.mu.Lock()
	defer r.executor.mu.Unlock()
	return r.closed
}

// Write implements net.Conn. It blocks while Options.MaxUntakenBytes are not taken.
func (r *response) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := r.accept(p[written:])
		written += n
		if n == 0 && err == nil {
			err = r.wait(r.writeWake, &r.writeDeadline)
		}
		if err != nil {
			r.fail()
			return written, err
		}
	}
	return written, nil
}

// fail records that a Write failed.
func (r *response) fail() {
	r.executor.mu.Lock()
	defer r.executor.mu.Unlock()
	r.failed = true
}

// accept queues as many bytes as the limits permit.
func (r *response) accept(p []byte) (int, error) {
	e := r.executor
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.gone {
		return 0, context.Cause(r.ctx)
	}
	if r.closed {
		return 0, net.ErrClosed
	}
	if e.unsent >= e.options.MaxUnsentBytes {
		e.blocked = append(e.blocked, r)
		return 0, nil
	}
	n := min(len(p), e.options.MaxUntakenBytes-r.untaken)
	if n <= 0 {
		return 0, nil
	}
	r.unsent.Write(p[:n])
	r.wrote = true
	r.untaken += n
	e.unsent += n
	e.queueLocked(r)
	return n, nil
}

// wait waits until the state of the response may have changed, and returns an error if the caller
// has gone or a deadline has passed.
func (r *response) wait(wake chan struct{}, deadline *atomic.Pointer[time.Time]) error {
	var expired <-chan time.Time
	if at := deadline.Load(); at != nil && !at.IsZero() {
		timer := time.NewTimer(time.Until(*at))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-wake:
		return nil
	}
}

// Close implements net.Conn. The request ends when its Handler returns.
func (r *response) Close() error {
	r.executor.mu.Lock()
	defer r.executor.mu.Unlock()
	r.closed = true
	signal(r.readWake)
	signal(r.writeWake)
	return nil
}

// LocalAddr implements net.Conn.
func (r *response) LocalAddr() net.Addr { return r.executor.conn.LocalAddr() }

// RemoteAddr implements net.Conn. It is the address of the source.
func (r *response) RemoteAddr() net.Addr { return r.executor.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (r *response) SetDeadline(t time.Time) error {
	r.readDeadline.Store(&t)
	r.writeDeadline.Store(&t)
	signal(r.readWake)
	signal(r.writeWake)
	return nil
}

// SetReadDeadline implements net.Conn.
func (r *response) SetReadDeadline(t time.Time) error {
	r.readDeadline.Store(&t)
	signal(r.readWake)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (r *response) SetWriteDeadline(t time.Time) error {
	r.writeDeadline.Store(&t)
	signal(r.writeWake)
	return nil
}
