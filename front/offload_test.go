package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/pipeline"
)

// fakeSender takes all requests, or none if full is set.
type fakeSender struct {
	full atomic.Bool
	sent chan *fakeSent
}

func newFakeSender() *fakeSender { return &fakeSender{sent: make(chan *fakeSent, 1000)} }

// Available implements offload.Sender.
func (s *fakeSender) Available() bool { return true }

// Send implements offload.Sender.
func (s *fakeSender) Send(request offload.Request, answer offload.Answer) offload.Sent {
	if s.full.Load() {
		return nil
	}
	sent := &fakeSent{Request: request, Answer: answer, cancelled: make(chan struct{}, 100)}
	s.sent <- sent
	return sent
}

// fakeSent is a request that a fakeSender took.
type fakeSent struct {
	offload.Request
	offload.Answer
	taken     atomic.Int64
	cancelled chan struct{}
	silent    atomic.Bool
}

// Taken implements offload.Sent.
func (s *fakeSent) Taken(n int) { s.taken.Add(int64(n)) }

// Cancel implements offload.Sent.
func (s *fakeSent) Cancel() { s.cancelled <- struct{}{} }

// Silent implements offload.Sent.
func (s *fakeSent) Silent() bool { return s.silent.Load() }

// pass writes a part of the response.
func (s *fakeSent) pass(text string) { s.Answer.Write([]byte(text)) }

// lossOf returns the reason that goes with an outcome.
func lossOf(outcome offload.Outcome) offload.Loss {
	if outcome == offload.Broken {
		return offload.Loss{Cause: offload.CauseConnection}
	}
	return offload.Loss{}
}

// source is a server that offers all requests to a fakeSender.
type source struct {
	*fixture
	sender *fakeSender
	// refused counts the requests that were counted as refused.
	refused atomic.Int64
	refuser *fastRefuser
}

// startSource starts a source whose server reads requests by the HTTP library. Its refuser has a
// listener of its own, for requests that take the fast path.
func startSource(t *testing.T, options Options) *source {
	t.Helper()
	s := &source{sender: newFakeSender()}
	options.Offload = s.sender
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	options.Shed = func(bool) bool { return true }
	options.ConfirmShed = func(bool, []byte, []byte, func(string) []byte) (bool, func()) {
		return true, func() { s.refused.Add(1) }
	}
	s.fixture = start(t, options, func(context.Context, *pipeline.Exchange) error {
		t.Error("a request was served")
		return nil
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s.refuser = newFastRefuser(listener, s.Server)
	return s
}

// call sends a request on the fast path or to the HTTP library, and returns the caller's
// connection.
func (s *source) call(fast bool, request string) net.Conn {
	s.t.Helper()
	if !fast {
		conn, _ := s.send(request)
		return conn
	}
	conn, _ := s.sendTo(s.refuserAddress(), request)
	if handedOver, _ := s.refuser.refuseWaiting(); handedOver != nil {
		s.t.Fatal("the request does not take the fast path")
	}
	return conn
}

// refuserAddress returns the address of the fast path's listener.
func (s *source) refuserAddress() string {
	return fmt.Sprintf("127.0.0.1:%d", sockaddrOf(s.t, s.refuser.rawListener).Port)
}

// sendTo sends a request to another listener of the server.
func (s *source) sendTo(address, request string) (net.Conn, *bufio.Reader) {
	own := s.address
	defer func() { s.address = own }()
	s.address = address
	return s.send(request)
}

// sockaddrOf returns the address of a listener.
func sockaddrOf(t testing.TB, listener syscall.RawConn) (address *syscall.SockaddrInet4) {
	t.Helper()
	err := listener.Control(func(fd uintptr) {
		name, err := syscall.Getsockname(int(fd))
		if err != nil {
			t.Fatal(err)
		}
		address = name.(*syscall.SockaddrInet4)
	})
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// offer sends a request and returns it as it was offered, once Send has returned: what a caller takes
// before is reported later.
func (s *source) offer(fast bool, request string) (net.Conn, *fakeSent) {
	s.t.Helper()
	conn := s.call(fast, request)
	sent := await(s.t, s.sender.sent)
	r := sent.Answer.(*offloaded)
	for deadline := time.Now().Add(eventTimeout); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		hasReturned := r.sent != nil
		r.mu.Unlock()
		if hasReturned {
			return conn, sent
		}
		if time.Now().After(deadline) {
			s.t.Fatal("Send does not return")
		}
	}
}

// awaitIdle waits until no request is open.
func (s *source) awaitIdle() {
	s.t.Helper()
	for deadline := time.Now().Add(eventTimeout); s.Active() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatal("requests are still open")
		}
	}
	if s.OffloadedRequests() != 0 || s.HeldAnswerBytes() != 0 {
		s.t.Errorf("%d offloaded requests, %d held bytes", s.OffloadedRequests(), s.HeldAnswerBytes())
	}
}

