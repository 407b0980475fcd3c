package link

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/offload/link/linkpb"
)

// rawSide is one side of a link on which the test itself reads and writes frames. Writes of the
// other side block until the test reads.
type rawSide struct {
	net.Conn
	buffer []byte
}

// rawExecutor returns a source, and the other side of its link.
func rawExecutor(t testing.TB, change ...func(*Options)) (*Source, *rawSide) {
	t.Helper()
	options := quickOptions()
	for _, f := range change {
		f(&options)
	}
	ours, theirs := net.Pipe()
	source := NewSource(ours, options)
	t.Cleanup(func() {
		source.Close()
		theirs.Close()
		await(t, "source to end", source.Done())
	})
	return source, &rawSide{Conn: theirs}
}

// rawSource returns an executor that granted an allowance, and the other side of its link.
func rawSource(t testing.TB, handler Handler, total, maxOpen int) (*Executor, *rawSide) {
	t.Helper()
	ours, theirs := net.Pipe()
	executor := NewExecutor("source", ours, handler, quickOptions())
	t.Cleanup(func() {
		executor.Close()
		theirs.Close()
		await(t, "executor to end", executor.Done())
		eventually(t, "handlers to return", func() bool { return executor.OpenRequests() == 0 })
	})
	raw := &rawSide{Conn: theirs}
	executor.SetAllowance(total, maxOpen)
	if f := raw.read(t); f.kind != kindAllowance || f.total != uint64(total) || f.maxOpen != uint64(maxOpen) {
		t.Fatalf("first frame: %+v", f)
	}
	return executor, raw
}

// allow grants an allowance to a source.
func (r *rawSide) allow(t testing.TB, source *Source, total, maxOpen uint64) {
	t.Helper()
	r.write(t, appendAllowance(nil, total, maxOpen, false))
	eventually(t, "allowance", func() bool { return source.Allowance() > 0 })
}

// write writes frames. Whether all are read depends on the other side.
func (r *rawSide) write(t testing.TB, frames []byte) {
	t.Helper()
	if _, err := r.Write(frames); err != nil {
		t.Logf("write: %v", err)
	}
}

// read reads a frame.
func (r *rawSide) read(t testing.TB) frame {
	t.Helper()
	for {
		message, rest, _, err := nextFrame(r.buffer)
		if err != nil {
			t.Fatal(err)
		}
		if message != nil {
			r.buffer = rest
			f, err := decodeFrame(message)
			if err != nil {
				t.Fatal(err)
			}
			return f
		}
		more := make([]byte, 4096)
		n, err := r.Read(more)
		if err != nil {
			t.Fatal(err)
		}
		r.buffer = append(r.buffer, more[:n]...)
	}
}

// readKind reads frames until one of a kind.
func (r *rawSide) readKind(t testing.TB, k kind) frame {
	t.Helper()
	for {
		if f := r.read(t); f.kind == k {
			return f
		}
	}
}

// discard reads and discards everything until the link ends.
func (r *rawSide) discard() {
	go func() {
		more := make([]byte, 4096)
		for {
			if _, err := r.Read(more); err != nil {
				return
			}
		}
	}()
}

func offer(t testing.TB, source *Source, raw string) (offload.Sent, *recorder) {
	t.Helper()
	return pair{source: source}.send(t, raw)
}

// TestEndBeforeAndAfterFirstByte guards against "not run" for a request of which the executor may
// have read something, and against "may have run" for one that never left.
func TestEndBeforeAndAfterFirstByte(t *testing.T) {
	source, raw := rawExecutor(t)
	raw.allow(t, source, 3, 3)
	_, first := offer(t, source, "first")
	eventually(t, "write of the first request", func() bool {
		source.mu.Lock()
		defer source.mu.Unlock()
		return source.written == 1
	})
	long := strings.Repeat("x", maxBatchBytes*2/3) // so that the two are in different batches
	_, second := offer(t, source, long)
	_, third := offer(t, source, long)
	raw.readKind(t, kindRequest)
	eventually(t, "write of the second request", func() bool {
		source.mu.Lock()
		defer source.mu.Unlock()
		return source.written == 2
	})
	raw.Close()
	first.expect(t, offload.Broken, "")
	second.expect(t, offload.Broken, "")
	third.expect(t, offload.Declined, "")
	if sent, refusal := source.Offer(offload.Request{Raw: []byte("x")}, newRecorder()); sent != nil || refusal != RefusedEnded {
		t.Errorf("request on an ended link: %v %q", sent, refusal)
	}
}

