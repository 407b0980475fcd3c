package forward

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"pgregory.net/rapid"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// testFleet is a fleet of routers over one store. It implements the calls between
// them.
type testFleet struct {
	store  *memory.Store
	now    time.Time
	tables map[control.NodeID]*Table
	// called lists the writers that were called, in order.
	called []control.NodeID
	// failBefore and failAfter hold errors with which calls to a router fail before
	// or after its commit.
	failBefore, failAfter map[control.NodeID]error
}

func nodeNames(n int) []control.NodeID {
	var all []control.NodeID
	for i := range n {
		all = append(all, control.NodeID(fmt.Sprint("vm-", i)))
	}
	return all
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{
		store:      memory.New(memory.Options{}),
		now:        time.Unix(0, 0),
		tables:     make(map[control.NodeID]*Table),
		failBefore: make(map[control.NodeID]error),
		failAfter:  make(map[control.NodeID]error),
	}
	for _, node := range nodeNames(n) {
		f.tables[node] = New(Options{
			Self: node, Table: f.store, Caller: f, Now: func() time.Time { return f.now }, Metrics: metrics.NewSet(),
		})
		f.tables[node].SetMembers(nodeNames(n))
	}
	return f
}

func (f *testFleet) Call(ctx context.Context, to control.NodeID, method string, payload []byte) ([]byte, error) {
	f.called = append(f.called, to)
	if err := f.failBefore[to]; err != nil || method != Method {
		return nil, err
	}
	answer, err := f.tables[to].Serve(ctx, payload)
	if f.failAfter[to] != nil {
		return nil, f.failAfter[to]
	}
	return answer, err
}

func insert(key, value string) []store.Op {
	return []store.Op{{Kind: store.OpInsert, Table: "t", Key: key, Value: []byte(value)}}
}

// nonWriter returns a router that is not one of the two writers that a commit of
// the key tries, and these writers.
func (f *testFleet) nonWriter(key string) (*Table, []control.NodeID) {
	for _, t := range f.tables {
		writers := t.candidateWriters(key)
		if writers[0] != t.options.Self && writers[1] != t.options.Self {
			return t, writers
		}
	}
	panic("every router is a writer")
}

func TestWriterOutcomesAreReturned(t *testing.T) {
	f := newTestFleet(100)
	from, writers := f.nonWriter("k")
	revision, err := from.CommitRevision(context.Background(), insert("k", "v"))
	if err != nil {
		t.Fatal(err)
	}
	row, err := from.Get(context.Background(), "t", "k")
	if err != nil || row.Revision != revision || string(row.Value) != "v" {
		t.Fatalf("revision %d, row %+v, %v", revision, row, err)
	}
	if err := from.Commit(context.Background(), insert("k", "v")); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("second insert: %v", err)
	}
	all := []store.Op{
		{Kind: store.OpCheck, Table: "t", Key: "k", Revision: revision},
		{Kind: store.OpCheck, Table: "t", Key: "none"},
		{Kind: store.OpInsert, Table: "t", Key: "other"},
	}
	if err := from.Commit(context.Background(), all); err != nil {
		t.Fatal(err)
	}
	deletion := []store.Op{{Kind: store.OpDelete, Table: "t", Key: "k", Revision: revision}}
	if err := from.Commit(context.Background(), deletion); err != nil {
		t.Fatal(err)
	}
	if len(f.called) != 4 || f.called[0] != writers[0] || f.called[1] != writers[0] {
		t.Fatalf("called %v, want %s first", f.called, writers[0])
	}
}

// TestFailedWriterCalls checks that a commit that certainly did not reach a writer,
// or was refused there, is made by another router. In all other cases its outcome
// must be unknown, and it must not be repeated.
func TestFailedWriterCalls(t *testing.T) {
	lost := fmt.Errorf("call: %w", peer.ErrSessionEnded)
	for _, c := range []struct {
		name          string
		before, after error
		elsewhere     bool // committed by another writer
		applied       bool
	}{
		{name: "unreachable", before: peer.ErrUnreachable, elsewhere: true, applied: true},
		{name: "busy", before: peer.ErrBusy, elsewhere: true, applied: true},
		{name: "method not known", before: peer.ErrCallFailed, elsewhere: true, applied: true},
		{name: "killed before its commit", before: lost},
		{name: "killed after its commit", after: lost, applied: true},
		{name: "no answer in time", before: context.DeadlineExceeded},
		{name: "another error", before: errors.New("boom")},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(100)
			from, writers := f.nonWriter("k")
			f.failBefore[writers[0]], f.failAfter[writers[0]] = c.before, c.after
			err := from.Commit(context.Background(), insert("k", "v"))
			if c.elsewhere && (err != nil || len(f.called) != 2) {
				t.Fatalf("called %v: %v", f.called, err)
			}
			if !c.elsewhere && (!errors.Is(err, store.ErrUnknown) || len(f.called) != 1) {
				t.Fatalf("called %v: %v", f.called, err)
			}
			if _, err := f.store.Get(context.Background(), "t", "k"); (err == nil) != c.applied {
				t.Fatalf("row: %v", err)
			}
		})
	}
}

