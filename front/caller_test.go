package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

var frequentWatchOptions = Options{WatchEvery: 5 * time.Millisecond}

// waitForCaller returns a pipeline that runs until the caller disconnects.
func waitForCaller(arrived chan<- struct{}) pipeline.Handler {
	return func(ctx context.Context, ex *pipeline.Exchange) error {
		arrived <- struct{}{}
		<-ex.CallerGone
		<-ctx.Done()
		return context.Cause(ctx)
	}
}

func TestCallerGoesAwayWhileWaiting(t *testing.T) {
	arrived := make(chan struct{}, 1)
	f := start(t, frequentWatchOptions, waitForCaller(arrived))
	for name, next := range map[string]string{"plain": "", "behind the next request": get} {
		conn, _ := f.send(get)
		await(t, arrived)
		io.WriteString(conn, next)
		conn.Close()
		var refusal *result.Error
		if err := f.end(); !errors.As(err, &refusal) || refusal.Code != result.CallerGone {
			t.Errorf("%s: ended with %v", name, err)
		}
	}
}

func TestPipelinedRequestIsNoDisconnect(t *testing.T) {
	release := make(chan struct{})
	f := start(t, frequentWatchOptions, func(_ context.Context, ex *pipeline.Exchange) error {
		ex.Status = http.StatusOK
		select {
		case <-ex.CallerGone:
			return result.New(result.CallerGone, "Gone.")
		case <-release:
			return nil
		}
	})
	_, r := f.send(get + get)
	for f.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * f.options.WatchEvery) // enough checks for a faulty watcher to report a disconnect
	// The first answer must be sent although the second request is still waiting.
	release <- struct{}{}
	if response := f.answer(r); response.StatusCode != http.StatusOK {
		t.Errorf("first: %v", response)
	}
	release <- struct{}{}
	if response := f.answer(r); response.StatusCode != http.StatusOK {
		t.Errorf("second: %v", response)
	}
}

func TestCallerGoesAwayWhileStreaming(t *testing.T) {
	cancelled := make(chan error, 1)
	f := start(t, frequentWatchOptions, func(ctx context.Context, ex *pipeline.Exchange) error {
		reader, writer := io.Pipe()
		// The target sends nothing, so no failed write shows that the caller is gone.
		context.AfterFunc(ctx, func() {
			cancelled <- context.Cause(ctx)
			writer.CloseWithError(context.Cause(ctx))
		})
		return answerWith(reader)(ctx, ex)
	})
	conn, r := f.send(get)
	f.answer(r)
	conn.Close()
	if err := await(t, cancelled); !strings.Contains(err.Error(), "caller_gone") {
		t.Errorf("cancelled with %v", err)
	}
	if err := f.end(); err == nil {
		t.Error("exchange ended without an error")
	}
}

func TestCallerThatDoesNotRead(t *testing.T) {
	f := start(t, Options{WriteTimeout: 50 * time.Millisecond}, answerWith(io.NopCloser(endless{})))
	f.send(get)
	var netErr net.Error
	if err := f.end(); !errors.As(err, &netErr) || !netErr.Timeout() {
		t.Errorf("ended with %v", err)
	}
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// shutdown runs Shutdown in the background and returns a channel with its error.
func (f *fixture) shutdown(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f.Shutdown(ctx) }()
	return done
}

func TestShutdownLetsRequestsFinish(t *testing.T) {
	reader, writer := io.Pipe()
	release := make(chan struct{})
	f := start(t, Options{IdleGrace: 50 * time.Millisecond}, func(ctx context.Context, ex *pipeline.Exchange) error {
		if ex.Path == "/stream" {
			return answerWith(reader)(ctx, ex)
		}
		if ex.Path == "/wait" {
			<-release
		}
		ex.Status = http.StatusOK
		return nil
	})
	_, streaming := f.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
	stream := f.answer(streaming).Body
	_, waiting := f.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	for f.Active() < 2 {
		time.Sleep(time.Millisecond)
	}
	idle, idling := f.send(get)
	f.answer(idling)
	done := f.shutdown(context.Background())
	for !f.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	if _, err := idling.ReadByte(); err != io.EOF {
		t.Errorf("idle connection from %v: %v", idle.LocalAddr(), err)
	}
	close(release)
	if response := f.answer(waiting); response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("waiting request got %v", response)
	}
	select {
	case err := <-done:
		t.Errorf("Shutdown did not wait for the stream: %v", err)
	default:
	}
	go func() { io.WriteString(writer, "end"); writer.Close() }()
	if body, err := io.ReadAll(stream); string(body) != "end" || err != nil {
		t.Errorf("stream got %q, %v", body, err)
	}
	if err := await(t, done); err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp4", f.address); err == nil {
		conn.Close()
		t.Error("still accepting")
	}
}

func TestCloseBreaksStreamsAfterShutdown(t *testing.T) {
	reader, writer := io.Pipe()
	f := start(t, Options{ForceGrace: 50 * time.Millisecond}, func(ctx context.Context, ex *pipeline.Exchange) error {
		if ex.Path == "/stream" {
			return answerWith(reader)(ctx, ex) // does not react to ctx
		}
		<-ctx.Done()
		return result.New(result.Draining, "Leaving.")
	})
	_, streaming := f.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
	stream := f.answer(streaming).Body
	_, waiting := f.send(get)
	for f.Active() < 2 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := f.Shutdown(ctx); !errors.Is(err, context.Canceled) || f.Active() != 2 {
		t.Errorf("Shutdown: %v, %d active", err, f.Active())
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	if response := f.answer(waiting); response.Header.Get("Walnut-Code") != "503" {
		t.Errorf("waiting request got %v", response)
	}
	if _, err := io.ReadAll(stream); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the stream was not broken off: %v", err)
	}
	writer.Close()
}

// TestLateCallersAreAnswered checks that callers that connect during a shutdown are answered
// as long as they keep coming, and that the listener closes once none arrives.
func TestLateCallersAreAnswered(t *testing.T) {
	f := start(t, Options{}, func(_ context.Context, ex *pipeline.Exchange) error {
		ex.Status = http.StatusOK
		return nil
	})
	first, r := f.send(get) // wait until the server is serving
	f.answer(r)
	first.Close()
	done := f.shutdown(context.Background())
	for !f.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		_, r := f.send(get)
		if response := f.answer(r); !response.Close {
			t.Errorf("a late caller got %v", response)
		}
		time.Sleep(acceptQuietPeriod / 2)
	}
	if err := await(t, done); err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp4", f.address); err == nil {
		conn.Close()
		t.Error("still accepting")
	}
}