// onBothPaths runs a test for requests that take the fast path and for those that do not.
func onBothPaths(t *testing.T, test func(t *testing.T, fast bool)) {
	t.Run("fast", func(t *testing.T) { test(t, true) })
	t.Run("read by the HTTP library", func(t *testing.T) { test(t, false) })
}

func contentLength(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

var watchOften = Options{WatchEvery: 5 * time.Millisecond}

// TestOffloadedResponseReachesCaller guards against a request or a response that is changed on its
// way, a connection that stays open, and an offloaded request that counts as refused.
func TestOffloadedResponseReachesCaller(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		callerSetsID := *dialect.Own
		callerSetsID.CallerSetsID = true
		s := startSource(t, Options{
			Dialect:      &callerSetsID,
			ConfigNumber: func() uint64 { return 7 },
			Lag:          func() time.Duration { return 30 * time.Millisecond },
		})
		conn, sent := s.offer(fast, shortCall)
		if string(sent.Raw) != shortCall || sent.ID != "r-1" || sent.Config != 7 || sent.Waited != 30*time.Millisecond {
			t.Errorf("offered %q, %q, %d, %s", sent.Raw, sent.ID, sent.Config, sent.Waited)
		}
		if s.Active() != 1 || s.OffloadedRequests() != 1 {
			t.Errorf("%d active, %d offloaded", s.Active(), s.OffloadedRequests())
		}
		response := contentLength("answer")
		for i := range len(response) {
			sent.pass(response[i : i+1])
		}
		sent.End(offload.Complete, offload.Loss{})
		if got, err := io.ReadAll(conn); string(got) != response || err != nil {
			t.Errorf("got %q, %v", got, err)
		}
		s.awaitIdle()
		if sent.taken.Load() != int64(len(response)) || s.refused.Load() != 0 || len(sent.cancelled) > 0 {
			t.Errorf("%d bytes taken of %d, %d refused, %d cancelled", sent.taken.Load(), len(response), s.refused.Load(), len(sent.cancelled))
		}
	})
}

// TestOnlyFirstRequestIsOffloaded guards against a pipelined request that is forwarded with the
// first one, and would run although its connection is closed.
func TestOnlyFirstRequestIsOffloaded(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{})
		behind := shortCall
		if fast {
			behind = "\r\n" // TestFastRefusalHandsOverPipelinedRequests has two requests
		}
		_, sent := s.offer(fast, shortCall+behind)
		if string(sent.Raw) != shortCall {
			t.Errorf("offered %q", sent.Raw)
		}
		sent.End(offload.Declined, offload.Loss{})
	})
}

// TestNotOffloadedIsRefused guards against a request that neither an executor nor this router
// answers, and against a refusal that is not counted, or counted twice.
func TestNotOffloadedIsRefused(t *testing.T) {
	for name, decline := range map[string]bool{"no allowance": false, "declined": true} {
		t.Run(name, func(t *testing.T) {
			onBothPaths(t, func(t *testing.T, fast bool) {
				s := startSource(t, Options{})
				s.sender.full.Store(!decline)
				conn := s.call(fast, shortCall)
				if decline {
					await(t, s.sender.sent).End(offload.Declined, offload.Loss{})
				}
				answer := answerOn(t, conn)
				if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(headerCode) != "605" ||
					answer.Header.Get(headerRan) != "no" || answer.Header.Get(headerRetryAfterMS) == "" || !answer.Close {
					t.Errorf("%s %v", answer.Status, answer.Header)
				}
				s.awaitIdle()
				if s.refused.Load() != 1 {
					t.Errorf("counted as refused %d times", s.refused.Load())
				}
			})
		})
	}
}

