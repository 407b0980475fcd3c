package batch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// TestMain fails if a goroutine outlives the tests, but for those of fasthttp
// that sleep out a fixed time after the benchmarks: its clock, and the cleaners
// of idle workers and connections, which end by themselves.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

// scriptedTable is an in-memory table that shows each transaction to a hook
// before it is applied. An error of the hook is returned in its place.
type scriptedTable struct {
	*memory.Store
	hook  func(ops []store.Op) error
	noGet bool

	mu    sync.Mutex
	sizes []int // operations of each transaction
}

func (s *scriptedTable) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	s.mu.Lock()
	s.sizes = append(s.sizes, len(ops))
	s.mu.Unlock()
	if s.hook != nil {
		if err := s.hook(ops); err != nil {
			return 0, err
		}
	}
	return s.Store.CommitRevision(ctx, ops)
}

func (s *scriptedTable) Get(ctx context.Context, table, key string) (store.Row, error) {
	if s.noGet {
		return store.Row{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, table, key)
}

func newScripted() *scriptedTable { return &scriptedTable{Store: memory.New(memory.Options{})} }

// gather returns a table that sends its first transaction when n commits wait.
func gather(t testing.TB, under store.RevisionTable, n int) *Table {
	table := New(under, Options{MaxWait: time.Hour, MaxOps: n, Metrics: metrics.NewSet()})
	t.Cleanup(table.Close)
	return table
}

func insert(keys ...string) []store.Op {
	var ops []store.Op
	for _, key := range keys {
		ops = append(ops, store.Op{Kind: store.OpInsert, Table: "runs", Key: key})
	}
	return ops
}

// commitAll commits each of the groups from a goroutine of its own and returns
// their errors.
func commitAll(table store.Table, groups ...[]store.Op) []error {
	errs := make([]error, len(groups))
	var wait sync.WaitGroup
	for i, ops := range groups {
		wait.Go(func() { errs[i] = table.Commit(context.Background(), ops) })
	}
	wait.Wait()
	return errs
}

func wantErrors(t *testing.T, got []error, want ...error) {
	t.Helper()
	for i := range want {
		if !errors.Is(got[i], want[i]) {
			t.Errorf("commit %d: got %v, want %v", i, got[i], want[i])
		}
	}
}

func TestOneTransaction(t *testing.T) {
	under := newScripted()
	table := gather(t, under, 4)
	wantErrors(t, commitAll(table, insert("a"), insert("b"), insert("c"), insert("d")), nil, nil, nil, nil)
	if !slices.Equal(under.sizes, []int{4}) {
		t.Errorf("transactions of %v rows, want one of 4", under.sizes)
	}
}

func TestLoneCommitIsSent(t *testing.T) {
	table := New(newScripted(), Options{Metrics: metrics.NewSet()})
	defer table.Close()
	revision, err := table.CommitRevision(context.Background(), insert("a"))
	if row, getErr := table.Get(context.Background(), "runs", "a"); err != nil || getErr != nil || row.Revision != revision {
		t.Fatalf("revision %d, %v; row %+v, %v", revision, err, row, getErr)
	}
}

// TestConflictFailsOnlyItsCaller checks it where the culprit can be read back
// and where it has to be found by halving.
func TestConflictFailsOnlyItsCaller(t *testing.T) {
	for _, noGet := range []bool{false, true} {
		t.Run(fmt.Sprintf("noGet=%v", noGet), func(t *testing.T) {
			under := newScripted()
			if err := under.Store.Commit(context.Background(), insert("taken")); err != nil {
				t.Fatal(err)
			}
			under.noGet = noGet
			table := gather(t, under, 5)
			errs := commitAll(table, insert("a"), insert("taken"), insert("b", "c"), insert("d"))
			wantErrors(t, errs, nil, store.ErrConflict, nil, nil)
			if rows, _ := under.Scan(context.Background(), "runs", "", 10); len(rows) != 5 {
				t.Errorf("rows %+v", rows)
			}
			if !noGet && !slices.Equal(under.sizes, []int{5, 4}) {
				t.Errorf("transactions of %v rows", under.sizes)
			}
		})
	}
}

// TestLargeConflictIsHalved checks that the rows of a large transaction are not
// all read back to find one conflict.
func TestLargeConflictIsHalved(t *testing.T) {
	const n = maxReadBack + 8
	under := newScripted()
	if err := under.Store.Commit(context.Background(), insert("0")); err != nil {
		t.Fatal(err)
	}
	table := gather(t, under, n)
	var groups [][]store.Op
	for i := range n {
		groups = append(groups, insert(fmt.Sprint(i)))
	}
	errs := commitAll(table, groups...)
	wantErrors(t, errs[:2], store.ErrConflict, nil)
	if failed := slices.DeleteFunc(errs, func(err error) bool { return err == nil }); len(failed) != 1 {
		t.Errorf("%d commits failed, want 1", len(failed))
	}
	slices.Sort(under.sizes)
	if want := []int{n/2 - 1, n / 2, n / 2, n}; !slices.Equal(under.sizes, want) {
		t.Errorf("transactions of %v rows, want %v", under.sizes, want)
	}
	if got := table.counters.reads.Get(); got != n/2 {
		t.Errorf("%d rows read back, want %d", got, n/2)
	}
}

func TestInvalidFailsOnlyItsCaller(t *testing.T) {
	under := newScripted()
	under.hook = func(ops []store.Op) error {
		if slices.ContainsFunc(ops, func(op store.Op) bool { return op.Key == "bad" }) {
			return store.ErrInvalid
		}
		return nil
	}
	errs := commitAll(gather(t, under, 3), insert("a"), insert("bad"), insert("b"))
	wantErrors(t, errs, nil, store.ErrInvalid, nil)
}

func TestFailureReachesAll(t *testing.T) {
	for _, kind := range []error{store.ErrUnknown, store.ErrUnavailable} {
		under := newScripted()
		under.hook = func([]store.Op) error { return kind }
		wantErrors(t, commitAll(gather(t, under, 3), insert("a"), insert("b"), insert("c")), kind, kind, kind)
		if len(under.sizes) != 1 {
			t.Errorf("%v: sent %d times", kind, len(under.sizes))
		}
	}
}

// TestSameRowTwice checks that of several inserts of a row one is sent, and that
// the others fail by a read, without a transaction of their own.
func TestSameRowTwice(t *testing.T) {
	under := newScripted()
	table := New(under, Options{Metrics: metrics.NewSet()})
	defer table.Close()
	under.hook = func([]store.Op) error {
		waitBlocked(table, 2)
		return nil
	}
	errs := commitAll(table, insert("a"), insert("a"), insert("a"))
	succeeded := 0
	for _, err := range errs {
		if err == nil {
			succeeded++
		} else if !errors.Is(err, store.ErrConflict) {
			t.Error(err)
		}
	}
	if succeeded != 1 || !slices.Equal(under.sizes, []int{1}) {
		t.Errorf("%d succeeded in transactions of %v rows", succeeded, under.sizes)
	}
}

// TestCancel checks that a commit given up on before it was sent is never
// sent, and that one given up on later is unknown.
func TestCancel(t *testing.T) {
	under := newScripted()
	sent, release := make(chan struct{}), make(chan struct{})
	under.hook = func([]store.Op) error {
		close(sent)
		<-release
		return nil
	}
	table := New(under, Options{MaxWait: time.Hour, MaxOps: 2, Metrics: metrics.NewSet()})
	cancelled, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if err := table.Commit(cancelled, insert("early")); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("before sending: got %v", err)
	}
	ctx, cancelSent := context.WithCancel(context.Background())
	go func() {
		<-sent
		cancelSent()
	}()
	errs := make(chan error, 2)
	for _, key := range []string{"b", "c"} {
		go func() { errs <- table.Commit(ctx, insert(key)) }()
	}
	for range 2 {
		if err := <-errs; !errors.Is(err, store.ErrUnknown) {
			t.Errorf("after sending: got %v", err)
		}
	}
	close(release)
	table.Close()
	if _, err := under.Get(context.Background(), "runs", "early"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("abandoned commit was sent: %v", err)
	}
	if err := table.Commit(context.Background(), insert("d")); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("after Close: got %v", err)
	}
}

