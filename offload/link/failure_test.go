package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/offload/link/linkpb"
	"github.com/walnutcove/walnutcove/peer"
)

const time500 = 500 * time.Millisecond

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func merge(a, b map[string][]byte) map[string][]byte {
	merged := maps.Clone(a)
	maps.Copy(merged, b)
	return merged
}

// untilGone serves until the caller has gone.
func untilGone(ctx context.Context, _ control.NodeID, _ offload.Request, _ net.Conn) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestOneDirectionCut guards against a half-open link: each direction is cut in turn while a
// response is under way, the source must notice and send no further requests, and the open one must
// end by its own limit.
func TestOneDirectionCut(t *testing.T) {
	const limit = time.Second
	for name, cut := range map[string]direction{"to executor": toExecutor, "to source": toSource} {
		t.Run(name, func(t *testing.T) {
			began := make(chan struct{})
			p := connect(t, func(ctx context.Context, from control.NodeID, request offload.Request, conn net.Conn) error {
				_, err := conn.Write([]byte("head"))
				close(began)
				ctx, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				return errors.Join(err, untilGone(ctx, from, request, conn))
			})
			p.allow(t, 2, 2)
			sent, answer := p.send(t, "request")
			await(t, "the request", began)
			eventually(t, "the first bytes", func() bool { return answer.received() == "head" })
			p.proxy.hold(cut)
			eventually(t, "the source to notice", func() bool { return p.source.Allowance() == 0 })
			if p.source.Err() != nil || p.executor.OpenRequests() != 1 {
				t.Errorf("link %v, %d runs when the source noticed", p.source.Err(), p.executor.OpenRequests())
			}
			if cut == toSource {
				eventually(t, "the silence", sent.Silent)
				sent.Cancel()
				await(t, "the end of the link", p.source.Done())
				p.proxy.release()
			}
			answer.expect(t, offload.Broken, "head")
			eventually(t, "the end of the run", func() bool { return p.executor.OpenRequests() == 0 })
			p.proxy.release()
		})
	}
}

// TestOpenLinkIsKeptAlive guards against a link that ends although both sides are alive and only
// wait for a slow response.
func TestOpenLinkIsKeptAlive(t *testing.T) {
	p := connect(t, func(_ context.Context, _ control.NodeID, _ offload.Request, conn net.Conn) error {
		time.Sleep(3 * quickOptions().SilenceTimeout)
		_, err := conn.Write([]byte("late"))
		return err
	})
	p.allow(t, 1, 1)
	_, answer := p.send(t, "request")
	answer.expect(t, offload.Complete, "late")
}

// TestOutcomes guards against a wrong outcome of each way in which a Handler returns.
func TestOutcomes(t *testing.T) {
	failed := errors.New("failed")
	for _, test := range []struct {
		name  string
		write string
		err   error
		want  offload.Outcome
	}{
		{"response", "response", nil, offload.Complete},
		{"declined", "", fmt.Errorf("draining: %w", ErrDeclined), offload.Declined},
		{"declined too late", "re", ErrDeclined, offload.Broken},
		{"failed", "", failed, offload.Broken},
		{"failed within the response", "re", failed, offload.Broken},
		{"no response", "", nil, offload.Broken},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := connect(t, func(_ context.Context, _ control.NodeID, _ offload.Request, conn net.Conn) error {
				if _, err := conn.Write([]byte(test.write)); err != nil {
					return err
				}
				return test.err
			})
			p.allow(t, 1, 1)
			_, answer := p.send(t, "request")
			answer.expect(t, test.want, test.write)
		})
	}
}