// TestNotOfferedWithTooManyConns guards against offloaded requests that use up the descriptors.
func TestNotOfferedWithTooManyConns(t *testing.T) {
	s := startSource(t, Options{MaxKeptConns: 1})
	for range 2 {
		s.offer(true, shortCall)
	}
	if answer := answerOn(t, s.call(true, shortCall)); answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", answer.StatusCode)
	}
}

// TestBrokenResponseIsVisible guards against a request that may have run and is reported as not
// run, and against a part of a response that looks complete, however it is delimited.
func TestBrokenResponseIsVisible(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{})
		for _, begin := range []string{
			"",
			"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 100\r\n\r\nhalf",
			"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
		} {
			for _, outcome := range []offload.Outcome{offload.Broken, offload.Declined} {
				if begin == "" && outcome == offload.Declined {
					continue // not run
				}
				conn, sent := s.offer(fast, shortCall)
				sent.pass(begin)
				sent.End(outcome, lossOf(outcome))
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if begin == "" {
					if err != nil || answer.StatusCode != http.StatusBadGateway || answer.Header.Get(headerCode) != "711" || answer.Header.Get(headerRan) != "unknown" {
						t.Errorf("%v, %v", answer, err)
					}
					continue
				}
				if err == nil {
					_, err = io.ReadAll(answer.Body)
				}
				if err == nil {
					t.Errorf("a part of %q looks complete", begin)
				}
			}
		}
		s.awaitIdle()
		if s.refused.Load() != 0 {
			t.Error("counted as refused")
		}
	})
}

// TestBrokenRequestIsLoggedWithItsCause guards against callers without a complete answer of whom no
// line by their request's ID, and no counter, says why.
func TestBrokenRequestIsLoggedWithItsCause(t *testing.T) {
	for _, cause := range []offload.Cause{offload.CauseResponse, offload.CauseConnection, offload.CauseProtocol} {
		var log bytes.Buffer
		s := startSource(t, Options{Log: slog.New(slog.NewTextHandler(&log, nil))})
		before := offloadBrokenBy[cause].Get()
		_, sent := s.offer(true, shortCall)
		sent.End(offload.Broken, offload.Loss{Cause: cause, Executor: "large-1", Err: io.ErrUnexpectedEOF})
		s.awaitIdle()
		want := fmt.Sprintf("request=%s cause=%s executor=large-1 error=%q response_begun=false", sent.Request.ID, cause, io.ErrUnexpectedEOF)
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %s in %s", want, log.String())
		}
		if count := offloadBrokenBy[cause].Get() - before; count != 1 {
			t.Errorf("%s: counted %d times", cause, count)
		}
	}
}

// TestCompleteWithoutResponse guards against a caller who gets no answer at all.
func TestCompleteWithoutResponse(t *testing.T) {
	s := startSource(t, Options{})
	conn, sent := s.offer(true, shortCall)
	sent.End(offload.Complete, offload.Loss{})
	if answer := answerOn(t, conn); answer.Header.Get(headerCode) != "711" {
		t.Errorf("%v", answer)
	}
}

// TestOffloadedCallerGoesAway guards against a run that continues for a caller who has gone, and
// against a response that is written to a connection that is closed.
func TestOffloadedCallerGoesAway(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		for _, begin := range []string{"", "HTTP/1.1 200 OK\r\n"} {
			s := startSource(t, watchOften)
			conn, sent := s.offer(fast, shortCall)
			sent.pass(begin)
			conn.Close()
			await(t, sent.cancelled)
			s.awaitIdle()
			sent.pass("late")
			sent.End(offload.Complete, offload.Loss{})
			if sent.taken.Load() != int64(len(begin)) || len(sent.cancelled) > 0 {
				t.Errorf("%d bytes taken, cancelled again: %v", sent.taken.Load(), len(sent.cancelled) > 0)
			}
		}
	})
}

// TestHalfClosedCallerSeesTruncation guards against an orderly end of a part of a response that
// is delimited by the end of its connection, for a caller who closed its own side only.
func TestHalfClosedCallerSeesTruncation(t *testing.T) {
	s := startSource(t, watchOften)
	conn, sent := s.offer(true, shortCall)
	sent.pass("HTTP/1.1 200 OK\r\n\r\nhalf")
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	await(t, sent.cancelled)
	if got, err := io.ReadAll(conn); err == nil {
		t.Errorf("%q ends without an error", got)
	}
}