func TestQueueFull(t *testing.T) {
	table := New(newScripted(), Options{MaxWait: time.Hour, MaxOps: 10, MaxQueued: 1, Metrics: metrics.NewSet()})
	first := make(chan error, 1)
	go func() { first <- table.Commit(context.Background(), insert("a")) }()
	for queued := 0; queued == 0; {
		table.mu.Lock()
		queued = len(table.queue)
		table.mu.Unlock()
	}
	if err := table.Commit(context.Background(), insert("b")); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
	table.Close() // sends what waits
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// TestAgainstModel makes random concurrent inserts, some of the same rows, and
// checks that each row was inserted by exactly one caller who was told so.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfN(rapid.StringMatching(`[a-f]`), 1, 40).Draw(t, "keys")
		maxOps := rapid.IntRange(1, 8).Draw(t, "maxOps")
		under := newScripted()
		table := New(under, Options{MaxWait: 100 * time.Microsecond, MaxOps: maxOps, Metrics: metrics.NewSet()})
		var groups [][]store.Op
		for i, key := range keys {
			ops := insert(key)
			ops[0].Value = []byte{byte(i)}
			groups = append(groups, ops)
		}
		errs := commitAll(table, groups...)
		table.Close()
		owners := make(map[string]int)
		for i, err := range errs {
			if err != nil && !errors.Is(err, store.ErrConflict) {
				t.Fatal(err)
			}
			if err != nil {
				continue
			}
			if other, ok := owners[keys[i]]; ok {
				t.Fatalf("row %s went to %d and %d", keys[i], other, i)
			}
			owners[keys[i]] = i
		}
		for _, key := range keys {
			row, err := under.Get(context.Background(), "runs", key)
			owner, ok := owners[key]
			if err != nil || !ok || row.Value[0] != byte(owner) {
				t.Fatalf("row %s: %+v, %v; owner %d", key, row, err, owner)
			}
		}
	})
}