// TestEndWithinResponse guards against a cut response that ends as Complete.
func TestEndWithinResponse(t *testing.T) {
	source, raw := rawExecutor(t)
	raw.allow(t, source, 1, 1)
	_, answer := offer(t, source, "request")
	raw.readKind(t, kindRequest)
	raw.write(t, appendAnswer(nil, 1, []byte("HTTP/1.1 200"), linkpb.End_END_NONE))
	raw.Close()
	answer.expect(t, offload.Broken, "HTTP/1.1 200")
}

// TestBrokenRequestNamesItsCause guards against requests that break off without a reason in the logs
// and counters, or with a wrong one.
func TestBrokenRequestNamesItsCause(t *testing.T) {
	for want, end := range map[offload.Cause]func(*Source, *rawSide){
		offload.CauseResponse: func(_ *Source, raw *rawSide) {
			raw.write(t, appendAnswer(nil, 1, nil, linkpb.End_END_BROKEN))
		},
		offload.CauseConnection: func(_ *Source, raw *rawSide) { raw.Close() },
		offload.CauseProtocol:   func(_ *Source, raw *rawSide) { raw.write(t, []byte("\x00")) },
		offload.CauseStopped:    func(source *Source, _ *rawSide) { source.Close() },
	} {
		source, raw := rawExecutor(t)
		raw.allow(t, source, 1, 1)
		_, answer := offer(t, source, "request")
		raw.readKind(t, kindRequest)
		end(source, raw)
		answer.expect(t, offload.Broken, "")
		if answer.loss.Cause != want || (answer.loss.Err == nil) != (want == offload.CauseResponse) {
			t.Errorf("%+v, want %s", answer.loss, want)
		}
	}
}

// TestSilentExecutor guards against new requests for an executor that is frozen or cut off, against
// open ones that do not end when their callers leave at their deadlines, and against a link to it that
// is then kept.
func TestSilentExecutor(t *testing.T) {
	source, raw := rawExecutor(t)
	raw.allow(t, source, 2, 2)
	sent, answer := offer(t, source, "request")
	raw.discard()
	eventually(t, "refusals before the end", func() bool { return source.Allowance() == 0 })
	eventually(t, "the silence", sent.Silent)
	select {
	case <-answer.ended:
		t.Fatalf("ended by silence alone, the link with %v", source.Err())
	case <-time.After(2 * quickOptions().SilenceTimeout):
	}
	sent.Cancel()
	answer.expect(t, offload.Broken, "")
	await(t, "the end of the link", source.Done())
	if err := source.Err(); err != ErrSilent {
		t.Errorf("the link ended with %v", err)
	}
}

// TestNothingIsSentBeforeReading guards against a request that a source which was itself paused sends
// over a link of which it has not read that it ended meanwhile: no check has run yet.
func TestNothingIsSentBeforeReading(t *testing.T) {
	source, raw := rawExecutor(t, func(o *Options) { o.CheckInterval = testTimeout })
	raw.allow(t, source, 2, 2)
	offer(t, source, "request")
	raw.readKind(t, kindRequest)
	time.Sleep(quickOptions().SilenceTimeout)
	if source.Allowance() != 0 {
		t.Errorf("allowance of %d", source.Allowance())
	}
	if _, refusal := source.Offer(offload.Request{Raw: []byte("x")}, newRecorder()); refusal != RefusedStalled {
		t.Errorf("a request after the pause: %q", refusal)
	}
}

// TestStalledWriter guards against requests that are taken while the executor reads nothing, and
// against memory without bound.
func TestStalledWriter(t *testing.T) {
	source, raw := rawExecutor(t, func(o *Options) {
		o.MaxUnwrittenBytes = 5000
		o.SilenceTimeout = time500
	})
	raw.allow(t, source, 100, 100)
	request := offload.Request{Raw: make([]byte, 2000)}
	var open []offload.Sent
	for i, want := range []Refusal{"", "", RefusedFull} {
		sent, refusal := source.Offer(request, newRecorder())
		if refusal != want {
			t.Errorf("request %d: %q", i, refusal)
		}
		if sent != nil {
			open = append(open, sent)
		}
	}
	if held := source.HeldBytes(); held < 4000 || held > 5000 {
		t.Errorf("%d bytes held", held)
	}
	eventually(t, "the stall to be noticed", func() bool { return source.Allowance() == 0 })
	if _, refusal := source.Offer(offload.Request{Raw: []byte("x")}, newRecorder()); refusal != RefusedStalled {
		t.Errorf("request during the stall: %q", refusal)
	}
	for _, sent := range open {
		sent.Cancel()
	}
	await(t, "the end of the link", source.Done())
	if source.HeldBytes() != 0 || source.OpenRequests() != 0 {
		t.Errorf("%d bytes and %d requests left", source.HeldBytes(), source.OpenRequests())
	}
}

