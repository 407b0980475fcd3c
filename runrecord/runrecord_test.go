package runrecord

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
)

var testRequest = Request{Workspace: "school", IdempotencyKey: "deploy-7", Fingerprint: 42}

// startManager starts a manager that is stopped when the test ends.
func startManager(t *testing.T, table store.Table, node control.NodeID, change ...func(*Options)) *Manager {
	options := Options{
		Table:       table,
		Node:        node,
		Incarnation: 7,
		RetryEvery:  time.Millisecond,
		Metrics:     metrics.NewSet(),
	}
	for _, f := range change {
		f(&options)
	}
	m := New(options)
	t.Cleanup(func() {
		m.stop()
		m.workers.Wait()
	})
	return m
}

func mustClaim(t *testing.T, m *Manager, request Request) *Claim {
	t.Helper()
	decision, err := m.Claim(context.Background(), request)
	if err != nil || decision.Claim == nil {
		t.Fatalf("no claim: %+v, %v", decision, err)
	}
	return decision.Claim
}

// wantRefused checks that a claim for the request is refused with the code.
func wantRefused(t *testing.T, m *Manager, request Request, code result.Code) *result.Error {
	t.Helper()
	decision, err := m.Claim(context.Background(), request)
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		t.Fatalf("not refused: %+v, %v", decision, err)
	}
	if refusal.Code != code {
		t.Fatalf("refused with %v, want code %d", refusal, code)
	}
	return refusal
}

func flush(t *testing.T, m *Manager) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := m.flush(ctx); err != nil {
		t.Fatal(err)
	}
}

func TestAnswerIsReplayedByEveryRouter(t *testing.T) {
	table := newFaultyTable()
	a, b := startManager(t, table, "a"), startManager(t, table, "b")
	claim := mustClaim(t, a, testRequest)
	refusal := wantRefused(t, b, testRequest, result.RecordInProgress)
	if refusal.RetryAfter < minRetryAfter || refusal.Ran != result.RanUnknown {
		t.Fatalf("unexpected refusal: %+v", refusal)
	}
	wantRefused(t, a, testRequest, result.RecordInProgress)
	if err := claim.BeginDispatch(); err != nil {
		t.Fatal(err)
	}
	claim.Answered(Outcome{Status: 201, Header: map[string]string{"X": "y"}, Body: []byte("done")})
	flush(t, a)
	for _, m := range []*Manager{a, b} {
		decision, err := m.Claim(context.Background(), testRequest)
		if err != nil || decision.Replay == nil {
			t.Fatalf("no replay: %+v, %v", decision, err)
		}
		if decision.Replay.Status != 201 || string(decision.Replay.Body) != "done" || decision.Replay.Header["X"] != "y" {
			t.Fatalf("replayed %+v", decision.Replay)
		}
		other := testRequest
		other.Fingerprint++
		wantRefused(t, m, other, result.RecordMismatch)
	}
}

func TestLostReplyOfInsert(t *testing.T) {
	for _, f := range []commitFault{faultReplyLost, faultLate} {
		table := newFaultyTable()
		m := startManager(t, table, "a")
		table.injectFaults(f)
		claim := mustClaim(t, m, testRequest)
		if n := table.applyLate(); n != 0 {
			t.Fatalf("a late insert took effect in addition to the claim")
		}
		claim.Answered(Outcome{Status: 200})
		flush(t, m)
		if got := table.storedRecord(t, testRequest); got.State != StateAnswered {
			t.Fatalf("fault %d: stored %+v", f, got)
		}
	}
}

// TestUnresolvedClaimIsReleased checks that if the outcome of the insert stays
// unknown, the request is refused as not run, and a resend to another router can
// run once the table is available again.
func TestUnresolvedClaimIsReleased(t *testing.T) {
	for _, f := range []commitFault{faultReplyLost, faultLate} {
		table := newFaultyTable()
		a, b := startManager(t, table, "a"), startManager(t, table, "b")
		table.injectFaults(f)
		table.setReadsUnavailable(true)
		refusal := wantRefused(t, a, testRequest, result.RecordUnavailable)
		if refusal.Ran != result.RanNo {
			t.Fatalf("refusal has Ran %v", refusal.Ran)
		}
		table.setReadsUnavailable(false)
		flush(t, a)
		if got := table.storedRecord(t, testRequest); got.State != StateNotRun {
			t.Fatalf("fault %d: stored %+v", f, got)
		}
		claim := mustClaim(t, b, testRequest)
		if n := table.applyLate(); n != 0 {
			t.Fatal("a late insert took effect over another's claim")
		}
		claim.Answered(Outcome{Status: 200})
	}
}

