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

var deploy = Request{Workspace: "school", IdempotencyKey: "deploy-7", Fingerprint: 42}

// startKeeper starts a keeper that is closed with the test.
func startKeeper(t *testing.T, table store.Table, node control.NodeID, change ...func(*Options)) *Keeper {
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
	k := New(options)
	t.Cleanup(func() {
		k.stop()
		k.workers.Wait()
	})
	return k
}

func mustClaim(t *testing.T, k *Keeper, request Request) *Claim {
	t.Helper()
	decision, err := k.Claim(context.Background(), request)
	if err != nil || decision.Claim == nil {
		t.Fatalf("no claim: %+v, %v", decision, err)
	}
	return decision.Claim
}

// wantRefused claims and requires a refusal with the code.
func wantRefused(t *testing.T, k *Keeper, request Request, code result.Code) *result.Error {
	t.Helper()
	decision, err := k.Claim(context.Background(), request)
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		t.Fatalf("not refused: %+v, %v", decision, err)
	}
	if refusal.Code != code {
		t.Fatalf("refused with %v, want code %d", refusal, code)
	}
	return refusal
}

func flush(t *testing.T, k *Keeper) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := k.flush(ctx); err != nil {
		t.Fatal(err)
	}
}

func TestAnswerIsReplayedByEveryRouter(t *testing.T) {
	table := newTable()
	a, b := startKeeper(t, table, "a"), startKeeper(t, table, "b")
	claim := mustClaim(t, a, deploy)
	refusal := wantRefused(t, b, deploy, result.RecordInProgress)
	if refusal.RetryAfter < retryAfterBase || refusal.Ran != result.RanUnknown {
		t.Fatalf("bad advice: %+v", refusal)
	}
	wantRefused(t, a, deploy, result.RecordInProgress)
	if err := claim.BeginDispatch(); err != nil {
		t.Fatal(err)
	}
	claim.Answered(Outcome{Status: 201, Header: map[string]string{"X": "y"}, Body: []byte("done")})
	flush(t, a)
	for _, k := range []*Keeper{a, b} {
		decision, err := k.Claim(context.Background(), deploy)
		if err != nil || decision.Replay == nil {
			t.Fatalf("no replay: %+v, %v", decision, err)
		}
		if decision.Replay.Status != 201 || string(decision.Replay.Body) != "done" || decision.Replay.Header["X"] != "y" {
			t.Fatalf("replayed %+v", decision.Replay)
		}
		other := deploy
		other.Fingerprint++
		wantRefused(t, k, other, result.RecordMismatch)
	}
}

func TestReplyOfInsertLost(t *testing.T) {
	for _, f := range []fault{faultReplyLost, faultLate} {
		table := newTable()
		k := startKeeper(t, table, "a")
		table.inject(f)
		claim := mustClaim(t, k, deploy)
		if n := table.land(); n != 0 {
			t.Fatalf("a late insert took effect beside the claim")
		}
		claim.Answered(Outcome{Status: 200})
		flush(t, k)
		if got := table.stored(t, deploy); got.State != StateAnswered {
			t.Fatalf("fault %d: stored %+v", f, got)
		}
	}
}

// The insert's outcome stays unknown: the request is refused as not run, and a
// resend to another router can run once the table is back.
func TestUnresolvedClaimIsReleased(t *testing.T) {
	for _, f := range []fault{faultReplyLost, faultLate} {
		table := newTable()
		a, b := startKeeper(t, table, "a"), startKeeper(t, table, "b")
		table.inject(f)
		table.setReadsDown(true)
		refusal := wantRefused(t, a, deploy, result.RecordUnavailable)
		if refusal.Ran != result.RanNo {
			t.Fatalf("refusal says ran %v", refusal.Ran)
		}
		table.setReadsDown(false)
		flush(t, a)
		if got := table.stored(t, deploy); got.State != StateNotRun {
			t.Fatalf("fault %d: stored %+v", f, got)
		}
		claim := mustClaim(t, b, deploy)
		if n := table.land(); n != 0 {
			t.Fatal("a late insert took effect over another's claim")
		}
		claim.Answered(Outcome{Status: 200})
	}
}