// TestPausedSide guards against a process that takes the other side for silent, and ends its links,
// because it was itself paused, before it has read what arrived meanwhile.
func TestPausedSide(t *testing.T) {
	source, raw := rawExecutor(t, func(o *Options) {
		o.CheckInterval = testTimeout // the test makes the checks
		o.PauseThreshold = DefaultPauseThreshold
		o.SilenceTimeout = DefaultSilenceTimeout
	})
	raw.allow(t, source, 1, 1)
	sent, _ := offer(t, source, "request")
	sent.Cancel() // nobody waits for the executor
	source.mu.Lock()
	defer source.mu.Unlock()
	silent := 2 * DefaultSilenceTimeout
	resumed := source.now() + silent
	check := func(now, due int64) error {
		source.timerDue = resumed + millis(due)
		_, err := source.runCheckLocked(resumed + millis(now))
		return err
	}
	if err := check(0, -600); err != nil {
		t.Fatalf("at the end of the pause: %v", err)
	}
	for _, now := range []int64{50, 100, 240} {
		if err := check(now, now); err != nil {
			t.Fatalf("%d ms after the pause: %v", now, err)
		}
	}
	if err := check(260, 260); err != nil {
		t.Errorf("ended by a single check: %v", err)
	}
	if err := check(310, 310); err != ErrSilent {
		t.Errorf("still silent long after the pause: %v", err)
	}
}

// TestAllowanceOfSource guards against more requests than the executor allowed, also if an
// Allowance arrives twice, and against an allowance that is lost.
func TestAllowanceOfSource(t *testing.T) {
	source, raw := rawExecutor(t, func(o *Options) { o.SilenceTimeout = testTimeout })
	var frames []frame
	for _, step := range []struct {
		total, maxOpen uint64
		end            []uint64 // requests that end before
		want           int      // requests that can be sent
	}{
		{total: 3, maxOpen: 2, want: 2},
		{total: 3, maxOpen: 2, want: 0},
		{total: 3, maxOpen: 2, end: []uint64{1}, want: 1},
		{total: 3, maxOpen: 5, want: 0}, // the total is used up
		{total: 9, maxOpen: 0, want: 0},
		{total: 9, maxOpen: 4, want: 2},
		{total: 9, maxOpen: 1, end: []uint64{2, 3}, want: 0}, // more open than allowed now
		{total: 9, maxOpen: 9, end: []uint64{4}, want: 4},
	} {
		for _, number := range step.end {
			raw.write(t, appendAnswer(nil, number, []byte("x"), linkpb.End_END_COMPLETE))
		}
		for range 2 { // the second write returns when the first frame is handled
			raw.write(t, appendAllowance(nil, step.total, step.maxOpen, false))
		}
		sent := 0
		for source.Send(offload.Request{Raw: []byte("request")}, newRecorder()) != nil {
			sent++
			frames = append(frames, raw.readKind(t, kindRequest))
		}
		if sent != step.want {
			t.Errorf("%+v: %d sent", step, sent)
		}
	}
	if last := frames[len(frames)-1]; last.number != 9 || len(frames) != 9 {
		t.Errorf("%d requests, the last one is %+v", len(frames), last)
	}
}