// TestFailedWriteIsNotComplete guards against a Handler that ignores that its Write timed out: the
// response lacks bytes and must not end as Complete.
func TestFailedWriteIsNotComplete(t *testing.T) {
	p := connect(t, func(_ context.Context, _ control.NodeID, _ offload.Request, conn net.Conn) error {
		if err := conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			return err
		}
		if _, err := conn.Write(make([]byte, DefaultMaxUntakenBytes+1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("write: %w", err)
		}
		return nil
	})
	p.allow(t, 1, 1)
	_, answer := p.send(t, "request")
	answer.expect(t, offload.Broken, string(make([]byte, DefaultMaxUntakenBytes)))
}

// TestBackPressure guards against a slow caller that delays other responses of its link, or whose
// response grows without bound.
func TestBackPressure(t *testing.T) {
	long := strings.Repeat("long response ", 20000)
	p := connect(t, func(_ context.Context, _ control.NodeID, request offload.Request, conn net.Conn) error {
		if string(request.Raw) != "slow" {
			return echo(context.Background(), "", request, conn)
		}
		_, err := io.WriteString(conn, long)
		return err
	}, func(o *Options) { *o = Options{Log: o.Log} })
	p.allow(t, 3, 3)
	sent, slow := p.send(t, "slow")
	eventually(t, "what may be untaken", func() bool { return len(slow.received()) == DefaultMaxUntakenBytes })
	_, other := p.send(t, "other")
	other.expect(t, offload.Complete, "other")
	for taken := 0; taken < len(long); {
		received := len(slow.received())
		if received-taken > DefaultMaxUntakenBytes {
			t.Fatalf("%d bytes untaken", received-taken)
		}
		sent.Taken(received - taken)
		taken = received
		time.Sleep(time.Millisecond)
	}
	slow.expect(t, offload.Complete, long)
}

// TestCancel guards against runs and requests that are left over when the caller has gone, in each
// state of a request.
func TestCancel(t *testing.T) {
	release := make(chan struct{})
	p := connect(t, func(ctx context.Context, _ control.NodeID, request offload.Request, conn net.Conn) error {
		switch string(request.Raw) {
		case "waiting":
			<-ctx.Done()
		case "reading":
			_, _ = io.ReadAll(conn) // returns when the caller has gone
		case "writing":
			for {
				if _, err := conn.Write(make([]byte, 1000)); err != nil {
					return err
				}
			}
		case "completed in any case":
			<-release
		}
		return nil
	})
	p.allow(t, 5, 5)
	for _, state := range []string{"waiting", "reading", "writing", "completed in any case"} {
		sent, answer := p.send(t, state)
		eventually(t, "the run", func() bool { return p.executor.OpenRequests() > 0 })
		if state == "writing" {
			eventually(t, "a blocked write", func() bool { return len(answer.received()) == DefaultMaxUntakenBytes })
		}
		sent.Cancel()
		sent.Cancel()
		sent.Taken(100)
		answer.expect(t, offload.Broken, answer.received())
		if state == "completed in any case" {
			if p.executor.OpenRequests() != 1 {
				t.Error("the run does not count")
			}
			close(release)
		}
		eventually(t, "the end of the run", func() bool { return p.executor.OpenRequests() == 0 })
	}
	sent, answer := p.send(t, "ended")
	answer.expect(t, offload.Broken, "")
	sent.Cancel() // has no effect
	if p.source.Err() != nil || p.source.OpenRequests() != 0 {
		t.Errorf("%d open, link %v", p.source.OpenRequests(), p.source.Err())
	}
}

// TestCancelBeforeWritten guards against a request that is cancelled before it was written and
// then ends twice or not at all.
func TestCancelBeforeWritten(t *testing.T) {
	source, raw := rawExecutor(t)
	raw.allow(t, source, 2, 2)
	offer(t, source, "blocks the writer")
	eventually(t, "write of the first request", func() bool {
		source.mu.Lock()
		defer source.mu.Unlock()
		return source.written == 1
	})
	sent, answer := offer(t, source, "cancelled")
	sent.Cancel()
	raw.Close()
	answer.expect(t, offload.Declined, "")
}