// TestOffloadedDeadline guards against a caller who waits beyond its deadline for an executor
// that is silent, and a response that is cut off because it takes longer than the deadline.
func TestOffloadedDeadline(t *testing.T) {
	withDeadline := *dialect.Own
	withDeadline.Deadline = "X-Deadline-Ms"
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{WatchEvery: 5 * time.Millisecond, Dialect: &withDeadline})
		call := strings.Replace(shortCall, "\r\n\r\n", "\r\nX-Deadline-Ms: 20.5\r\n\r\n", 1)
		begun, begunSent := s.offer(fast, call)
		begunSent.pass("HTTP/1.1 200 OK\r\n")
		began := time.Now()
		silent, silentSent := s.offer(fast, call)
		answer := answerOn(t, silent)
		if took := time.Since(began); took < deadlineGrace || took > deadlineGrace+250*time.Millisecond {
			t.Errorf("refused after %s", took)
		}
		if answer.StatusCode != http.StatusGatewayTimeout || answer.Header.Get(headerCode) != "704" || answer.Header.Get(headerRan) != "unknown" {
			t.Errorf("%s %v", answer.Status, answer.Header)
		}
		await(t, silentSent.cancelled)
		silentSent.pass("late")
		silentSent.End(offload.Complete, offload.Loss{})
		begunSent.pass("Content-Length: 0\r\n\r\n")
		begunSent.End(offload.Complete, offload.Loss{})
		if answer := answerOn(t, begun); answer.StatusCode != http.StatusOK || len(begunSent.cancelled) > 0 {
			t.Errorf("%s, cancelled: %v", answer.Status, len(begunSent.cancelled) > 0)
		}
		s.awaitIdle()
	})
}

// TestSilentExecutorCutsNothingBeforeTheDeadline guards against responses that are cut by the silence of
// an executor before their own deadline, or never, and against callers held beyond the limit of their
// route while nothing enforces it.
func TestSilentExecutorCutsNothingBeforeTheDeadline(t *testing.T) {
	const limit = 300 * time.Millisecond
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{
			WatchEvery: 5 * time.Millisecond,
			RouteLimit: func(host, path []byte) time.Duration {
				if string(host) != "a" || string(path) != "/a" {
					t.Errorf("route of %s %s", host, path)
				}
				return limit
			},
		})
		countsBefore := offloadSilent.Get() + offloadBrokenBy[offload.CauseSilent].Get()
		began := time.Now()
		begun, begunSent := s.offer(fast, shortCall)
		waiting, waitingSent := s.offer(fast, shortCall)
		resumed, resumedSent := s.offer(fast, shortCall)
		begunSent.pass("HTTP/1.1 200 OK\r\n\r\nhalf")
		for _, sent := range []*fakeSent{begunSent, waitingSent, resumedSent} {
			sent.silent.Store(true)
		}
		time.Sleep(time.Until(began.Add(limit + deadlineGrace/2)))
		if open := s.OffloadedRequests(); open != 3 {
			t.Errorf("%d of 3 requests are open before the limit", open)
		}
		resumedSent.silent.Store(false)
		if answer := answerOn(t, waiting); answer.StatusCode != http.StatusGatewayTimeout || answer.Header.Get(headerRan) != "unknown" {
			t.Errorf("%s %v", answer.Status, answer.Header)
		}
		if got, err := io.ReadAll(begun); err == nil {
			t.Errorf("%q ends without an error", got)
		}
		if took := time.Since(began); took > limit+deadlineGrace+250*time.Millisecond {
			t.Errorf("callers of a silent executor waited for %s", took)
		}
		await(t, waitingSent.cancelled)
		await(t, begunSent.cancelled)
		if count := offloadSilent.Get() + offloadBrokenBy[offload.CauseSilent].Get() - countsBefore; count != 2 {
			t.Errorf("%d of 2 ends are counted as silent", count)
		}
		resumedSent.pass(contentLength("late"))
		resumedSent.End(offload.Complete, offload.Loss{})
		if answer := answerOn(t, resumed); answer.StatusCode != http.StatusOK || len(resumedSent.cancelled) > 0 {
			t.Errorf("%s, cancelled: %v", answer.Status, len(resumedSent.cancelled) > 0)
		}
		s.awaitIdle()
	})
}

