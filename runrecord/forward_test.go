package runrecord

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/forward"
)

// modelMembers is enough for a few writers besides the model's three routers.
const modelMembers = 90

// tableOf returns the table that a new router commits to.
func (m *model) tableOf(node control.NodeID) store.Table {
	if !m.writers {
		return m
	}
	m.routes[node] = forward.New(forward.Options{
		Self: node, Table: m, Caller: m, Now: func() time.Time { return time.Unix(0, 0).Add(m.now) }, Metrics: metrics.NewSet(),
	})
	m.changeView(node)
	return m.routes[node]
}

// changeView makes a router see other members, so that its rows go to other writers.
func (m *model) changeView(node control.NodeID) {
	if !m.writers {
		return
	}
	first := m.draw(20)
	var alive []control.NodeID
	for i := range modelMembers {
		alive = append(alive, control.NodeID(fmt.Sprint(first+i)))
	}
	m.routes[node].SetMembers(alive)
}

// Call implements forward.Caller: a writer is unreachable, is killed before or
// after its commit, is paused and commits later, or answers.
func (m *model) Call(ctx context.Context, _ control.NodeID, _ string, payload []byte) ([]byte, error) {
	m.between()
	defer m.between()
	writer := forward.New(forward.Options{Self: "writer", Table: m, Caller: m, Metrics: metrics.NewSet()})
	switch m.draw(8) {
	case 0:
		return nil, peer.ErrUnreachable
	case 1:
		return nil, peer.ErrSessionEnded
	case 2:
		_, _ = writer.Serve(ctx, payload)
		return nil, peer.ErrSessionEnded
	case 3:
		paused := forward.New(forward.Options{Self: "paused", Table: lateTable{m}, Caller: m, Metrics: metrics.NewSet()})
		_, _ = paused.Serve(ctx, payload)
		return nil, context.DeadlineExceeded
	default:
		return writer.Serve(ctx, payload)
	}
}

// lateTable keeps commits until the model lets them land.
type lateTable struct{ *model }

func (t lateTable) CommitRevision(_ context.Context, ops []store.Op) (uint64, error) {
	t.late = append(t.late, ops)
	return 0, store.ErrUnknown
}

// brokenWriter is the Caller of a router whose first calls fail in one way.
type brokenWriter struct {
	table *faultyTable
	// failing calls are left; applies says whether these commit, late whether
	// their commits land later.
	failing       int
	applies, late bool
}

func (w *brokenWriter) Call(ctx context.Context, _ control.NodeID, _ string, payload []byte) ([]byte, error) {
	writer := forward.New(forward.Options{Self: "writer", Table: w.table, Caller: w, Metrics: metrics.NewSet()})
	if w.failing == 0 {
		return writer.Serve(ctx, payload)
	}
	w.failing--
	if w.late {
		w.table.inject(faultLate)
	}
	if w.applies || w.late {
		_, _ = writer.Serve(ctx, payload)
	}
	return nil, peer.ErrSessionEnded
}

// startForwarding starts a keeper that commits through writers.
func startForwarding(t *testing.T, w *brokenWriter) *Keeper {
	var alive []control.NodeID
	for i := range 2 * forward.MembersPerWriter {
		alive = append(alive, control.NodeID(fmt.Sprint("vm-", i)))
	}
	table := forward.New(forward.Options{Self: "a", Table: w.table, Caller: w, Metrics: metrics.NewSet()})
	table.SetMembers(alive)
	return startKeeper(t, table, "a")
}

// The writer is killed before it commits a claim, after it, or is paused over
// it. The claim is won once, and by the router that asked.
func TestWriterBreaksOverAClaim(t *testing.T) {
	for _, w := range []*brokenWriter{{}, {applies: true}, {late: true}} {
		w.table, w.failing = newTable(), 1
		a, b := startForwarding(t, w), startKeeper(t, w.table, "b")
		claim := mustClaim(t, a, deploy)
		if n := w.table.land(); n != 0 {
			t.Fatal("a late claim took effect beside another")
		}
		wantRefused(t, b, deploy, result.RecordInProgress)
		claim.Answered(Outcome{Status: 200})
		flush(t, a)
		if got := w.table.stored(t, deploy); got.State != StateAnswered || got.Owner.Node != "a" {
			t.Fatalf("stored %+v", got)
		}
	}
}

// The writer breaks over the end of a record: it is written once, by the next.
func TestWriterBreaksOverAnEnd(t *testing.T) {
	for _, w := range []*brokenWriter{{}, {applies: true}, {late: true}} {
		w.table = newTable()
		a, b := startForwarding(t, w), startKeeper(t, w.table, "b")
		claim := mustClaim(t, a, deploy)
		w.failing = 1
		claim.Answered(Outcome{Status: 201})
		flush(t, a)
		if n := w.table.land(); n != 0 {
			t.Fatal("a late end took effect over the one that was written")
		}
		decision, err := b.Claim(context.Background(), deploy)
		if err != nil || decision.Replay == nil || decision.Replay.Status != 201 {
			t.Fatalf("no replay: %+v, %v", decision, err)
		}
	}
}
