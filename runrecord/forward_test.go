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

// modelMembers is large enough for a few writers besides the model's three routers.
const modelMembers = 90

// newTable returns the table that a restarted router commits to.
func (m *model) newTable(node control.NodeID) store.Table {
	if !m.useWriters {
		return m
	}
	m.forwardTables[node] = forward.New(forward.Options{
		Self: node, Table: m, Caller: m, Now: func() time.Time { return time.Unix(0, 0).Add(m.now) }, Metrics: metrics.NewSet(),
	})
	m.changeMembers(node)
	return m.forwardTables[node]
}

// changeMembers changes a router's view of the members, so that its rows go to
// other writers.
func (m *model) changeMembers(node control.NodeID) {
	if !m.useWriters {
		return
	}
	first := m.draw(20)
	var alive []control.NodeID
	for i := range modelMembers {
		alive = append(alive, control.NodeID(fmt.Sprint(first+i)))
	}
	m.forwardTables[node].SetMembers(alive)
}

// Call implements forward.Caller. The writer is unreachable, is killed before or
// after its commit, is paused and commits later, or responds.
func (m *model) Call(ctx context.Context, _ control.NodeID, _ string, payload []byte) ([]byte, error) {
	m.maybeInterleave()
	defer m.maybeInterleave()
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

// lateTable holds commits back until the model applies them.
type lateTable struct{ *model }

func (t lateTable) CommitRevision(_ context.Context, ops []store.Op) (uint64, error) {
	t.lateCommits = append(t.lateCommits, ops)
	return 0, store.ErrUnknown
}

// failingWriter is the Caller of a router whose first calls fail.
type failingWriter struct {
	table *faultyTable
	// failuresLeft calls still fail. If commits is set, their commits take effect;
	// if commitsLate is set, their commits take effect later.
	failuresLeft         int
	commits, commitsLate bool
}

func (w *failingWriter) Call(ctx context.Context, _ control.NodeID, _ string, payload []byte) ([]byte, error) {
	writer := forward.New(forward.Options{Self: "writer", Table: w.table, Caller: w, Metrics: metrics.NewSet()})
	if w.failuresLeft == 0 {
		return writer.Serve(ctx, payload)
	}
	w.failuresLeft--
	if w.commitsLate {
		w.table.injectFaults(faultLate)
	}
	if w.commits || w.commitsLate {
		_, _ = writer.Serve(ctx, payload)
	}
	return nil, peer.ErrSessionEnded
}

// startForwardingManager starts a manager that commits through w.
func startForwardingManager(t *testing.T, w *failingWriter) *Manager {
	var alive []control.NodeID
	for i := range 2 * forward.MembersPerWriter {
		alive = append(alive, control.NodeID(fmt.Sprint("vm-", i)))
	}
	table := forward.New(forward.Options{Self: "a", Table: w.table, Caller: w, Metrics: metrics.NewSet()})
	table.SetMembers(alive)
	return startManager(t, table, "a")
}

// TestWriterFailureDuringClaim has the writer killed before or after it commits a
// claim, or paused so that it commits late. The claim must be acquired once, by the
// router that requested it.
func TestWriterFailureDuringClaim(t *testing.T) {
	for _, w := range []*failingWriter{{}, {commits: true}, {commitsLate: true}} {
		w.table, w.failuresLeft = newFaultyTable(), 1
		a, b := startForwardingManager(t, w), startManager(t, w.table, "b")
		claim := mustClaim(t, a, testRequest)
		if n := w.table.applyLate(); n != 0 {
			t.Fatal("a late claim took effect in addition to another")
		}
		wantRefused(t, b, testRequest, result.RecordInProgress)
		claim.Answered(Outcome{Status: 200})
		flush(t, a)
		if got := w.table.storedRecord(t, testRequest); got.State != StateAnswered || got.Owner.Node != "a" {
			t.Fatalf("stored %+v", got)
		}
	}
}

// TestWriterFailureDuringEnd has the writer fail while it writes the end of a
// record. The end must be written once, by the next writer.
func TestWriterFailureDuringEnd(t *testing.T) {
	for _, w := range []*failingWriter{{}, {commits: true}, {commitsLate: true}} {
		w.table = newFaultyTable()
		a, b := startForwardingManager(t, w), startManager(t, w.table, "b")
		claim := mustClaim(t, a, testRequest)
		w.failuresLeft = 1
		claim.Answered(Outcome{Status: 201})
		flush(t, a)
		if n := w.table.applyLate(); n != 0 {
			t.Fatal("a late end took effect over the one that was written")
		}
		decision, err := b.Claim(context.Background(), testRequest)
		if err != nil || decision.Replay == nil || decision.Replay.Status != 201 {
			t.Fatalf("no replay: %+v, %v", decision, err)
		}
	}
}