// TestSharedCheck: commits that check the same row at the same revision go in
// one transaction; one that expects another revision fails alone.
func TestSharedCheck(t *testing.T) {
	under := newScripted()
	revision, err := under.Store.CommitRevision(context.Background(), insert("epoch"))
	if err != nil {
		t.Fatal(err)
	}
	check := func(key string, revision uint64) []store.Op {
		return append(insert(key), store.Op{Kind: store.OpCheck, Table: "runs", Key: "epoch", Revision: revision})
	}
	table := gather(t, under, 6)
	errs := commitAll(table, check("a", revision), check("b", revision), check("c", revision))
	wantErrors(t, errs, nil, nil, nil)
	if !slices.Equal(under.sizes, []int{4}) {
		t.Errorf("transactions of %v rows, want one of 4", under.sizes)
	}
	table = New(under, Options{MaxWait: time.Millisecond, Metrics: metrics.NewSet()})
	defer table.Close()
	errs = commitAll(table, check("d", revision), check("e", revision+1), check("f", revision))
	wantErrors(t, errs, nil, store.ErrConflict, nil)
}

// TestWriteIsNotPassed checks that a write of a row that waits for a check in
// flight goes before checks that came later.
func TestWriteIsNotPassed(t *testing.T) {
	under := newScripted()
	epoch, err := under.Store.CommitRevision(context.Background(), insert("epoch"))
	if err != nil {
		t.Fatal(err)
	}
	claim := func(key string) []store.Op {
		return append(insert(key), store.Op{Kind: store.OpCheck, Table: "runs", Key: "epoch", Revision: epoch})
	}
	advance := []store.Op{{Kind: store.OpUpdate, Table: "runs", Key: "epoch", Revision: epoch}}
	started, release := make(chan struct{}, 8), make(chan struct{})
	under.hook = func([]store.Op) error {
		started <- struct{}{}
		<-release
		return nil
	}
	table := New(under, Options{MaxWait: time.Microsecond, MaxInFlight: 4, Metrics: metrics.NewSet()})
	defer table.Close()
	var wait sync.WaitGroup
	var firstErr, advanceErr, lastErr error
	wait.Go(func() { firstErr = table.Commit(context.Background(), claim("first")) })
	<-started
	wait.Go(func() { advanceErr = table.Commit(context.Background(), advance) })
	waitBlocked(table, 1)
	wait.Go(func() { lastErr = table.Commit(context.Background(), claim("last")) })
	waitBlocked(table, 2)
	close(release)
	wait.Wait()
	wantErrors(t, []error{firstErr, advanceErr, lastErr}, nil, nil, store.ErrConflict)
}

func waitBlocked(table *Table, n int) {
	for blocked := 0; blocked < n; time.Sleep(time.Millisecond) {
		table.mu.Lock()
		blocked = len(table.blocked)
		table.mu.Unlock()
	}
}