// A resend to the same router waits for the release and runs.
func TestSameRouterRunsResendOfUnresolvedClaim(t *testing.T) {
	table := newTable()
	k := startKeeper(t, table, "a")
	table.inject(faultReplyLost)
	table.setReadsDown(true)
	wantRefused(t, k, deploy, result.RecordUnavailable)
	table.setReadsDown(false)
	mustClaim(t, k, deploy)
}

// A claim that was given up cannot be dispatched under, and a resend runs.
func TestReleasedClaimCannotDispatch(t *testing.T) {
	table := newTable()
	a, b := startKeeper(t, table, "a"), startKeeper(t, table, "b")
	first := mustClaim(t, a, deploy)
	first.NotRun(result.NoTarget)
	flush(t, a)
	second := mustClaim(t, b, deploy)
	if err := first.BeginDispatch(); err == nil {
		t.Fatal("dispatch under a released claim")
	}
	first.Answered(Outcome{Status: 200}) // too late to count
	flush(t, a)
	if got := table.stored(t, deploy); got.State != StateClaimed || got.Owner.Node != "b" {
		t.Fatalf("stored %+v", got)
	}
	if err := second.BeginDispatch(); err != nil {
		t.Fatal(err)
	}
}

func TestClaimLapses(t *testing.T) {
	var now control.Instant
	k := startKeeper(t, newTable(), "a", func(o *Options) {
		o.Now = func() control.Instant { return now }
		o.Lease = time.Minute
	})
	claim := mustClaim(t, k, deploy)
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

// The record of a gone owner is never run again, whatever its owner did.
func TestRecordOfGoneOwner(t *testing.T) {
	table := newTable()
	gone := func(o *Options) {
		o.OwnerAlive = func(node control.NodeID, _ control.Incarnation) bool { return node != "a" }
	}
	a, b := startKeeper(t, table, "a"), startKeeper(t, table, "b", gone)
	paused := mustClaim(t, a, deploy)
	wantRefused(t, b, deploy, result.RecordUnknown)
	if err := paused.BeginDispatch(); err != nil {
		t.Fatal(err)
	}
	paused.Unknown(result.StreamBroken)
	flush(t, a)
	for _, k := range []*Keeper{a, b} {
		if refusal := wantRefused(t, k, deploy, result.RecordUnknown); refusal.Ran != result.RanUnknown {
			t.Fatalf("refusal says ran %v", refusal.Ran)
		}
	}
}

func TestTableDown(t *testing.T) {
	table := newTable()
	var now control.Instant
	k := startKeeper(t, table, "a", func(o *Options) { o.Now = func() control.Instant { return now } })
	for range breakerFailures {
		table.inject(faultDown)
		if refusal := wantRefused(t, k, deploy, result.RecordUnavailable); refusal.Ran != result.RanNo {
			t.Fatalf("refusal says ran %v", refusal.Ran)
		}
	}
	if refusal := wantRefused(t, k, deploy, result.RecordUnavailable); !errors.Is(refusal, errBreakerOpen) {
		t.Fatalf("the table was asked again at once: %v", refusal)
	}
	now += breakerPause
	mustClaim(t, k, deploy)
	other := deploy
	other.IdempotencyKey = "deploy-8"
	mustClaim(t, k, other)
}

func TestAnswerOverTheLimitIsNotKept(t *testing.T) {
	table := newTable()
	k := startKeeper(t, table, "a", func(o *Options) { o.MaxStoredBytes = 10 })
	mustClaim(t, k, deploy).Answered(Outcome{Status: 200, Body: make([]byte, 11)})
	flush(t, k)
	if got := table.stored(t, deploy).Outcome; got.Body != nil || !got.BodyOmitted {
		t.Fatalf("stored %+v", got)
	}
	if refusal := wantRefused(t, k, deploy, result.RecordNotKept); refusal.Ran != result.RanYes {
		t.Fatalf("refusal says ran %v", refusal.Ran)
	}
}

// While the table is down the ended records wait in bounded memory.
func TestPendingEndsAreBounded(t *testing.T) {
	k := newKeeper(Options{Table: newTable(), Node: "a", MaxPending: 2, MaxPendingBytes: 5, Metrics: metrics.NewSet()})
	for _, key := range []string{"1", "2", "3"} {
		mustClaim(t, k, Request{Workspace: "w", IdempotencyKey: key}).Answered(Outcome{Body: []byte("four")})
	}
	if len(k.queue) != 2 || len(k.entries) != 2 || k.pendingBytes != 4 || !k.queue[1].record.Outcome.BodyOmitted {
		t.Fatalf("%d queued, %d known, %d bytes", len(k.queue), len(k.entries), k.pendingBytes)
	}
	// The end that was dropped is lost: nobody here runs the request any more.
	wantRefused(t, k, Request{Workspace: "w", IdempotencyKey: "3"}, result.RecordUnknown)
	if !k.writeBatch(context.Background(), k.nextBatch()) || len(k.entries) != 0 || k.pendingBytes != 0 {
		t.Fatalf("%d known, %d bytes after writing", len(k.entries), k.pendingBytes)
	}
}

// The update that replaces a given-up claim is lost in the same ways as an
// insert: once refused, it must not take effect later.
func TestLateReclaimIsFenced(t *testing.T) {
	table := newTable()
	a, b := startKeeper(t, table, "a"), startKeeper(t, table, "b")
	mustClaim(t, b, deploy).NotRun(result.NoTarget)
	flush(t, b)
	table.inject(faultNone, faultLate, faultDown) // the insert, the update, the update again
	wantRefused(t, a, deploy, result.RecordUnavailable)
	flush(t, a)
	if n := table.land(); n != 0 {
		t.Fatal("a late update claimed the request after it was refused")
	}
	mustClaim(t, b, deploy)
}

// advance lets an epoch pass for a sweeper whose clock is now.
func advance(t *testing.T, s *sweeper, now *control.Instant) {
	t.Helper()
	for range 2 {
		if err := s.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		*now += defaultEpochLength
	}
}

func TestRecordsAreKeptForTheirRetention(t *testing.T) {
	table := newTable()
	var now control.Instant
	k := newKeeper(Options{
		Table: table, Node: "a", Incarnation: 7, Metrics: metrics.NewSet(),
		Now:       func() control.Instant { return now },
		Retention: 2, ClaimedRetention: 4,
	})
	claimed := deploy
	claimed.IdempotencyKey = "claimed"
	mustClaim(t, k, claimed)
	mustClaim(t, k, deploy).Answered(Outcome{Status: 200})
	k.writeBatch(context.Background(), k.nextBatch())
	s := &sweeper{keeper: k}
	for epoch, want := range []int{2, 2, 2, 1, 1, 0} {
		// Steps within one epoch neither advance it nor delete more.
		for range 3 {
			if err := s.step(context.Background()); err != nil {
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
		_ = s.step(context.Background())
	}
}

// A router that was paused stamps its claims with the epoch in force, not with
// the one that it remembers.
func TestStaleEpochIsNotStamped(t *testing.T) {
	table := newTable()
	var now control.Instant
	a := startKeeper(t, table, "a")
	mustClaim(t, a, Request{Workspace: "w", IdempotencyKey: "first"})
	b := newKeeper(Options{Table: table, Node: "b", Metrics: metrics.NewSet(), Now: func() control.Instant { return now }})
	advance(t, newSweeper(b), &now)
	mustClaim(t, a, deploy)
	if got := table.stored(t, deploy).Epoch; got != 2 {
		t.Fatalf("claimed in epoch %d, want 2", got)
	}
}