// TestResendToSameRouterRunsAfterUnresolvedClaim checks that a resend to the same
// router waits for the release of the claim and then runs.
func TestResendToSameRouterRunsAfterUnresolvedClaim(t *testing.T) {
	table := newFaultyTable()
	m := startManager(t, table, "a")
	table.injectFaults(faultReplyLost)
	table.setReadsUnavailable(true)
	wantRefused(t, m, testRequest, result.RecordUnavailable)
	table.setReadsUnavailable(false)
	mustClaim(t, m, testRequest)
}

// TestReleasedClaimCannotDispatch checks that after a claim was given up, nothing
// can be dispatched under it, and a resend can run.
func TestReleasedClaimCannotDispatch(t *testing.T) {
	table := newFaultyTable()
	a, b := startManager(t, table, "a"), startManager(t, table, "b")
	first := mustClaim(t, a, testRequest)
	first.NotRun(result.NoTarget)
	flush(t, a)
	second := mustClaim(t, b, testRequest)
	if err := first.BeginDispatch(); err == nil {
		t.Fatal("dispatch under a released claim")
	}
	first.Answered(Outcome{Status: 200}) // too late to have an effect
	flush(t, a)
	if got := table.storedRecord(t, testRequest); got.State != StateClaimed || got.Owner.Node != "b" {
		t.Fatalf("stored %+v", got)
	}
	if err := second.BeginDispatch(); err != nil {
		t.Fatal(err)
	}
}

func TestClaimLapses(t *testing.T) {
	var now control.Instant
	m := startManager(t, newFaultyTable(), "a", func(o *Options) {
		o.Now = func() control.Instant { return now }
		o.Lease = time.Minute
	})
	claim := mustClaim(t, m, testRequest)
	now = time.Minute - 1
	if err := claim.BeginDispatch(); err != nil {
		t.Fatal(err)
	}
	now = time.Minute
	var refusal *result.Error
	if err := claim.BeginDispatch(); !errors.As(err, &refusal) || refusal.Code != result.RecordLapsed {
		t.Fatalf("got %v", err)
	}
}

// TestRecordOfDeadOwnerIsNotRunAgain checks that a request whose owner died is
// never run again, whether or not the owner dispatched it.
func TestRecordOfDeadOwnerIsNotRunAgain(t *testing.T) {
	table := newFaultyTable()
	gone := func(o *Options) {
		o.OwnerAlive = func(node control.NodeID, _ control.Incarnation) bool { return node != "a" }
	}
	a, b := startManager(t, table, "a"), startManager(t, table, "b", gone)
	paused := mustClaim(t, a, testRequest)
	wantRefused(t, b, testRequest, result.RecordUnknown)
	if err := paused.BeginDispatch(); err != nil {
		t.Fatal(err)
	}
	paused.Unknown(result.StreamBroken)
	flush(t, a)
	for _, m := range []*Manager{a, b} {
		if refusal := wantRefused(t, m, testRequest, result.RecordUnknown); refusal.Ran != result.RanUnknown {
			t.Fatalf("refusal has Ran %v", refusal.Ran)
		}
	}
}

func TestBreakerOpensWhileTableIsUnavailable(t *testing.T) {
	table := newFaultyTable()
	var now control.Instant
	m := startManager(t, table, "a", func(o *Options) { o.Now = func() control.Instant { return now } })
	for range breakerThreshold {
		table.injectFaults(faultUnavailable)
		if refusal := wantRefused(t, m, testRequest, result.RecordUnavailable); refusal.Ran != result.RanNo {
			t.Fatalf("refusal has Ran %v", refusal.Ran)
		}
	}
	if refusal := wantRefused(t, m, testRequest, result.RecordUnavailable); !errors.Is(refusal, errBreakerOpen) {
		t.Fatalf("the table was called again immediately: %v", refusal)
	}
	now += breakerRetryInterval
	mustClaim(t, m, testRequest)
	other := testRequest
	other.IdempotencyKey = "deploy-8"
	mustClaim(t, m, other)
}

func TestAnswerOverTheLimitIsNotKept(t *testing.T) {
	table := newFaultyTable()
	m := startManager(t, table, "a", func(o *Options) { o.MaxStoredBytes = 10 })
	mustClaim(t, m, testRequest).Answered(Outcome{Status: 200, Body: make([]byte, 11)})
	flush(t, m)
	if got := table.storedRecord(t, testRequest).Outcome; got.Body != nil || !got.BodyOmitted {
		t.Fatalf("stored %+v", got)
	}
	if refusal := wantRefused(t, m, testRequest, result.RecordNotKept); refusal.Ran != result.RanYes {
		t.Fatalf("refusal has Ran %v", refusal.Ran)
	}
}

