package managedtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// The limits of a drain on the managed platform, and the time after its start until which a request that is cut at the limit
// may have been sent.
const (
	drainLimit    = 8 * time.Second
	drainNotice   = 2500 * time.Millisecond
	abortAt       = drainLimit - 500*time.Millisecond
	lateInDrain   = 3 * time.Second
	drainReadTime = 5 * time.Second
)

// drainCall is a request during a drain, as its caller saw it.
type drainCall struct {
	what string
	// sent is when the last byte of the request was sent, after the start of the drain.
	sent     time.Duration
	id       string
	status   int
	complete bool
}

// TestRequestsLateInADrainAreNotCut guards against requests that come late in a drain, are passed on, and are cut when its limit
// is reached: on open and new connections, and whose bodies arrive slowly, at a router that is busy until then.
func TestRequestsLateInADrainAreNotCut(t *testing.T) {
	for name, run := range map[string]time.Duration{"short runs": 100 * time.Millisecond, "long runs": 4 * time.Second, "runs to the limit": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ops, gen := opsReplica("o1"), genReplica("g1")
			ops.Slots, ops.Pause = 400, run
			gen.Slots, gen.Pause = 400, run/streamEvents
			f := startFleetWith(t, func(s *settings.Settings) {
				s.Limits.DrainTimeout, s.Limits.DrainNotice = settings.Duration(drainLimit), settings.Duration(drainNotice)
				s.Limits.ReadTimeout = settings.Duration(drainReadTime)
			}, 3, ops, gen)
			f.waitJoined()
			calls := f.sendThroughDrain()
			last := time.Duration(0) // when the last request that was passed on was sent
			for _, c := range calls {
				runs := len(f.journal.Runs(c.id))
				if runs > 0 {
					last = max(last, c.sent)
				}
				mayBeCut := c.sent <= lateInDrain && run > drainLimit/4
				if runs > 0 && !c.complete && !mayBeCut {
					t.Errorf("%s: sent at %s, status %d, was passed on and got no complete answer", c.what, c.sent.Round(time.Millisecond), c.status)
				}
				if runs == 0 && c.status != 0 && c.status != http.StatusServiceUnavailable {
					t.Errorf("%s: sent at %s, status %d, was not passed on", c.what, c.sent.Round(time.Millisecond), c.status)
				}
			}
			t.Logf("%d requests; the last one passed on was sent at %s", len(calls), last)
			if last == 0 {
				t.Error("no request was passed on")
			}
		})
	}
}

// sendThroughDrain drains the router while callers send requests, and returns all requests.
func (f *fleet) sendThroughDrain() []drainCall {
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	var (
		mu      sync.Mutex
		calls   []drainCall
		callers sync.WaitGroup
	)
	address := f.routers[0].CallersAddress()
	start := time.Now()
	record := func(what string, sent time.Time, got managed.Answer) {
		if got.NotConnected {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, drainCall{what: what, sent: sent.Sub(start), id: got.ID, status: got.Status, complete: got.Complete})
	}
	paths := []string{pathStream, pathIdempotent, pathNonIdempotent}
	for n, path := range paths {
		callers.Go(func() { // each on a connection that it keeps as long as the router does
			caller := managed.NewCaller(fmt.Sprint("kept-", n), requestDeadline)
			defer caller.Close()
			for ctx.Err() == nil {
				sent := time.Now()
				got := caller.Send(ctx, address, path, key)
				record("kept "+path, sent, got)
				if got.NotConnected {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		callers.Go(func() { // a new connection each tenth of a second
			for n := 0; ctx.Err() == nil; n++ {
				callers.Go(func() {
					caller := managed.NewCaller(fmt.Sprintf("new-%s-%d", strings.Trim(path, "/"), n), requestDeadline)
					defer caller.Close()
					sent := time.Now()
					record("new "+path, sent, caller.Send(ctx, address, path, key))
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
		for slow := 500 * time.Millisecond; slow < drainReadTime; slow += 500 * time.Millisecond {
			for begin := time.Duration(0); begin < lateInDrain; begin += 500 * time.Millisecond {
				callers.Go(func() {
					time.Sleep(begin)
					got, sent := sendSlowly(address, path, fmt.Sprintf("slow-%d-%s-%s", n, begin, slow), slow)
					record("slow "+path, sent, got)
				})
			}
		}
	}
	drain, stop := context.WithTimeout(f.t.Context(), abortAt)
	defer stop()
	_ = f.routers[0].Shutdown(drain) // whether it was aborted shows in the requests
	cancel()
	callers.Wait()
	return calls
}

// sendSlowly sends a request whose body takes some time to arrive. It returns the answer and when the last byte was sent.
func sendSlowly(address, path, id string, takes time.Duration) (managed.Answer, time.Time) {
	got := managed.Answer{ID: id}
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		got.NotConnected = true
		return got, time.Now()
	}
	defer conn.Close()
	const parts = 10
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", path, managed.DemoHost,
		wire.HeaderRequestID, id, wire.HeaderKey, key, wire.HeaderDeadline, requestDeadline.Milliseconds(), parts)
	for range parts {
		time.Sleep(takes / parts)
		if _, err := io.WriteString(conn, "x"); err != nil {
			break
		}
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return got, sent
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	got.Status, got.Body, got.Complete = response.StatusCode, string(body), err == nil
	return got, sent
}