// TestLongDeadlineIsKept guards against a caller who states a deadline beyond the one of callers that
// state none, and is refused at that one.
func TestLongDeadlineIsKept(t *testing.T) {
	withDeadline := *dialect.Own
	withDeadline.Deadline = "X-Deadline-Ms"
	s := startSource(t, Options{Dialect: &withDeadline})
	for value, want := range map[string]time.Duration{
		"":       defaultCallerDeadline,
		"1500":   1500 * time.Millisecond,
		"60000":  time.Minute,
		"120000": 2 * time.Minute,
		"1e300":  24 * time.Hour,
		"-1":     defaultCallerDeadline,
		"NaN":    defaultCallerDeadline,
		"soon":   defaultCallerDeadline,
	} {
		var header fasthttp.RequestHeader
		if value != "" {
			header.Set("X-Deadline-Ms", value)
		}
		if got := s.callerDeadline(&header); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// fill writes to a request until its caller's connection takes no more, and returns what was
// written.
func fill(t *testing.T, sent *fakeSent) string {
	t.Helper()
	var written strings.Builder
	for i := 0; sent.taken.Load() == int64(written.Len()); i++ {
		if written.Len() > 64<<20 {
			t.Fatal("the connection takes everything")
		}
		part := strings.Repeat(fmt.Sprintf("%07d\n", i), 512)
		written.WriteString(part)
		sent.pass(part)
	}
	return written.String()
}

// TestSlowReaderGetsWholeResponse guards against bytes that are lost, repeated or not reported as
// taken when a caller reads late, and against an end that overtakes them.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{})
		conn, sent := s.offer(fast, shortCall)
		want := fill(t, sent)
		if held := s.HeldAnswerBytes(); held != int64(len(want))-sent.taken.Load() || held == 0 {
			t.Errorf("%d bytes are held, %d of %d taken", held, sent.taken.Load(), len(want))
		}
		sent.pass("end")
		sent.End(offload.Complete, offload.Loss{})
		if got, err := io.ReadAll(conn); string(got) != want+"end" || err != nil {
			t.Errorf("got %d bytes of %d, %v", len(got), len(want)+len("end"), err)
		}
		s.awaitIdle()
		if sent.taken.Load() != int64(len(want)+len("end")) || len(sent.cancelled) > 0 {
			t.Errorf("%d of %d bytes taken, cancelled: %v", sent.taken.Load(), len(want), len(sent.cancelled) > 0)
		}
	})
}

// TestHeldBytesAreBounded guards against a caller who does not read and a Sender without
// back-pressure filling the memory.
func TestHeldBytesAreBounded(t *testing.T) {
	s := startSource(t, Options{})
	_, sent := s.offer(true, shortCall)
	fill(t, sent)
	most := int64(0)
	for range 2 * maxHeldAnswerBytes / 4096 {
		sent.Answer.Write(make([]byte, 4096))
		most = max(most, s.HeldAnswerBytes())
	}
	if most > maxHeldAnswerBytes || most <= maxHeldAnswerBytes-2*4096 {
		t.Errorf("%d bytes were held", most)
	}
	await(t, sent.cancelled)
	s.awaitIdle()
	// The limit for all callers together.
	s.offloads.heldBytes.Store(maxTotalHeldAnswerBytes)
	_, sent = s.offer(true, shortCall)
	fill(t, sent)
	await(t, sent.cancelled)
	s.offloads.heldBytes.Add(-maxTotalHeldAnswerBytes)
	s.awaitIdle()
}

// TestBytesAfterRequestCutNoResponse guards against a connection that is reset, with the part of the
// response that the caller has not received yet, because the caller sent bytes after its request.
func TestBytesAfterRequestCutNoResponse(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{})
		conn, sent := s.offer(fast, shortCall)
		if _, err := io.WriteString(conn, "\r\n"+get); err != nil {
			t.Fatal(err)
		}
		want := fill(t, sent)
		sent.End(offload.Complete, offload.Loss{})
		if got, err := io.ReadAll(conn); string(got) != want || err != nil {
			t.Errorf("got %d bytes of %d, %v", len(got), len(want), err)
		}
		s.awaitIdle()
	})
}

