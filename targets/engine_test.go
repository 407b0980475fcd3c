package targets_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/targets"
)

func startEngine(t testing.TB, options engine.Options) (*engine.Engine, string) {
	t.Helper()
	e := engine.New(options)
	address, err := e.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, address
}

// streamCall requests a streamed answer to a prompt that contains the id as its mark.
func streamCall(id, address string, tokens int) targets.Request {
	body := fmt.Sprintf(`{"model":"m","prompt":"mark:%s","max_tokens":%d,"stream":true}`, id, tokens)
	return targets.Request{ID: id, Address: address, Method: "POST", Path: engine.PathCompletions, Body: []byte(body)}
}

// wholeStream returns the complete body of the answer to streamCall.
func wholeStream(t testing.TB, req targets.Request) string {
	t.Helper()
	call, err := engine.ParseCall(req.Path, req.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(call.ExpectedStreamBody(req.ID))
}

// waitForEnd waits for the end of a request in the journal and returns its outcome.
func waitForEnd(t testing.TB, e *engine.Engine, id string) journal.Outcome {
	t.Helper()
	var outcome journal.Outcome
	eventually(t, "the end of "+id, func() bool {
		entries := e.Journal().Find(id, journal.Ended)
		if len(entries) == 0 {
			return false
		}
		outcome = entries[len(entries)-1].Outcome
		return true
	})
	return outcome
}

func TestConnectionIsReusedAndReplacedWhenStale(t *testing.T) {
	set := metrics.NewSet()
	e, address := startEngine(t, engine.Options{})
	client := newClient(t, targets.Options{Metrics: set})
	dials := set.GetOrCreateCounter("walnut_target_dials_total")
	read := func(id string) {
		t.Helper()
		req := streamCall(id, address, 3)
		resp, err := client.Do(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != wholeStream(t, req) {
			t.Fatalf("body %q, error %v", body, err)
		}
	}
	read("r1")
	read("r2")
	if dials.Get() != 1 {
		t.Fatalf("%d dials, want 1", dials.Get())
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 { // an idle connection is available, but the caller has gone
		_, err := client.Do(cancelled, streamCall("gone", address, 1))
		wantError(t, err, result.CallerGone, result.RanNo)
	}
	read("r2b")
	if n := len(e.Journal().Find("gone", journal.Received)); n != 0 {
		t.Fatalf("%d requests of a caller that had gone were sent", n)
	}
	e.SetFaults(engine.Faults{DowntimeMillis: 1})
	e.CrashNow()
	eventually(t, "the restart", func() bool {
		probe := targets.NewHTTPClient(targets.Options{})
		defer probe.Close()
		_, err := probe.Load(context.Background(), address)
		return err == nil
	})
	read("r3")
	stale := set.GetOrCreateCounter("walnut_target_stale_connections_total")
	if dials.Get() != 2 || stale.Get() != 1 || len(e.Journal().Find("r3", journal.Started)) != 1 {
		t.Fatalf("%d dials, %d stale", dials.Get(), stale.Get())
	}
}

// TestFaultsAreReportedCorrectly causes each fault and compares what the client reports with
// the journal.
func TestFaultsAreReportedCorrectly(t *testing.T) {
	cases := []struct {
		name    string
		faults  engine.Faults
		code    result.Code
		ran     result.Ran
		outcome journal.Outcome
		options targets.Options
	}{
		{"refuse", engine.Faults{Refuse: true}, result.TargetRefused, result.RanNo, journal.NotRun, targets.Options{}},
		{"crash", engine.Faults{Poison: "mark:r"}, result.TargetLostRequest, result.RanUnknown, journal.Crashed, targets.Options{}},
		{"hang", engine.Faults{Hang: true}, result.FirstByteTimeout, result.RanUnknown, journal.Cancelled, targets.Options{FirstByteTimeout: time.Second}},
		{"stall", engine.Faults{HangAfterTokens: 2}, result.AnswerTooSlow, result.RanUnknown, journal.Cancelled, targets.Options{StallTimeout: 300 * time.Millisecond}},
		{"break", engine.Faults{BreakAfterTokens: 2}, result.StreamBroken, result.RanUnknown, journal.Broken, targets.Options{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, address := startEngine(t, engine.Options{})
			e.SetFaults(tc.faults)
			client := newClient(t, tc.options)
			req := streamCall("r", address, 1000)
			body, err := doAndRead(client, req)
			wantError(t, err, tc.code, tc.ran)
			if whole := wholeStream(t, req); !strings.HasPrefix(whole, body) || body == whole {
				t.Errorf("body is %q", body)
			}
			if outcome := waitForEnd(t, e, "r"); outcome != tc.outcome {
				t.Errorf("journal says %q", outcome)
			}
		})
	}
}

func doAndRead(client targets.Client, req targets.Request) (string, error) {
	resp, err := client.Do(context.Background(), req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestCancelAndCloseEndTheRun checks that cancelling or closing frees the slot of a run that
// would take an hour.
func TestCancelAndCloseEndTheRun(t *testing.T) {
	e, address := startEngine(t, engine.Options{Slots: 1})
	client := newClient(t, targets.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := client.Do(ctx, streamCall("cancelled", address, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	waiting := make(chan error, 1)
	queuedCtx, cancelQueued := context.WithCancel(context.Background())
	go func() {
		_, err := client.Do(queuedCtx, streamCall("queued", address, 1))
		waiting <- err
	}()
	eventually(t, "the second request", func() bool { return len(e.Journal().Find("queued", journal.Received)) == 1 })
	cancelQueued()
	wantError(t, <-waiting, result.CallerGone, result.RanUnknown)
	if outcome := waitForEnd(t, e, "queued"); outcome != journal.NotRun {
		t.Errorf("queued: journal says %q", outcome)
	}
	cancel()
	_, err = io.ReadAll(resp.Body)
	wantError(t, err, result.CallerGone, result.RanUnknown)
	if outcome := waitForEnd(t, e, "cancelled"); outcome != journal.Cancelled {
		t.Errorf("cancelled: journal says %q", outcome)
	}
	resp, err = client.Do(context.Background(), streamCall("closed", address, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if outcome := waitForEnd(t, e, "closed"); outcome != journal.Cancelled {
		t.Errorf("closed: journal says %q", outcome)
	}
}

// TestExpiredDeadlineIsTimeout checks that a context's deadline is distinguished from a
// cancelled caller.
func TestExpiredDeadlineIsTimeout(t *testing.T) {
	e, address := startEngine(t, engine.Options{})
	e.SetFaults(engine.Faults{Hang: true})
	set := metrics.NewSet()
	client := newClient(t, targets.Options{Metrics: set})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, streamCall("r", address, 1))
	wantError(t, err, result.FirstByteTimeout, result.RanUnknown)
	_, err = client.Load(ctx, address)
	wantError(t, err, result.ConnectFailed, result.RanNo)
	polls := set.GetOrCreateCounter(`walnut_load_poll_failures_total{reason="connect_timeout"}`)
	if count(set, "first_byte_timeout") != 1 || polls.Get() != 1 {
		t.Errorf("counters %d, %d", count(set, "first_byte_timeout"), polls.Get())
	}
}

func TestResumedStreamIsCompleteAndRunsOnce(t *testing.T) {
	e, address := startEngine(t, engine.Options{Resumes: true})
	e.SetFaults(engine.Faults{BreakAfterTokens: 5, Times: 1})
	client := newClient(t, targets.Options{})
	req := streamCall("r", address, 12)
	first, err := doAndRead(client, req)
	wantError(t, err, result.StreamBroken, result.RanUnknown)
	req.Offset = int64(len(first)) - 3 // inside an event
	rest, err := doAndRead(client, req)
	if err != nil || first[:req.Offset]+rest != wholeStream(t, req) {
		t.Fatalf("first %q, rest %q, error %v", first, rest, err)
	}
	starts, resumes := e.Journal().Find("r", journal.Started), e.Journal().Find("r", journal.Resumed)
	if len(starts) != 1 || len(resumes) != 1 || waitForEnd(t, e, "r") != journal.Answered {
		t.Fatalf("%d starts, %d resumes", len(starts), len(resumes))
	}
}

// TestNotRunClaimsAreTrue sends requests while engines crash, refuse, break and hang, and
// checks every claim of the client against the journals.
func TestNotRunClaimsAreTrue(t *testing.T) {
	const engines, callers, calls = 3, 8, 60
	client := newClient(t, targets.Options{FirstByteTimeout: time.Second, StallTimeout: time.Second})
	var all [engines]*engine.Engine
	var addresses [engines]string
	for i := range all {
		options := engine.Options{Slots: 2, MaxQueued: 2, Step: 200 * time.Microsecond}
		all[i], addresses[i] = startEngine(t, options)
		faults := []engine.Faults{{BreakAfterTokens: 7}, {Refuse: true}, {HangAfterTokens: 9, DowntimeMillis: 20}}
		faults[i].Poison = "-13\""
		faults[i].DowntimeMillis = 20
		all[i].SetFaults(faults[i])
	}
	var mu sync.Mutex
	claims := make(map[string]error)
	var group sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(uint64(caller), 1))
		group.Go(func() {
			for n := range calls {
				req := streamCall(fmt.Sprintf("c%d-%d", caller, n), addresses[random.IntN(engines)], 1+random.IntN(8))
				body, err := doAndRead(client, req)
				if err == nil && body != wholeStream(t, req) {
					t.Errorf("%s: answer is %q", req.ID, body)
				}
				mu.Lock()
				claims[req.ID] = err
				mu.Unlock()
			}
		})
	}
	group.Wait()
	seen := make(map[string]int)
	for id, err := range claims {
		starts := 0
		for _, e := range all {
			starts += len(e.Journal().Find(id, journal.Started))
		}
		seen[checkClaim(t, id, err, starts)]++
	}
	t.Logf("claims: %v", seen)
	if seen["answered"] == 0 || seen["not run"] == 0 || seen["unknown"] == 0 {
		t.Errorf("one kind of claim did not occur: %v", seen)
	}
}

func checkClaim(t *testing.T, id string, err error, starts int) string {
	t.Helper()
	var typed *result.Error
	switch {
	case err == nil && starts == 1:
		return "answered"
	case !errors.As(err, &typed):
		t.Errorf("%s: error %v, %d starts", id, err, starts)
	case typed.Ran == result.RanNo && starts != 0:
		t.Errorf("%s: reported as not run, but started %d times: %v", id, starts, err)
	case starts > 1:
		t.Errorf("%s: started %d times", id, starts)
	case typed.Ran == result.RanNo:
		return "not run"
	}
	return "unknown"
}
