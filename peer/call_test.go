package peer

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
)

func TestCallErrors(t *testing.T) {
	const limit = 1000
	small := func(o *Options) { o.MaxCallBytes = limit }
	a, b := start(t, "a", 1), start(t, "b", 2, small)
	setAllPeers(a, b)
	b.answer = func(_ context.Context, method string, _ []byte) ([]byte, error) {
		switch method {
		case "long":
			return make([]byte, limit+1), nil
		case "empty":
			return nil, nil
		default:
			return nil, errors.New("no such method")
		}
	}
	ctx := context.Background()
	if _, err := a.Call(ctx, "b", "other", nil); !errors.Is(err, ErrCallFailed) || !strings.Contains(err.Error(), "no such method") {
		t.Errorf("handler's error arrived as %v", err)
	}
	if _, err := a.Call(ctx, "b", "long", nil); !errors.Is(err, ErrCallFailed) {
		t.Errorf("answer over the limit: %v", err)
	}
	if answer, err := a.Call(ctx, "b", "empty", nil); err != nil || len(answer) != 0 {
		t.Errorf("empty answer: %q, %v", answer, err)
	}
	if _, err := b.Call(ctx, "a", "echo", make([]byte, limit+1)); !errors.Is(err, ErrCallTooLarge) {
		t.Errorf("request over the caller's limit: %v", err)
	}
	if _, err := a.Call(ctx, "b", "empty", make([]byte, 1<<20)); err == nil {
		t.Error("request over the answerer's limit was answered")
	}
	if got := a.sessionCount(); got != 1 {
		t.Errorf("%d sessions after the errors", got)
	}
}

func TestLargeCall(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 2)
	setAllPeers(a, b)
	payload := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	answer, err := a.Call(context.Background(), "b", "echo", payload)
	if err != nil || !bytes.Equal(answer, append([]byte("echo "), payload...)) {
		t.Errorf("answer of %d bytes, error %v", len(answer), err)
	}
}

// TestTooManyCalls checks that calls over the limit are refused at once, and that
// a cancelled call no longer counts against it.
func TestTooManyCalls(t *testing.T) {
	const limit = 2
	a, b := start(t, "a", 1), start(t, "b", 2, func(o *Options) { o.MaxCalls = limit })
	setAllPeers(a, b)
	entered := make(chan struct{}, limit)
	b.answer = func(ctx context.Context, method string, _ []byte) ([]byte, error) {
		if method == "wait" {
			entered <- struct{}{}
			<-ctx.Done()
		}
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, limit)
	for range limit {
		go func() {
			_, err := a.Call(ctx, "b", "wait", nil)
			ended <- err
		}()
	}
	for range limit {
		<-entered
	}
	if _, err := a.Call(context.Background(), "b", "short", nil); !errors.Is(err, ErrBusy) {
		t.Errorf("call over the limit: %v", err)
	}
	if got := b.counterValue(`walnut_peer_calls_total{direction="in",result="busy"}`); got != 1 {
		t.Errorf("%d calls counted as busy", got)
	}
	cancel()
	for range limit {
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("cancelled call ended with %v", err)
		}
	}
	eventually(t, "room for a call", func() bool {
		_, err := a.Call(context.Background(), "b", "short", nil)
		return err == nil
	})
}

func TestCallAfterClose(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 2)
	setAllPeers(a, b)
	a.Close()
	if _, err := a.Call(context.Background(), "b", "echo", nil); err == nil {
		t.Error("a closed node called")
	}
	a.Send("b", heartbeat(1))
}

// TestCallRetriedWhenSessionIsEnding calls while either side closes the session
// because it is idle: the call must be made on a new session.
func TestCallRetriedWhenSessionIsEnding(t *testing.T) {
	const rounds = 1500
	a, b := start(t, "a", 1), start(t, "b", 2)
	setAllPeers(a, b)
	b.answer = func(context.Context, string, []byte) ([]byte, error) { return nil, nil }
	ctx := context.Background()
	for round := range rounds {
		if _, err := a.Call(ctx, "b", "echo", nil); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		a.findLink("b").session.closeGracefully(endIdle)
		eventually(t, "the end of the session", func() bool { return b.sessionCount() == 0 })
	}
}