// TestNewBlockedCallersDelayNoOthers guards against held bytes that are written late because the
// connections of other callers keep becoming blocked.
func TestNewBlockedCallersDelayNoOthers(t *testing.T) {
	s := startSource(t, Options{WatchEvery: 10 * time.Second})
	conn, sent := s.offer(true, shortCall)
	want := fill(t, sent)
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for {
			select {
			case <-stop:
				return
			case s.offloads.wake <- struct{}{}: // as addBlocked does
			}
		}
	})
	sent.End(offload.Complete, offload.Loss{})
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if got, err := io.ReadAll(conn); string(got) != want || err != nil {
		t.Errorf("got %d bytes of %d, %v", len(got), len(want), err)
	}
	close(stop)
	others.Wait()
}

// TestStalledReaderIsCutOff guards against a caller who never reads keeping a request open, and against
// one that is cut off of whom no line tells.
func TestStalledReaderIsCutOff(t *testing.T) {
	var log bytes.Buffer
	s := startSource(t, Options{WriteTimeout: 50 * time.Millisecond, Log: slog.New(slog.NewTextHandler(&log, nil))})
	conn, sent := s.offer(true, shortCall)
	fill(t, sent)
	sent.End(offload.Complete, offload.Loss{})
	await(t, sent.cancelled)
	s.awaitIdle()
	if want := "request=" + sent.Request.ID + " reason=stalled"; !strings.Contains(log.String(), want) {
		t.Errorf("no %s in %s", want, log.String())
	}
	if _, err := io.ReadAll(conn); err == nil {
		t.Error("the response looks complete")
	}
}

// TestReusedDescriptorGetsNoForeignBytes guards against a late response that is written to the
// connection which has got the descriptor of the one that it belongs to, or closes it.
func TestReusedDescriptorGetsNoForeignBytes(t *testing.T) {
	s := startSource(t, watchOften)
	first, firstSent := s.offer(true, shortCall)
	fd := firstSent.Answer.(*offloaded).descriptor()
	first.Close()
	await(t, firstSent.cancelled)
	s.awaitIdle()
	for range 1000 {
		conn, sent := s.offer(true, shortCall)
		if sent.Answer.(*offloaded).descriptor() != fd {
			continue // another test's connection has the descriptor
		}
		firstSent.pass("foreign")
		firstSent.End(offload.Broken, offload.Loss{Cause: offload.CauseResponse})
		sent.pass(contentLength("own"))
		sent.End(offload.Complete, offload.Loss{})
		if got, err := io.ReadAll(conn); string(got) != contentLength("own") || err != nil {
			t.Errorf("got %q, %v", got, err)
		}
		return
	}
	t.Error("the descriptor was not reused")
}

// TestResponsesAreNeverMixed guards against bytes that reach another caller when callers go away,
// responses end and descriptors are reused at the same time.
func TestResponsesAreNeverMixed(t *testing.T) {
	const callers, requestsEach = 16, 50
	s := startSource(t, Options{WatchEvery: time.Millisecond})
	var responding, calling sync.WaitGroup
	respond := func(sent *fakeSent) {
		_, name, _ := strings.Cut(string(sent.Raw), " /")
		name, _, _ = strings.Cut(name, " ")
		for range 20 {
			sent.pass(name + ",")
			time.Sleep(100 * time.Microsecond)
		}
		outcome := offload.Outcome(len(name) % 3)
		sent.End(outcome, lossOf(outcome))
	}
	// Requests whose callers left before are not offered, so their number varies.
	responding.Go(func() {
		for sent := range s.sender.sent {
			responding.Go(func() { respond(sent) })
		}
	})
	for caller := range callers {
		calling.Go(func() {
			for i := range requestsEach {
				name := fmt.Sprintf("%d-%d", caller, i)
				conn := s.dial()
				fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n", name)
				if i%3 == 0 {
					_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
				}
				got, _ := io.ReadAll(conn) // cut off for some
				conn.Close()
				if rest := bytes.ReplaceAll(got, []byte(name+","), nil); len(rest) > 0 && !strings.HasPrefix(name+",", string(rest)) {
					t.Errorf("%s got %q", name, got)
				}
			}
		})
	}
	calling.Wait()
	s.awaitIdle()
	close(s.sender.sent)
	responding.Wait()
}