// TestAllowanceUnderContention guards against wake-ups that are lost or doubled when allowance and
// requests meet: each allowed request is sent, and no other.
func TestAllowanceUnderContention(t *testing.T) {
	const rounds, each, senders = 50, 4, 4
	p := connect(t, echo)
	var sent atomic.Int64
	var group sync.WaitGroup
	stop := make(chan struct{})
	for range senders {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				p.source.NoteWanted(1)
				r := newRecorder()
				if p.source.Send(offload.Request{Raw: []byte("x")}, r) != nil {
					sent.Add(1)
				}
				time.Sleep(100 * time.Microsecond)
			}
		})
	}
	for range rounds {
		group.Go(func() { p.executor.SetAllowance(each, 10) })
	}
	eventually(t, "all that is allowed", func() bool { return sent.Load() == rounds*each })
	eventually(t, "the ends", func() bool { return p.source.OpenRequests() == 0 })
	close(stop)
	group.Wait()
	eventually(t, "the demand", func() bool {
		received, wanted := p.executor.Demand()
		return received == rounds*each && wanted > received
	})
	if p.source.Err() != nil || sent.Load() != rounds*each {
		t.Errorf("%d sent, link %v", sent.Load(), p.source.Err())
	}
}

// TestDrain guards against a draining executor that breaks open requests or gets new ones.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	p := connect(t, func(_ context.Context, _ control.NodeID, _ offload.Request, conn net.Conn) error {
		<-release
		_, err := conn.Write([]byte("response"))
		return err
	})
	p.allow(t, 2, 2)
	_, answer := p.send(t, "request")
	p.executor.Drain()
	p.executor.SetAllowance(10, 10)
	eventually(t, "no allowance", func() bool { return p.source.Allowance() == 0 })
	if _, refusal := p.source.Offer(offload.Request{Raw: []byte("x")}, newRecorder()); refusal != RefusedNoAllowance {
		t.Errorf("sent to a draining executor: %q", refusal)
	}
	close(release)
	answer.expect(t, offload.Complete, "response")
	await(t, "the end of the link", p.executor.Done())
	if err := p.source.Err(); err != ErrDrained {
		t.Errorf("the link ended with %v", err)
	}
}

// TestIdleLinkIsClosed guards against links that are kept for good.
func TestIdleLinkIsClosed(t *testing.T) {
	p := connect(t, echo, func(o *Options) { o.IdleTimeout = 100 * time.Millisecond })
	p.allow(t, 1, 1)
	_, answer := p.send(t, "request")
	answer.expect(t, offload.Complete, "request")
	await(t, "the end of the link", p.executor.Done())
	if err := p.source.Err(); err != ErrIdle {
		t.Errorf("the link ended with %v", err)
	}
}

// TestNoRequestAfterIdleCheck guards against a request that is taken between the check that finds a
// link idle and its end, and breaks although nothing has failed.
func TestNoRequestAfterIdleCheck(t *testing.T) {
	p := connect(t, echo)
	p.allow(t, 1, 1)
	p.source.mu.Lock()
	_, err := p.source.runCheckLocked(p.source.now())
	refusal := p.source.refusalLocked(1)
	p.source.mu.Unlock()
	if err != ErrIdle || refusal != RefusedEnded {
		t.Errorf("the check ended with %v, and a request is refused as %q", err, refusal)
	}
	p.source.conn.Close()
}

// TestUnwantedLinkServesItsRequests guards against a link that is closed while a request is open.
func TestUnwantedLinkServesItsRequests(t *testing.T) {
	release := make(chan struct{})
	p := connect(t, func(ctx context.Context, from control.NodeID, request offload.Request, conn net.Conn) error {
		<-release
		return echo(ctx, from, request, conn)
	})
	p.allow(t, 1, 1)
	_, answer := p.send(t, "request")
	if p.source.CloseIdle() {
		t.Error("the link was closed")
	}
	close(release)
	answer.expect(t, offload.Complete, "request")
	if !p.source.CloseIdle() {
		t.Error("the link was not closed")
	}
}