func TestCommitsLocallyIfNoWriterIsReachable(t *testing.T) {
	f := newTestFleet(100)
	from, _ := f.nonWriter("k")
	for _, node := range nodeNames(100) {
		f.failBefore[node] = peer.ErrUnreachable
	}
	if err := from.Commit(context.Background(), insert("k", "v")); err != nil || len(f.called) != maxWritersTried {
		t.Fatalf("called %v: %v", f.called, err)
	}
}

func TestFailedWriterIsAvoidedTemporarily(t *testing.T) {
	f := newTestFleet(100)
	from, writers := f.nonWriter("k")
	f.failBefore[writers[0]] = peer.ErrUnreachable
	for range 3 {
		_ = from.Commit(context.Background(), insert("k", "v"))
	}
	if len(f.called) != 4 { // the failed writer once, and the other writer three times
		t.Fatalf("called %v", f.called)
	}
	f.now = f.now.Add(avoidDuration)
	if next := from.candidateWriters("k"); next[0] != writers[0] {
		t.Fatalf("%v after the pause, want %v", next, writers)
	}
}

// TestRoutersWithDifferentViewsUseDifferentWriters checks that if routers with
// different views commit a row through different writers, the operation's condition
// still lets only one of the commits succeed.
func TestRoutersWithDifferentViewsUseDifferentWriters(t *testing.T) {
	f := newTestFleet(100)
	a, writers := f.nonWriter("k")
	var withoutFirstWriter []control.NodeID
	for _, node := range nodeNames(100) {
		if node != writers[0] {
			withoutFirstWriter = append(withoutFirstWriter, node)
		}
	}
	for _, b := range f.tables {
		if b.options.Self == a.options.Self || b.options.Self == writers[1] {
			continue
		}
		b.SetMembers(withoutFirstWriter)
		f.called = nil
		first, second := a.Commit(context.Background(), insert("k", "a")), b.Commit(context.Background(), insert("k", "b"))
		if first != nil || !errors.Is(second, store.ErrConflict) || len(f.called) != 2 || f.called[0] == f.called[1] {
			t.Fatalf("called %v: %v, %v", f.called, first, second)
		}
		return
	}
}

func TestServeRejectsInvalidCommits(t *testing.T) {
	table := newTestFleet(1).tables["vm-0"]
	bad, err := encodeCommit([]store.Op{{Kind: store.OpUpdate, Table: "t", Key: "k"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, payload := range [][]byte{nil, {0xff}, bad} {
		if answer, err := table.Serve(context.Background(), payload); err == nil {
			t.Errorf("%q was answered with %q", payload, answer)
		}
	}
	if _, err := decodeOutcome(nil); !errors.Is(err, store.ErrUnknown) {
		t.Errorf("an empty answer means %v", err)
	}
}

// TestSharesStayWithinTheBudget checks that the routers on all sides of a partition
// together do not exceed the fleet's write budget.
func TestSharesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 300.0
		listed := rapid.IntRange(1, 500).Draw(t, "listed")
		sum := 0.0
		for remaining := listed; remaining > 0; {
			side := rapid.IntRange(1, remaining).Draw(t, "side")
			remaining -= side
			fleet := Fleet{WritesPerSecond: budget, Listed: listed, Alive: side}
			writers := len(pickWriters(nodeNames(side)))
			sum += float64(writers)*fleet.Share(true) + float64(side-writers)*fleet.Share(false)
		}
		if sum > budget*1.0001 {
			t.Fatalf("%f writes a second", sum)
		}
	})
}

// TestWriterSelectionIsStable checks that if a writer leaves the fleet, only the
// keys of that writer move, apart from those that its successor takes over.
func TestWriterSelectionIsStable(t *testing.T) {
	all := nodeNames(340)
	writers := pickWriters(all)
	if len(writers) != 9 || pickWriters(nodeNames(MaxMembersWithoutWriters)) != nil || len(pickWriters(nodeNames(MaxMembersWithoutWriters+1))) != 1 {
		t.Fatalf("%d writers", len(writers))
	}
	removed := writers[3].node
	var remaining []control.NodeID
	for _, node := range all {
		if node != removed {
			remaining = append(remaining, node)
		}
	}
	after := pickWriters(remaining)
	rows := make(map[control.NodeID]int)
	const keys = 2000
	for i := range keys {
		key := fmt.Sprintf("%032x", i)
		oldWriter, newWriter := writersByScore(writers, key)[0].node, writersByScore(after, key)[0].node
		rows[oldWriter]++
		if oldWriter != removed && newWriter != oldWriter && newWriter != after[len(after)-1].node {
			t.Fatalf("key moved from %s to %s", oldWriter, newWriter)
		}
	}
	for _, w := range writers {
		if share := rows[w.node]; share < keys/9*7/10 || share > keys/9*13/10 {
			t.Errorf("%s has %d of %d keys", w.node, share, keys)
		}
	}
}
