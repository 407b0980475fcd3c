package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// Errors returned by Call, wrapped with the node and the method.
var (
	// ErrCallFailed reports that the other node's handler returned an error,
	// whose text is appended.
	ErrCallFailed = errors.New("call failed at the other node")
	// ErrCallTooLarge reports that a request or an answer exceeds Options.MaxCallBytes.
	ErrCallTooLarge = errors.New("call is too large")
	// ErrBusy reports that this node has too many calls open at the other node.
	ErrBusy = errors.New("too many calls")
	// ErrSessionEnded reports that the session ended before the answer arrived.
	ErrSessionEnded = errors.New("session ended")
)

// errNotSent reports that the session was ending, for example because it was
// idle, before any of the call was sent. The call is retried on the next session.
var errNotSent = errors.New("nothing was sent")

const (
	// maxCallTries bounds the sessions on which one call is tried, callRetryDelay
	// apart.
	maxCallTries   = 5
	callRetryDelay = 5 * time.Millisecond

	// Values of the "result" label of the call counters.
	resultAnswered     = "answered"
	resultUnreachable  = "unreachable"
	resultTooLarge     = "too-large"
	resultSessionEnded = "session-ended"
	resultCancelled    = "cancelled"
	resultBusy         = "busy"
	resultFailed       = "failed"

	// maxCallOverheadBytes bounds the encoded size of a call message without its
	// payload.
	maxCallOverheadBytes = 1 << 10
)

// call makes a call, and retries it if its session ended before any of it was sent.
func (l *link) call(ctx context.Context, method string, payload []byte) ([]byte, error) {
	if len(payload) > l.mesh.options.MaxCallBytes {
		return nil, ErrCallTooLarge
	}
	for try := 1; ; try++ {
		answer, err := l.callOnce(ctx, method, payload)
		if try == maxCallTries || !errors.Is(err, errNotSent) {
			return answer, err
		}
		if !sleep(ctx, callRetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// callOnce waits for a session and makes a call on it.
func (l *link) callOnce(ctx context.Context, method string, payload []byte) ([]byte, error) {
	s, err := l.awaitStarted(ctx)
	if err != nil {
		return nil, err
	}
	s.openCalls.Add(1)
	defer s.openCalls.Add(-1)
	s.markUsed()
	return s.call(ctx, method, payload)
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitStarted returns a started session. It dials if there is none.
func (l *link) awaitStarted(ctx context.Context) (*session, error) {
	for {
		l.mu.Lock()
		_, ok := l.ensureSession()
		s, changed := l.session, l.changed
		l.mu.Unlock()
		if !ok {
			return nil, ErrUnreachable
		}
		if s != nil {
			return s, s.awaitStart(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// awaitStart waits until the session's streams can be used.
func (s *session) awaitStart(ctx context.Context) error {
	select {
	case <-s.started:
		return nil
	case <-s.ctx.Done():
		return fmt.Errorf("%w: %w", ErrSessionEnded, errNotSent)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call sends a request on a new stream and reads the answer.
func (s *session) call(ctx context.Context, method string, payload []byte) ([]byte, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w: %w", ErrSessionEnded, errNotSent, err)
	}
	defer stream.Close()
	stop := interruptOnDone(ctx, stream)
	defer stop()
	request := &peerpb.CallRequest{Method: method, Payload: payload, TimeLeft: timeLeft(ctx).Microseconds()}
	if err := writeMessage(stream, request); err != nil {
		return nil, wrapCallError(ctx, err)
	}
	answer := &peerpb.CallAnswer{}
	if err := readMessage(withProgress(ctx, stream), s.mesh.options.MaxCallBytes, answer); err != nil {
		return nil, wrapCallError(ctx, err)
	}
	s.markUsed()
	if answer.GetBusy() {
		return nil, ErrBusy
	}
	if answer.GetError() != "" {
		return nil, fmt.Errorf("%w: %s", ErrCallFailed, answer.GetError())
	}
	return answer.GetPayload(), nil
}

// interruptOnDone makes reads and writes of a stream fail once its context ends.
// stop cancels this.
func interruptOnDone(ctx context.Context, stream *yamux.Stream) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = stream.SetDeadline(time.Now())
	})
}

// timeLeft returns the time until the context's deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// wrapCallError returns the context's error if the context ended, and
// ErrCallTooLarge as it is. It wraps any other error in ErrSessionEnded.
func wrapCallError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, ErrCallTooLarge) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrSessionEnded, err)
}

// callResult returns the "result" label of the call counters.
func callResult(err error) string {
	switch {
	case err == nil:
		return resultAnswered
	case errors.Is(err, ErrUnreachable):
		return resultUnreachable
	case errors.Is(err, ErrCallTooLarge):
		return resultTooLarge
	case errors.Is(err, ErrBusy):
		return resultBusy
	case errors.Is(err, ErrSessionEnded):
		return resultSessionEnded
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return resultCancelled
	default:
		return resultFailed
	}
}