// TestRequestLimits guards against requests that exceed a limit and are cut, or that exceed the
// memory of the executor.
func TestRequestLimits(t *testing.T) {
	budget := NewBudget(150 << 10)
	p := connect(t, echo, func(o *Options) {
		*o = Options{Log: o.Log, Budget: budget}
	})
	p.allow(t, 10, 10)
	tooLarge := offload.Request{Raw: make([]byte, DefaultMaxRequestBytes+1)}
	if _, refusal := p.source.Offer(tooLarge, newRecorder()); refusal != RefusedTooLarge {
		t.Errorf("too large: %q", refusal)
	}
	_, beyond := p.send(t, strings.Repeat("beyond", 40000))
	beyond.expect(t, offload.Declined, "")
	_, within := p.send(t, strings.Repeat("w", 50000))
	within.expect(t, offload.Complete, strings.Repeat("w", 50000))
	if budget.Used() != 0 {
		t.Errorf("%d bytes in use", budget.Used())
	}
}

// TestCloseUnblocksRead guards against a Handler that waits for a Read of a connection that it has
// closed itself.
func TestCloseUnblocksRead(t *testing.T) {
	p := connect(t, func(_ context.Context, _ control.NodeID, request offload.Request, conn net.Conn) error {
		read := make(chan error)
		go func() {
			_, err := io.ReadAll(conn)
			read <- err
		}()
		_, writeErr := conn.Write(request.Raw)
		closeErr := conn.Close()
		if readErr := <-read; !errors.Is(readErr, net.ErrClosed) {
			return fmt.Errorf("read: %w", readErr)
		}
		return errors.Join(writeErr, closeErr)
	})
	p.allow(t, 1, 1)
	_, answer := p.send(t, "request")
	answer.expect(t, offload.Complete, "request")
}

// TestOverChannel guards against a link that does not work over a channel of package peer, or does
// not notice its end.
func TestOverChannel(t *testing.T) {
	executors := make(chan *Executor, 1)
	options, err := meshOptions("executor", "")
	if err != nil {
		t.Fatal(err)
	}
	options.Channels = map[string]peer.ServeChannel{
		ChannelName: func(from control.NodeID, _ control.Incarnation, _ string, conn net.Conn) {
			executors <- NewExecutor(from, conn, echo, Options{Log: discardLog()})
		},
	}
	accepting, err := peer.New(options, noMessages{})
	if err != nil {
		t.Fatal(err)
	}
	defer accepting.Close()
	options, err = meshOptions("source", "")
	if err != nil {
		t.Fatal(err)
	}
	dialling, err := peer.New(options, noMessages{})
	if err != nil {
		t.Fatal(err)
	}
	defer dialling.Close()
	dialling.SetPeers(map[control.NodeID]string{"executor": accepting.Address()})
	conn, err := dialling.OpenChannel(context.Background(), "executor", ChannelName)
	if err != nil {
		t.Fatal(err)
	}
	p := pair{source: NewSource(conn, Options{Log: discardLog()}), executor: <-executors}
	p.allow(t, 100, 100)
	raw := strings.Repeat("request", DefaultMaxUntakenBytes/8)
	var answers []*recorder
	for range 50 {
		_, answer := p.send(t, raw)
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		answer.expect(t, offload.Complete, raw)
	}
	accepting.Close()
	await(t, "the source to end", p.source.Done())
	await(t, "the executor to end", p.executor.Done())
}

