package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// Errors of a Call, wrapped with the node and the method.
var (
	// ErrCallFailed says that the other node's handler returned an error,
	// whose text follows.
	ErrCallFailed = errors.New("call failed at the other node")
	// ErrCallTooLarge says that a request or an answer exceeds Options.MaxCallBytes.
	ErrCallTooLarge = errors.New("call is too large")
	// ErrBusy says that the other node has too many of this node's calls open.
	ErrBusy = errors.New("too many calls")
	// ErrSessionEnded says that the session broke before the answer.
	ErrSessionEnded = errors.New("session ended")
)

// errNotSent says that a call found its session ending, as after an idle time,
// and that nothing of it was sent. It is made again on the next session.
var errNotSent = errors.New("nothing was sent")

const (
	// maxCallTries bounds the sessions that one call tries, and callRetryPause
	// is the pause between two of them.
	maxCallTries   = 5
	callRetryPause = 5 * time.Millisecond

	resultAnswered     = "answered"
	resultUnreachable  = "unreachable"
	resultTooLarge     = "too-large"
	resultSessionEnded = "session-ended"
	resultCancelled    = "cancelled"
	resultBusy         = "busy"
	resultFailed       = "failed"

	// callOverheadBytes is the room for the fields beside a payload.
	callOverheadBytes = 1 << 10
)

// call waits for a session and makes a call on it.
func (l *link) call(ctx context.Context, method string, payload []byte) ([]byte, error) {
	if len(payload) > l.mesh.options.MaxCallBytes {
		return nil, ErrCallTooLarge
	}
	for try := 1; ; try++ {
		answer, err := l.callOnce(ctx, method, payload)
		if try == maxCallTries || !errors.Is(err, errNotSent) {
			return answer, err
		}
		if !sleep(ctx, callRetryPause) {
			return nil, ctx.Err()
		}
	}
}

// callOnce makes a call on the present session.
func (l *link) callOnce(ctx context.Context, method string, payload []byte) ([]byte, error) {
	s, err := l.await(ctx)
	if err != nil {
		return nil, err
	}
	s.openCalls.Add(1)
	defer s.openCalls.Add(-1)
	s.used()
	return s.call(ctx, method, payload)
}

// sleep waits; false if ctx ended first.
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

// await returns a started session and dials if there is none.
func (l *link) await(ctx context.Context) (*session, error) {
	for {
		l.mu.Lock()
		_, ok := l.ready()
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

// call sends a request on a stream of its own and reads the answer.
func (s *session) call(ctx context.Context, method string, payload []byte) ([]byte, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w: %w", ErrSessionEnded, errNotSent, err)
	}
	defer stream.Close()
	stop := interrupt(ctx, stream)
	defer stop()
	request := &peerpb.CallRequest{Method: method, Payload: payload, TimeLeft: timeLeft(ctx).Microseconds()}
	if err := writeMessage(stream, request); err != nil {
		return nil, callError(ctx, err)
	}
	answer := &peerpb.CallAnswer{}
	if err := readMessage(stream, s.mesh.options.MaxCallBytes, answer); err != nil {
		return nil, callError(ctx, err)
	}
	s.used()
	if answer.GetBusy() {
		return nil, ErrBusy
	}
	if answer.GetError() != "" {
		return nil, fmt.Errorf("%w: %s", ErrCallFailed, answer.GetError())
	}
	return answer.GetPayload(), nil
}

// interrupt ends reads and writes of a stream with its context.
func interrupt(ctx context.Context, stream *yamux.Stream) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = stream.SetDeadline(time.Now())
	})
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

func callError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, ErrCallTooLarge) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrSessionEnded, err)
}

// callResult is the counter label of a call's end.
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
