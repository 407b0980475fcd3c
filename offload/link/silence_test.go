package link

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
)

// TestSilenceEndsNoRequest guards against responses that are cut, and requests that fail, because
// the other side or the way to it was silent for a while and then went on.
func TestSilenceEndsNoRequest(t *testing.T) {
	for name, held := range map[string][]direction{
		"to executor": {toExecutor},
		"to source":   {toSource},
		"both":        {toExecutor, toSource},
	} {
		t.Run(name, func(t *testing.T) {
			goOn := make(chan struct{})
			p := connect(t, func(ctx context.Context, _ control.NodeID, request offload.Request, conn net.Conn) error {
				if string(request.Raw) == "begun" {
					if _, err := conn.Write([]byte("head, ")); err != nil {
						return err
					}
				}
				select {
				case <-goOn:
				case <-ctx.Done():
					return ctx.Err()
				}
				_, err := conn.Write([]byte("rest"))
				return err
			})
			p.allow(t, 10, 10)
			_, begun := p.send(t, "begun")
			eventually(t, "the first bytes", func() bool { return begun.received() == "head, " })
			_, waiting := p.send(t, "waiting")
			eventually(t, "the runs", func() bool { return p.executor.OpenRequests() == 2 })
			for _, d := range held {
				p.proxy.hold(d)
			}
			_, onItsWay := p.send(t, "on its way")
			time.Sleep(3 * quickOptions().SilenceTimeout)
			if _, refusal := p.source.Offer(offload.Request{Raw: []byte("new")}, newRecorder()); refusal == "" {
				t.Error("a request was put on a silent link")
			}
			close(goOn)
			time.Sleep(quickOptions().SilenceTimeout / 2)
			p.proxy.release()
			begun.expect(t, offload.Complete, "head, rest")
			waiting.expect(t, offload.Complete, "rest")
			onItsWay.expect(t, offload.Complete, "rest")
			p.source.NoteWanted(1)
			eventually(t, "further requests", func() bool { return p.source.Allowance() > 0 })
			_, further := p.send(t, "further")
			further.expect(t, offload.Complete, "rest")
		})
	}
}

// TestPausedProcess guards against responses that are cut because the executor's process was paused for
// a while, and against callers who wait for one that was killed: at once, or while it was paused.
func TestPausedProcess(t *testing.T) {
	const length = benchEvents * benchEvent
	for _, transport := range []string{"tcp", "yamux", "tls"} {
		for _, test := range []struct {
			name  string
			pause time.Duration
			kill  bool
		}{
			{name: "paused for 1.2 s", pause: 1200 * time.Millisecond},
			{name: "paused for 2 s", pause: 2 * time.Second},
			{name: "killed", kill: true},
			{name: "killed while paused", pause: 1500 * time.Millisecond, kill: true},
		} {
			t.Run(transport+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				conn, process := startExecutor(t, transport, DefaultGatherTime)
				t.Cleanup(func() { _ = process.Signal(syscall.SIGCONT) }) // it may have ended
				source := NewSource(conn, Options{Log: discardLog()})
				defer source.Close()
				p := pair{source: source}
				eventually(t, "allowance", func() bool { return source.Allowance() > 0 })
				_, answer := p.send(t, "apart"+strings.Repeat(" ", benchRequest))
				eventually(t, "the first bytes", func() bool { return answer.received() != "" })
				if test.pause > 0 {
					signalProcess(t, process, syscall.SIGSTOP)
					time.Sleep(test.pause)
				}
				if !test.kill {
					signalProcess(t, process, syscall.SIGCONT)
					answer.expect(t, offload.Complete, strings.Repeat("e", length))
					return
				}
				select {
				case <-answer.ended:
					t.Fatalf("ended before the process: %+v", answer.loss)
				default:
				}
				killed := time.Now()
				signalProcess(t, process, syscall.SIGKILL)
				await(t, "the end of the response", answer.ended)
				if took := time.Since(killed); took > DefaultSilenceTimeout || answer.loss.Cause != offload.CauseConnection {
					t.Errorf("%+v after %s", answer.loss, took)
				}
			})
		}
	}
}

func signalProcess(t *testing.T, process *os.Process, s os.Signal) {
	t.Helper()
	if err := process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// TestRequestAsLinkBecomesIdle guards against a request that is taken as the source closes its idle link,
// and lost: it must be refused or served.
func TestRequestAsLinkBecomesIdle(t *testing.T) {
	const idle = 50 * time.Millisecond
	var refused, served atomic.Int64
	var links sync.WaitGroup
	for n := range 60 {
		// Only the source closes the link in time; an executor does so much later.
		ours, theirs := tcpPair(t)
		executor := NewExecutor("source", theirs, echo, Options{Log: discardLog()})
		source := NewSource(ours, Options{Log: discardLog(), IdleTimeout: idle, CheckInterval: 10 * time.Millisecond})
		executor.SetAllowance(2, 2)
		links.Go(func() {
			defer await(t, "executor to end", executor.Done())
			defer source.Close()
			eventually(t, "allowance", func() bool { return source.Allowance() > 0 })
			first, last := newRecorder(), newRecorder()
			if source.Send(offload.Request{Raw: []byte("first")}, first) == nil {
				refused.Add(1)
				return
			}
			first.expect(t, offload.Complete, "first")
			time.Sleep(idle + time.Duration(n)*250*time.Microsecond) // the link ends after one or two checks more
			if source.Send(offload.Request{Raw: []byte("last")}, last) == nil {
				refused.Add(1)
				return
			}
			last.expect(t, offload.Complete, "last")
			served.Add(1)
		})
	}
	links.Wait()
	t.Logf("%d refused, %d served", refused.Load(), served.Load())
}