// TestFramesMatchGeneratedCode guards against an encoding by hand that is not that of link.proto.
func TestFramesMatchGeneratedCode(t *testing.T) {
	for _, test := range []struct {
		encoded []byte
		want    *linkpb.Frame
	}{
		{
			appendRequest(nil, frame{number: 300, id: "id", config: 1 << 40, waited: 5, size: 3, bytes: []byte("raw"), queued: 6}),
			&linkpb.Frame{Kind: &linkpb.Frame_Request{Request: &linkpb.Request{
				Number: 300, Id: "id", Config: 1 << 40, Waited: 5, Size: 3, Bytes: []byte("raw"), Queued: 6,
			}}},
		},
		{
			appendAnswer(nil, 7, make([]byte, maxPartBytes), linkpb.End_END_BROKEN),
			&linkpb.Frame{Kind: &linkpb.Frame_Answer{Answer: &linkpb.Answer{
				Number: 7, Bytes: make([]byte, maxPartBytes), End: linkpb.End_END_BROKEN,
			}}},
		},
		{appendCancel(nil, 8), &linkpb.Frame{Kind: &linkpb.Frame_Cancel{Cancel: &linkpb.Cancel{Number: 8}}}},
		{
			appendTaken(nil, 9, 1<<15),
			&linkpb.Frame{Kind: &linkpb.Frame_Taken{Taken: &linkpb.Taken{Number: 9, Bytes: 1 << 15}}},
		},
		{appendPing(nil, 0), &linkpb.Frame{Kind: &linkpb.Frame_Ping{Ping: &linkpb.Ping{}}}},
		{
			appendAllowance(nil, 500, 20, true),
			&linkpb.Frame{Kind: &linkpb.Frame_Allowance{Allowance: &linkpb.Allowance{Total: 500, MaxOpen: 20, Closing: true}}},
		},
	} {
		message, rest, _, err := nextFrame(test.encoded)
		decoded := &linkpb.Frame{}
		if err != nil || len(rest) > 0 || proto.Unmarshal(message, decoded) != nil || !proto.Equal(decoded, test.want) {
			t.Errorf("%v decoded as %v, error %v", test.want, decoded, err)
		}
		generated, err := proto.Marshal(test.want)
		if err != nil {
			t.Fatal(err)
		}
		byHand, err := decodeFrame(message)
		again, errAgain := decodeFrame(generated)
		if err != nil || errAgain != nil || fmt.Sprint(byHand) != fmt.Sprint(again) {
			t.Errorf("%+v, error %v; %+v, error %v", byHand, err, again, errAgain)
		}
	}
}

// TestTransitDelay guards against a deadline that ignores the time for which a request was held up
// between the two sides, and against clocks that differ or drift and are taken for delay.
func TestTransitDelay(t *testing.T) {
	const offset = 7 * time.Hour // between the clocks
	var tr transit
	for _, step := range []struct{ sent, took, want time.Duration }{
		{sent: 0, took: 3 * time.Millisecond, want: 0},
		{sent: time.Second, took: time.Millisecond, want: 0},
		{sent: 2 * time.Second, took: 301 * time.Millisecond, want: 300 * time.Millisecond},
		{sent: time.Hour, took: 200 * time.Millisecond, want: 0}, // as much as clocks may have drifted
	} {
		got := tr.delay(step.sent+step.took-offset, step.sent)
		if got < step.want-time.Millisecond || got > step.want {
			t.Errorf("%+v: %s", step, got)
		}
	}
}

// TestTransitAfterPausedClock guards against requests that count as late for as long as a link lasts
// because the clock of a frozen source stood still.
func TestTransitAfterPausedClock(t *testing.T) {
	const stood = 900 * time.Millisecond
	var tr transit
	tr.delay(time.Millisecond, 0)
	delay := time.Duration(0)
	for sent := time.Second; sent < 3*transitWindow; sent += 50 * time.Millisecond {
		delay = tr.delay(sent+time.Millisecond, sent-stood)
		if sent < transitWindow/2 && delay < stood-time.Millisecond {
			t.Fatalf("delay of %s after %s", delay, sent)
		}
	}
	if delay > time.Millisecond {
		t.Errorf("delay of %s", delay)
	}
}