// TestGarbage guards against frames of a broken or foreign peer: they end the link, and no
// response of it counts as complete.
func TestGarbage(t *testing.T) {
	request := func(number, size uint64, bytes string) []byte {
		return appendRequest(nil, frame{number: number, size: size, bytes: []byte(bytes)})
	}
	answer := func(number uint64, bytes string, end linkpb.End) []byte {
		return appendAnswer(nil, number, []byte(bytes), end)
	}
	common := map[string][]byte{
		"no protobuf":    []byte("\x05\xff\xff\xff\xff\xff"),
		"no length":      []byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"),
		"oversize":       []byte("\xff\xff\x7f"),
		"empty":          []byte("\x00"),
		"two kinds":      []byte("\x04\x1a\x00\x2a\x00"),
		"truncated kind": []byte("\x03\x12\x05\x08"),
	}
	toSource := map[string][]byte{
		"own kind":                  appendPing(nil, 1),
		"decreasing allowance":      appendAllowance(nil, 0, 1, false),
		"unknown request":           answer(2, "x", linkpb.End_END_NONE),
		"complete without bytes":    answer(1, "", linkpb.End_END_COMPLETE),
		"declined with bytes":       answer(1, "x", linkpb.End_END_DECLINED),
		"declined after some bytes": append(answer(1, "x", 0), answer(1, "", linkpb.End_END_DECLINED)...),
	}
	toExecutor := map[string][]byte{
		"own kind":           answer(1, "x", linkpb.End_END_NONE),
		"beyond allowance":   append(request(1, 1, "x"), request(2, 1, "x")...),
		"too many open":      append(request(1, 1, "x"), request(2, 1, "x")...),
		"wrong number":       request(2, 1, "x"),
		"no size":            request(1, 0, "x"),
		"too large":          request(1, DefaultMaxRequestBytes+1, "x"),
		"longer than said":   request(1, 2, "xyz"),
		"parts interleaved":  append(request(1, 2, "x"), request(2, 1, "x")...),
		"taken but not sent": append(request(1, 1, "x"), appendTaken(nil, 1, 100)...),
	}
	for name, bytes := range merge(common, toSource) {
		t.Run("source/"+name, func(t *testing.T) {
			source, raw := rawExecutor(t)
			raw.allow(t, source, 1, 1)
			_, r := offer(t, source, "request")
			raw.readKind(t, kindRequest)
			raw.write(t, bytes)
			await(t, "the end of the link", source.Done())
			if err := source.Err(); !errors.Is(err, errFrame) {
				t.Errorf("the link ended with %v", err)
			}
			r.expect(t, offload.Broken, r.received())
		})
	}
	for name, bytes := range merge(common, toExecutor) {
		t.Run("executor/"+name, func(t *testing.T) {
			total, maxOpen := 1, 2
			if name == "too many open" {
				total, maxOpen = 2, 1
			}
			executor, raw := rawSource(t, untilGone, total, maxOpen)
			raw.discard()
			raw.write(t, bytes)
			await(t, "the end of the link", executor.Done())
			if err := executor.Err(); !errors.Is(err, errFrame) {
				t.Errorf("the link ended with %v", err)
			}
		})
	}
}

// TestFailedWriteNamesItsCause guards against runs that end with their link and are logged as if their
// callers had left.
func TestFailedWriteNamesItsCause(t *testing.T) {
	for want, end := range map[string]func(*rawSide){
		"link: the caller has gone":                     func(raw *rawSide) { raw.write(t, appendCancel(nil, 1)) },
		"link: the link to the source has ended: EOF":   func(raw *rawSide) { raw.Close() },
		"link: the link to the source has ended: inval": func(raw *rawSide) { raw.write(t, []byte("\x00")) },
	} {
		failed := make(chan error, 1)
		_, raw := rawSource(t, func(ctx context.Context, _ control.NodeID, _ offload.Request, conn net.Conn) error {
			<-ctx.Done()
			_, err := conn.Write([]byte("x"))
			failed <- err
			return err
		}, 1, 1)
		raw.discard()
		raw.write(t, appendRequest(nil, frame{number: 1, size: 1, bytes: []byte("x")}))
		end(raw)
		if err := <-failed; err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// TestSilentSource guards against a source that is not heard and may send further requests, against
// runs that end because of its silence alone, and against runs for callers of one that is dead.
func TestSilentSource(t *testing.T) {
	executor, raw := rawSource(t, untilGone, 5, 5)
	raw.write(t, appendRequest(nil, frame{number: 1, size: 1, bytes: []byte("x")}))
	for raw.readKind(t, kindAllowance).maxOpen > 0 {
	}
	ping := appendPing(nil, 1)
	go func() { _, _ = raw.Write(ping) }()
	for raw.readKind(t, kindAllowance).maxOpen != 5 {
	}
	for raw.readKind(t, kindAllowance).maxOpen > 0 {
	}
	if executor.OpenRequests() != 1 || executor.Err() != nil {
		t.Errorf("%d runs, link %v", executor.OpenRequests(), executor.Err())
	}
	raw.Close()
	await(t, "the end of the link", executor.Done())
	eventually(t, "the end of the run", func() bool { return executor.OpenRequests() == 0 })
}