// TestShutdownWaitsForOffloadedRequests guards against a router that ends before its callers have
// the responses of executors.
func TestShutdownWaitsForOffloadedRequests(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{IdleGrace: time.Millisecond})
		conn, sent := s.offer(fast, shortCall)
		shut := make(chan error, 1)
		go func() { shut <- s.Shutdown(context.Background()) }()
		select {
		case <-shut:
			t.Fatal("Shutdown did not wait")
		case <-time.After(acceptQuietPeriod + 50*time.Millisecond):
		}
		sent.pass(contentLength("answer"))
		sent.End(offload.Complete, offload.Loss{})
		if answer := answerOn(t, conn); answer.StatusCode != http.StatusOK {
			t.Errorf("status %d", answer.StatusCode)
		}
		if err := await(t, shut); err != nil {
			t.Error(err)
		}
	})
}

// TestCloseEndsOffloadedRequests guards against callers without an answer, or with a part of one
// that looks complete, when a router is stopped by force, also while a request is being sent.
func TestCloseEndsOffloadedRequests(t *testing.T) {
	s := startSource(t, Options{})
	waiting, waitingSent := s.offer(true, shortCall)
	begun, begunSent := s.offer(true, shortCall)
	begunSent.pass("HTTP/1.1 200 OK\r\n\r\nhalf")
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	late, lateSent := s.offer(true, shortCall)
	for _, sent := range []*fakeSent{waitingSent, begunSent, lateSent} {
		await(t, sent.cancelled)
	}
	for _, conn := range []net.Conn{waiting, late} {
		if answer := answerOn(t, conn); answer.Header.Get(headerCode) != "711" {
			t.Errorf("%v", answer)
		}
	}
	if got, err := io.ReadAll(begun); err == nil {
		t.Errorf("%q ends without an error", got)
	}
	s.awaitIdle()
}

// endingSender ends each request within Send, before it returns.
type endingSender struct{ fakeSent }

// Available implements offload.Sender.
func (s *endingSender) Available() bool { return true }

// Send implements offload.Sender.
func (s *endingSender) Send(_ offload.Request, answer offload.Answer) offload.Sent {
	answer.Write([]byte(contentLength("answer")))
	answer.End(offload.Complete, offload.Loss{})
	return &s.fakeSent
}

// TestResponseBeforeSendReturns guards against a response that is lost, or a request that stays
// open, if the executor answers before Send has returned.
func TestResponseBeforeSendReturns(t *testing.T) {
	sender := &endingSender{}
	f := start(t, Options{Offload: sender, Shed: func(bool) bool { return true }}, answerEmpty)
	conn, _ := f.send(shortCall)
	if answer := answerOn(t, conn); answer.StatusCode != http.StatusOK || f.OffloadedRequests() != 0 {
		t.Errorf("status %d, %d requests open", answer.StatusCode, f.OffloadedRequests())
	}
	conn.Close()
	if err := f.Shutdown(context.Background()); err != nil { // waits until Send has returned
		t.Error(err)
	}
	if sender.taken.Load() != int64(len(contentLength("answer"))) {
		t.Errorf("%d bytes taken", sender.taken.Load())
	}
}

// TestAcceptedConnectionsHaveNoDelay guards against events that wait until the caller has
// acknowledged the one before, on connections that the fast path accepts.
func TestAcceptedConnectionsHaveNoDelay(t *testing.T) {
	s := startSource(t, Options{})
	_, sent := s.offer(true, shortCall)
	value, err := syscall.GetsockoptInt(int(sent.Answer.(*offloaded).descriptor()), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	if value == 0 || err != nil {
		t.Errorf("TCP_NODELAY is %d, %v", value, err)
	}
}

// TestOffloadedResponseIsNotOvertakenByReset guards against a response of an executor that is cut since its caller
// sends a further request before it has read the response.
func TestOffloadedResponseIsNotOvertakenByReset(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{SendBufferBytes: 1 << 20})
		conn, sent := s.offer(fast, shortCall)
		if err := conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
			t.Fatal(err)
		}
		response := contentLength(strings.Repeat("x", 500_000))
		sent.pass(response)
		sent.End(offload.Complete, offload.Loss{})
		s.awaitIdle()
		if _, err := io.WriteString(conn, get); err != nil {
			t.Error(err)
		}
		time.Sleep(50 * time.Millisecond)
		if got, err := io.ReadAll(conn); string(got) != response || err != nil {
			t.Errorf("got %d bytes of %d, %v", len(got), len(response), err)
		}
	})
}
