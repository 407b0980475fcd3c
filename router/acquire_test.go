package router

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// snapshotOf declares one engine at an address, or none if the address is empty.
func snapshotOf(version config.Version, address string) *config.Snapshot {
	declarations := config.Declarations{
		Workspaces: map[string]config.Workspace{"bakery": {Share: 1, Pools: []string{"drafting"}}},
		Pools:      map[string]config.Pool{"drafting": {Kind: config.KindEngine}},
	}
	if address != "" {
		declarations.Targets = map[string]config.Target{
			"engine-1": {Pool: "drafting", DataCentre: "ikeja", Slots: 1, Address: address},
		}
	}
	return &config.Snapshot{Version: version, Declarations: declarations}
}

// startGrants runs a control goroutine with one engine and returns a grant source for it. The
// source looks up the engine's address in inForce.
func startGrants(t *testing.T, inForce *config.Snapshot) *grantSource {
	t.Helper()
	l := newLoop(control.New(control.Options{Node: "vm-1", Incarnation: 1, DataCentre: "ikeja"}), noopShell{}, slog.New(slog.DiscardHandler))
	l.post(control.ConfigChanged{Snapshot: snapshotOf(1, "127.0.0.1:1")})
	stop := make(chan struct{})
	go l.run(stop)
	t.Cleanup(func() { close(stop); <-l.done })
	return &grantSource{loop: l, inForce: func() *config.Snapshot { return inForce }}
}

func newExchange(sequence uint64, gone <-chan struct{}) *pipeline.Exchange {
	return &pipeline.Exchange{
		Sequence:      sequence,
		Attempt:       1,
		WorkspaceName: "bakery",
		PoolName:      "drafting",
		Deadline:      time.Now().Add(time.Hour),
		CallerGone:    gone,
		Snapshot:      snapshotOf(1, "127.0.0.1:1"),
	}
}

// waitRunning waits until want requests are running and none is waiting.
func (g *grantSource) waitRunning(t *testing.T, want int) {
	t.Helper()
	var status control.Status
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		g.loop.query(func(m *control.Machine) { status = m.Status() })
		if status.Running == want && status.Waiting == 0 {
			return
		}
	}
	t.Errorf("%d running, %d waiting; want %d running", status.Running, status.Waiting, want)
}

func TestGrantUsesTheAddressInForce(t *testing.T) {
	for _, c := range []struct{ address, want string }{
		{"127.0.0.1:1", "127.0.0.1:1"},
		{"127.0.0.1:2", "127.0.0.1:2"}, // moved since the request arrived
		{"", ""},                       // removed from the declarations
	} {
		g := startGrants(t, snapshotOf(2, c.address))
		ex := newExchange(1, nil)
		err := g.Acquire(context.Background(), ex)
		if ex.Address != c.want || ex.Target != "engine-1" {
			t.Errorf("got %s at %q, want %q", ex.Target, ex.Address, c.want)
		}
		var refusal *result.Error
		if errors.As(err, &refusal) != (c.want == "") {
			t.Errorf("%q: %v", c.address, err)
		}
		if refusal != nil && (refusal.Code != result.ConnectFailed || refusal.Ran != result.RanNo) {
			t.Errorf("%q: %v", c.address, err)
		}
		want := 1
		if refusal != nil {
			want = 0
		}
		g.waitRunning(t, want)
	}
}

// TestSlotEndsWithTheExchange checks that a slot is freed when its exchange ends, even if a
// filter has not ended the run.
func TestSlotEndsWithTheExchange(t *testing.T) {
	g := startGrants(t, snapshotOf(1, "127.0.0.1:1"))
	ex := newExchange(1, nil)
	if err := g.Acquire(context.Background(), ex); err != nil {
		t.Fatal(err)
	}
	ex.End(errors.New("a filter panicked"))
	ex.Run.End(control.OutcomeAnswered) // has no further effect
	g.waitRunning(t, 0)
}

// TestDisconnectedCallersLeaveNothing lets callers disconnect around the moment of
// their grant. No request may be left waiting, and every grant must be freed.
func TestDisconnectedCallersLeaveNothing(t *testing.T) {
	const requests = 500
	g := startGrants(t, snapshotOf(1, "127.0.0.1:1"))
	ended := make(chan error, requests)
	for n := range requests {
		gone := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		ex := newExchange(uint64(n+1), gone)
		go func() {
			err := g.Acquire(ctx, ex)
			if err == nil {
				ex.Run.End(control.OutcomeAnswered)
			}
			ended <- err
		}()
		if n%2 == 0 {
			close(gone)
		}
		cancel()
	}
	refused := 0
	for range requests {
		if err := <-ended; err != nil {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no caller disconnected before its grant")
	}
	g.waitRunning(t, 0)
	// The only slot is free for another request.
	if err := g.Acquire(context.Background(), newExchange(requests+1, nil)); err != nil {
		t.Error(err)
	}
}

// TestStoppedLoopRefuses checks that a request that asks for a slot after the loop has ended
// is refused and not left waiting.
func TestStoppedLoopRefuses(t *testing.T) {
	l := newLoop(control.New(control.Options{Node: "vm-1", Incarnation: 1}), noopShell{}, slog.New(slog.DiscardHandler))
	stop := make(chan struct{})
	close(stop)
	l.run(stop)
	err := (&grantSource{loop: l}).Acquire(context.Background(), newExchange(1, nil))
	var refusal *result.Error
	if !errors.As(err, &refusal) || refusal.Code != result.Draining || refusal.Ran != result.RanNo {
		t.Errorf("got %v", err)
	}
}

// TestRunPassesLoadToControl guards against the load of a target, or its age, that does not
// arrive at the control goroutine with the beginning and the end of a run.
func TestRunPassesLoadToControl(t *testing.T) {
	const age = 10 * time.Millisecond
	want := speed.Reading{Running: 3, Slots: 8, Percent: 250}
	l := newLoop(nil, nil, slog.New(slog.DiscardHandler))
	run := &grantedRun{loop: l, started: time.Now()}
	run.SetLoad(want)
	time.Sleep(age)
	run.Begin()
	time.Sleep(age)
	run.End(control.OutcomeAnswered)
	if began := (<-l.inbox).event.(control.RunBegan); began.Load != want || began.LoadAge < age {
		t.Errorf("%+v", began)
	}
	if ended := (<-l.inbox).event.(control.RunEnded); ended.Load != want || ended.LoadAge < 2*age {
		t.Errorf("%+v", ended)
	}
	without := &grantedRun{loop: l, started: time.Now()}
	without.End(control.OutcomeLost)
	if ended := (<-l.inbox).event.(control.RunEnded); ended.Load != (speed.Reading{}) || ended.LoadAge != 0 {
		t.Errorf("%+v of a target that reported no load", ended)
	}
}