// TestPendingEndsAreBounded checks that ended records that wait for the table take
// bounded memory.
func TestPendingEndsAreBounded(t *testing.T) {
	m := newManager(Options{Table: newFaultyTable(), Node: "a", MaxPending: 2, MaxPendingBytes: 5, Metrics: metrics.NewSet()})
	for _, key := range []string{"1", "2", "3"} {
		mustClaim(t, m, Request{Workspace: "w", IdempotencyKey: key}).Answered(Outcome{Body: []byte("four")})
	}
	if len(m.queue) != 2 || len(m.entries) != 2 || m.pendingBytes != 4 || !m.queue[1].record.Outcome.BodyOmitted {
		t.Fatalf("%d queued, %d known, %d bytes", len(m.queue), len(m.entries), m.pendingBytes)
	}
	// The dropped end is lost: this router no longer runs the request.
	wantRefused(t, m, Request{Workspace: "w", IdempotencyKey: "3"}, result.RecordUnknown)
	if !m.writeBatch(context.Background(), m.nextBatch()) || len(m.entries) != 0 || m.pendingBytes != 0 {
		t.Fatalf("%d known, %d bytes after writing", len(m.entries), m.pendingBytes)
	}
}

// TestLateReclaimIsFenced checks the update that replaces a given-up claim. It can
// fail in the same ways as an insert: once its request was refused, it must not
// take effect later.
func TestLateReclaimIsFenced(t *testing.T) {
	table := newFaultyTable()
	a, b := startManager(t, table, "a"), startManager(t, table, "b")
	mustClaim(t, b, testRequest).NotRun(result.NoTarget)
	flush(t, b)
	table.injectFaults(faultNone, faultLate, faultUnavailable) // the insert, the update, the update again
	wantRefused(t, a, testRequest, result.RecordUnavailable)
	flush(t, a)
	if n := table.applyLate(); n != 0 {
		t.Fatal("a late update claimed the request after it was refused")
	}
	mustClaim(t, b, testRequest)
}

// advanceEpoch lets an epoch pass for a sweeper that uses the clock now.
func advanceEpoch(t *testing.T, s *sweeper, now *control.Instant) {
	t.Helper()
	for range 2 {
		if err := s.sweep(context.Background()); err != nil {
			t.Fatal(err)
		}
		*now += defaultEpochLength
	}
}

func TestRecordsExpireAfterTheirRetention(t *testing.T) {
	table := newFaultyTable()
	var now control.Instant
	m := newManager(Options{
		Table: table, Node: "a", Incarnation: 7, Metrics: metrics.NewSet(),
		Now:       func() control.Instant { return now },
		Retention: 2, ClaimedRetention: 4,
	})
	claimed := testRequest
	claimed.IdempotencyKey = "claimed"
	mustClaim(t, m, claimed)
	mustClaim(t, m, testRequest).Answered(Outcome{Status: 200})
	m.writeBatch(context.Background(), m.nextBatch())
	s := &sweeper{manager: m}
	for epoch, want := range []int{2, 2, 2, 1, 1, 0} {
		// Steps within one epoch neither advance it nor delete more.
		for range 3 {
			if err := s.sweep(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if known, _ := readEpoch(context.Background(), table); known.number != uint64(epoch+1) {
			t.Fatalf("epoch %d, want %d", known.number, epoch+1)
		}
		rows, err := table.Scan(context.Background(), Table, "", 10)
		if err != nil || len(rows) != want {
			t.Fatalf("epoch %d: %d records, want %d (%v)", epoch+1, len(rows), want, err)
		}
		now += defaultEpochLength
		_ = s.sweep(context.Background())
	}
}

// TestClaimUsesCurrentEpoch checks that a router that was paused records the epoch
// in force in its claims, not the one that it has cached.
func TestClaimUsesCurrentEpoch(t *testing.T) {
	table := newFaultyTable()
	var now control.Instant
	a := startManager(t, table, "a")
	mustClaim(t, a, Request{Workspace: "w", IdempotencyKey: "first"})
	b := newManager(Options{Table: table, Node: "b", Metrics: metrics.NewSet(), Now: func() control.Instant { return now }})
	advanceEpoch(t, newSweeper(b), &now)
	mustClaim(t, a, testRequest)
	if got := table.storedRecord(t, testRequest).Epoch; got != 2 {
		t.Fatalf("claimed in epoch %d, want 2", got)
	}
}
