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

// fleet is some routers over one store. It is the Caller between them.
type fleet struct {
	store  *memory.Store
	now    time.Time
	tables map[control.NodeID]*Table
	// called lists the writers that were asked.
	called []control.NodeID
	// before and after fail a call before or after the writer's commit.
	before, after map[control.NodeID]error
}

func nodes(n int) []control.NodeID {
	var all []control.NodeID
	for i := range n {
		all = append(all, control.NodeID(fmt.Sprint("vm-", i)))
	}
	return all
}

func newFleet(n int) *fleet {
	f := &fleet{
		store:  memory.New(memory.Options{}),
		now:    time.Unix(0, 0),
		tables: make(map[control.NodeID]*Table),
		before: make(map[control.NodeID]error),
		after:  make(map[control.NodeID]error),
	}
	for _, node := range nodes(n) {
		f.tables[node] = New(Options{
			Self: node, Table: f.store, Caller: f, Now: func() time.Time { return f.now }, Metrics: metrics.NewSet(),
		})
		f.tables[node].SetMembers(nodes(n))
	}
	return f
}

func (f *fleet) Call(ctx context.Context, to control.NodeID, method string, payload []byte) ([]byte, error) {
	f.called = append(f.called, to)
	if err := f.before[to]; err != nil || method != Method {
		return nil, err
	}
	answer, err := f.tables[to].Serve(ctx, payload)
	if f.after[to] != nil {
		return nil, f.after[to]
	}
	return answer, err
}

func insert(key, value string) []store.Op {
	return []store.Op{{Kind: store.OpInsert, Table: "t", Key: key, Value: []byte(value)}}
}

// ordinary returns a router that is no writer, and the two writers that a key tries.
func (f *fleet) ordinary(key string) (*Table, []control.NodeID) {
	for _, t := range f.tables {
		writers := t.candidates(key)
		if writers[0] != t.options.Self && writers[1] != t.options.Self {
			return t, writers
		}
	}
	panic("every router is a writer")
}

func TestOutcomesOfTheWriterComeBack(t *testing.T) {
	f := newFleet(100)
	from, writers := f.ordinary("k")
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

// What surely did not reach a writer, or was refused there, is committed by
// another. All else is unknown, and is not committed again.
func TestFailedCalls(t *testing.T) {
	lost := fmt.Errorf("call: %w", peer.ErrSessionEnded)
	for _, c := range []struct {
		name          string
		before, after error
		elsewhere     bool // committed elsewhere
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
			f := newFleet(100)
			from, writers := f.ordinary("k")
			f.before[writers[0]], f.after[writers[0]] = c.before, c.after
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

func TestCommitsHereIfNoWriterCanBeAsked(t *testing.T) {
	f := newFleet(100)
	from, _ := f.ordinary("k")
	for _, node := range nodes(100) {
		f.before[node] = peer.ErrUnreachable
	}
	if err := from.Commit(context.Background(), insert("k", "v")); err != nil || len(f.called) != maxWriters {
		t.Fatalf("called %v: %v", f.called, err)
	}
}

func TestFailedWriterIsPassedOverForAWhile(t *testing.T) {
	f := newFleet(100)
	from, writers := f.ordinary("k")
	f.before[writers[0]] = peer.ErrUnreachable
	for range 3 {
		_ = from.Commit(context.Background(), insert("k", "v"))
	}
	if len(f.called) != 4 { // the first try, and the other writer three times
		t.Fatalf("called %v", f.called)
	}
	f.now = f.now.Add(avoidFor)
	if next := from.candidates("k"); next[0] != writers[0] {
		t.Fatalf("%v after the pause, want %v", next, writers)
	}
}

// Routers whose views differ commit a row through different writers. The
// table's condition still lets one of them win.
func TestTwoWritersForOneKey(t *testing.T) {
	f := newFleet(100)
	a, writers := f.ordinary("k")
	var without []control.NodeID
	for _, node := range nodes(100) {
		if node != writers[0] {
			without = append(without, node)
		}
	}
	for _, b := range f.tables {
		if b.options.Self == a.options.Self || b.options.Self == writers[1] {
			continue
		}
		b.SetMembers(without)
		f.called = nil
		first, second := a.Commit(context.Background(), insert("k", "a")), b.Commit(context.Background(), insert("k", "b"))
		if first != nil || !errors.Is(second, store.ErrConflict) || len(f.called) != 2 || f.called[0] == f.called[1] {
			t.Fatalf("called %v: %v, %v", f.called, first, second)
		}
		return
	}
}

func TestServeRefusesWhatItCannotRead(t *testing.T) {
	table := newFleet(1).tables["vm-0"]
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

// The routers that see each other, on every side of a partition, spend no more
// than the fleet's budget.
func TestSharesAddUpToTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 300.0
		listed := rapid.IntRange(1, 500).Draw(t, "listed")
		sum := 0.0
		for left := listed; left > 0; {
			side := rapid.IntRange(1, left).Draw(t, "side")
			left -= side
			fleet := Fleet{WritesPerSecond: budget, Listed: listed, Alive: side}
			writers := len(pickWriters(nodes(side)))
			sum += float64(writers)*fleet.Share(true) + float64(side-writers)*fleet.Share(false)
		}
		if sum > budget*1.0001 {
			t.Fatalf("%f writes a second", sum)
		}
	})
}

// A router that leaves moves only the keys of the writer that it was.
func TestWritersAreFewAndStay(t *testing.T) {
	all := nodes(340)
	writers := pickWriters(all)
	if len(writers) != 9 || pickWriters(nodes(LocalMembers)) != nil || len(pickWriters(nodes(LocalMembers+1))) != 1 {
		t.Fatalf("%d writers", len(writers))
	}
	gone := writers[3].node
	var left []control.NodeID
	for _, node := range all {
		if node != gone {
			left = append(left, node)
		}
	}
	after := pickWriters(left)
	rows := make(map[control.NodeID]int)
	const keys = 2000
	for i := range keys {
		key := fmt.Sprintf("%032x", i)
		was, is := inOrder(writers, key)[0].node, inOrder(after, key)[0].node
		rows[was]++
		if was != gone && is != was && is != after[len(after)-1].node {
			t.Fatalf("key moved from %s to %s", was, is)
		}
	}
	for _, w := range writers {
		if share := rows[w.node]; share < keys/9*7/10 || share > keys/9*13/10 {
			t.Errorf("%s has %d of %d keys", w.node, share, keys)
		}
	}
}
