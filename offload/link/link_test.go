package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
)

// testTimeout bounds every wait for a condition.
const testTimeout = 10 * time.Second

// quickOptions shorten the times after which the other side counts as dead.
func quickOptions() Options {
	return Options{
		Log:            discardLog(),
		SilenceTimeout: 200 * time.Millisecond,
		PingInterval:   50 * time.Millisecond,
		CheckInterval:  10 * time.Millisecond,
		// Test machines are slow at times.
		PauseThreshold: time.Minute,
	}
}

// pair is both ends of a link over loopback.
type pair struct {
	source   *Source
	executor *Executor
	proxy    *cutProxy
}

// connect starts both ends of a link through a proxy.
func connect(t testing.TB, handler Handler, change ...func(*Options)) pair {
	t.Helper()
	options := quickOptions()
	for _, f := range change {
		f(&options)
	}
	proxy := newCutProxy(t)
	p := pair{
		source:   NewSource(proxy.sourceEnd, options),
		executor: NewExecutor("source", proxy.executorEnd, handler, options),
		proxy:    proxy,
	}
	t.Cleanup(func() {
		p.source.Close()
		p.executor.Close()
		await(t, "source to end", p.source.Done())
		await(t, "executor to end", p.executor.Done())
		eventually(t, "handlers to return", func() bool { return p.executor.OpenRequests() == 0 })
	})
	return p
}

// allow grants an allowance and waits until the source has it.
func (p pair) allow(t testing.TB, more, maxOpen int) {
	t.Helper()
	p.executor.SetAllowance(more, maxOpen)
	eventually(t, "allowance", func() bool { return p.source.Allowance() == min(more, maxOpen) })
}

// send sends a request that must be accepted.
func (p pair) send(t testing.TB, raw string) (offload.Sent, *recorder) {
	t.Helper()
	r := newRecorder()
	sent, refusal := p.source.Offer(offload.Request{ID: "id-" + raw[:min(8, len(raw))], Raw: []byte(raw)}, r)
	if sent == nil {
		t.Fatalf("not sent: %s", refusal)
	}
	r.sent <- sent
	return sent, r
}

// recorder is an Answer.
type recorder struct {
	mu    sync.Mutex
	bytes []byte
	ends  []offload.Outcome
	loss  offload.Loss
	ended chan struct{}
	sent  chan offload.Sent
	// takes makes Write report the bytes as taken.
	takes bool
}

func newRecorder() *recorder {
	return &recorder{ended: make(chan struct{}), sent: make(chan offload.Sent, 1)}
}

func (r *recorder) Write(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ends) > 0 {
		panic("Write after End")
	}
	r.bytes = append(r.bytes, p...)
	if r.takes {
		sent := <-r.sent
		sent.Taken(len(p))
		r.sent <- sent
	}
}

func (r *recorder) End(outcome offload.Outcome, loss offload.Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, outcome)
	r.loss = loss
	if len(r.ends) > 1 {
		panic("two Ends")
	}
	close(r.ended)
}

func (r *recorder) received() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.bytes)
}

// expect waits for the end of the response.
func (r *recorder) expect(t testing.TB, outcome offload.Outcome, bytes string) {
	t.Helper()
	await(t, "the end of a response", r.ended)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends[0] != outcome || string(r.bytes) != bytes {
		t.Fatalf("%v with %d bytes, want %v with %d", r.ends[0], len(r.bytes), outcome, len(bytes))
	}
}

func await(t testing.TB, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// echo answers with the request.
func echo(_ context.Context, _ control.NodeID, request offload.Request, conn net.Conn) error {
	raw := make([]byte, len(request.Raw))
	if _, err := io.ReadFull(conn, raw); err != nil {
		return err
	}
	_, err := conn.Write(raw)
	return err
}

// TestManyRequestsAtOnce guards against responses that are mixed or cut.
func TestManyRequestsAtOnce(t *testing.T) {
	const count = 500
	p := connect(t, echo, func(o *Options) { *o = Options{Log: o.Log} })
	p.allow(t, count, count)
	var senders sync.WaitGroup
	for i := range count {
		senders.Go(func() {
			repeats := 1 + i*37%1500
			if i%50 == 0 {
				repeats = 25000 // exceeds what may be untaken
			}
			raw := strings.Repeat(fmt.Sprintf("%d,", i), repeats)
			r := newRecorder()
			r.takes = true
			request := []byte(raw)
			sent, refusal := p.source.Offer(offload.Request{Raw: request}, r)
			clear(request) // a link does not keep the caller's buffer
			if sent == nil {
				t.Errorf("not sent: %s", refusal)
				return
			}
			r.sent <- sent
			r.expect(t, offload.Complete, raw)
		})
	}
	senders.Wait()
	if t.Failed() {
		t.Logf("source ended with %v, executor with %v", p.source.Err(), p.executor.Err())
	}
}
