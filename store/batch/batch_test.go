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

// TestMain fails if a goroutine outlives the tests, except those of fasthttp that
// end by themselves a fixed time after the benchmarks: its clock, and the cleaners
// of idle workers and connections.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

// hookedTable is an in-memory table that calls a hook with each transaction before
// applying it. If the hook returns an error, the transaction fails with it.
type hookedTable struct {
	*memory.Store
	hook      func(ops []store.Op) error
	failReads bool

	mu               sync.Mutex
	transactionSizes []int // operations of each transaction
}

func (s *hookedTable) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	s.mu.Lock()
	s.transactionSizes = append(s.transactionSizes, len(ops))
	s.mu.Unlock()
	if s.hook != nil {
		if err := s.hook(ops); err != nil {
			return 0, err
		}
	}
	return s.Store.CommitRevision(ctx, ops)
}

func (s *hookedTable) Get(ctx context.Context, table, key string) (store.Row, error) {
	if s.failReads {
		return store.Row{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, table, key)
}

func newHookedTable() *hookedTable { return &hookedTable{Store: memory.New(memory.Options{})} }

// newGatheringTable returns a table that sends a transaction once n operations
// wait.
func newGatheringTable(t testing.TB, underlying store.RevisionTable, n int) *Table {
	table := New(underlying, Options{MaxWait: time.Hour, MaxOps: n, Metrics: metrics.NewSet()})
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

// commitAll commits each group in a goroutine of its own and returns the errors.
func commitAll(table store.Table, groups ...[]store.Op) []error {
	errs := make([]error, len(groups))
	var wg sync.WaitGroup
	for i, ops := range groups {
		wg.Go(func() { errs[i] = table.Commit(context.Background(), ops) })
	}
	wg.Wait()
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

func TestConcurrentCommitsShareATransaction(t *testing.T) {
	underlying := newHookedTable()
	table := newGatheringTable(t, underlying, 4)
	wantErrors(t, commitAll(table, insert("a"), insert("b"), insert("c"), insert("d")), nil, nil, nil, nil)
	if !slices.Equal(underlying.transactionSizes, []int{4}) {
		t.Errorf("transactions of %v rows, want one of 4", underlying.transactionSizes)
	}
}

func TestSingleCommitIsSent(t *testing.T) {
	table := New(newHookedTable(), Options{Metrics: metrics.NewSet()})
	defer table.Close()
	revision, err := table.CommitRevision(context.Background(), insert("a"))
	if row, getErr := table.Get(context.Background(), "runs", "a"); err != nil || getErr != nil || row.Revision != revision {
		t.Fatalf("revision %d, %v; row %+v, %v", revision, err, row, getErr)
	}
}

// TestConflictFailsOnlyItsCaller checks that a conflict fails only the commit that
// caused it, if the rows can be read back and if it has to be found by halving.
func TestConflictFailsOnlyItsCaller(t *testing.T) {
	for _, failReads := range []bool{false, true} {
		t.Run(fmt.Sprintf("failReads=%v", failReads), func(t *testing.T) {
			underlying := newHookedTable()
			if err := underlying.Store.Commit(context.Background(), insert("taken")); err != nil {
				t.Fatal(err)
			}
			underlying.failReads = failReads
			table := newGatheringTable(t, underlying, 5)
			errs := commitAll(table, insert("a"), insert("taken"), insert("b", "c"), insert("d"))
			wantErrors(t, errs, nil, store.ErrConflict, nil, nil)
			if rows, _ := underlying.Scan(context.Background(), "runs", "", 10); len(rows) != 5 {
				t.Errorf("rows %+v", rows)
			}
			if !failReads && !slices.Equal(underlying.transactionSizes, []int{5, 4}) {
				t.Errorf("transactions of %v rows", underlying.transactionSizes)
			}
		})
	}
}

// TestLargeConflictingTransactionIsHalved checks that not all rows of a large
// transaction are read back to find one conflict.
func TestLargeConflictingTransactionIsHalved(t *testing.T) {
	const n = maxGroupsReadBack + 8
	underlying := newHookedTable()
	if err := underlying.Store.Commit(context.Background(), insert("0")); err != nil {
		t.Fatal(err)
	}
	table := newGatheringTable(t, underlying, n)
	var groups [][]store.Op
	for i := range n {
		groups = append(groups, insert(fmt.Sprint(i)))
	}
	errs := commitAll(table, groups...)
	wantErrors(t, errs[:2], store.ErrConflict, nil)
	if failed := slices.DeleteFunc(errs, func(err error) bool { return err == nil }); len(failed) != 1 {
		t.Errorf("%d commits failed, want 1", len(failed))
	}
	slices.Sort(underlying.transactionSizes)
	if want := []int{n/2 - 1, n / 2, n / 2, n}; !slices.Equal(underlying.transactionSizes, want) {
		t.Errorf("transactions of %v rows, want %v", underlying.transactionSizes, want)
	}
	if got := table.counters.reads.Get(); got != n/2 {
		t.Errorf("%d rows read back, want %d", got, n/2)
	}
}

func TestInvalidFailsOnlyItsCaller(t *testing.T) {
	underlying := newHookedTable()
	underlying.hook = func(ops []store.Op) error {
		if slices.ContainsFunc(ops, func(op store.Op) bool { return op.Key == "bad" }) {
			return store.ErrInvalid
		}
		return nil
	}
	errs := commitAll(newGatheringTable(t, underlying, 3), insert("a"), insert("bad"), insert("b"))
	wantErrors(t, errs, nil, store.ErrInvalid, nil)
}

func TestFailureIsReturnedToAllCallers(t *testing.T) {
	for _, kind := range []error{store.ErrUnknown, store.ErrUnavailable} {
		underlying := newHookedTable()
		underlying.hook = func([]store.Op) error { return kind }
		wantErrors(t, commitAll(newGatheringTable(t, underlying, 3), insert("a"), insert("b"), insert("c")), kind, kind, kind)
		if len(underlying.transactionSizes) != 1 {
			t.Errorf("%v: sent %d times", kind, len(underlying.transactionSizes))
		}
	}
}

// TestConcurrentInsertsOfOneRow checks that one of several inserts of a row is
// sent, and that the others fail after a read, without transactions of their own.
func TestConcurrentInsertsOfOneRow(t *testing.T) {
	underlying := newHookedTable()
	table := New(underlying, Options{Metrics: metrics.NewSet()})
	defer table.Close()
	underlying.hook = func([]store.Op) error {
		waitForBlockedGroups(table, 2)
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
	if succeeded != 1 || !slices.Equal(underlying.transactionSizes, []int{1}) {
		t.Errorf("%d succeeded in transactions of %v rows", succeeded, underlying.transactionSizes)
	}
}

// TestCancel checks that a commit cancelled before it was sent is never sent, and
// that one cancelled later returns ErrUnknown.
func TestCancel(t *testing.T) {
	underlying := newHookedTable()
	sent, release := make(chan struct{}), make(chan struct{})
	underlying.hook = func([]store.Op) error {
		close(sent)
		<-release
		return nil
	}
	table := New(underlying, Options{MaxWait: time.Hour, MaxOps: 2, Metrics: metrics.NewSet()})
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
	if _, err := underlying.Get(context.Background(), "runs", "early"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("abandoned commit was sent: %v", err)
	}
	if err := table.Commit(context.Background(), insert("d")); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("after Close: got %v", err)
	}
}

func TestQueueFull(t *testing.T) {
	table := New(newHookedTable(), Options{MaxWait: time.Hour, MaxOps: 10, MaxQueued: 1, Metrics: metrics.NewSet()})
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
	table.Close() // sends the waiting commit
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// TestAgainstModel makes random concurrent inserts, some of the same rows, and
// checks that each row was inserted by exactly one caller, whose commit succeeded.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfN(rapid.StringMatching(`[a-f]`), 1, 40).Draw(t, "keys")
		maxOps := rapid.IntRange(1, 8).Draw(t, "maxOps")
		underlying := newHookedTable()
		table := New(underlying, Options{MaxWait: 100 * time.Microsecond, MaxOps: maxOps, Metrics: metrics.NewSet()})
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
				t.Fatalf("row %s was inserted by callers %d and %d", keys[i], other, i)
			}
			owners[keys[i]] = i
		}
		for _, key := range keys {
			row, err := underlying.Get(context.Background(), "runs", key)
			owner, ok := owners[key]
			if err != nil || !ok || row.Value[0] != byte(owner) {
				t.Fatalf("row %s: %+v, %v; owner %d", key, row, err, owner)
			}
		}
	})
}

// TestSharedCheckIsSentOnce checks that commits that check the same row at the same
// revision share a transaction, and that one that expects another revision fails
// alone.
func TestSharedCheckIsSentOnce(t *testing.T) {
	underlying := newHookedTable()
	revision, err := underlying.Store.CommitRevision(context.Background(), insert("epoch"))
	if err != nil {
		t.Fatal(err)
	}
	check := func(key string, revision uint64) []store.Op {
		return append(insert(key), store.Op{Kind: store.OpCheck, Table: "runs", Key: "epoch", Revision: revision})
	}
	table := newGatheringTable(t, underlying, 6)
	errs := commitAll(table, check("a", revision), check("b", revision), check("c", revision))
	wantErrors(t, errs, nil, nil, nil)
	if !slices.Equal(underlying.transactionSizes, []int{4}) {
		t.Errorf("transactions of %v rows, want one of 4", underlying.transactionSizes)
	}
	table = New(underlying, Options{MaxWait: time.Millisecond, Metrics: metrics.NewSet()})
	defer table.Close()
	errs = commitAll(table, check("d", revision), check("e", revision+1), check("f", revision))
	wantErrors(t, errs, nil, store.ErrConflict, nil)
}

// TestBlockedWriteIsNotOvertaken checks that a write of a row that waits for a check
// in flight is sent before checks that arrive later.
func TestBlockedWriteIsNotOvertaken(t *testing.T) {
	underlying := newHookedTable()
	epoch, err := underlying.Store.CommitRevision(context.Background(), insert("epoch"))
	if err != nil {
		t.Fatal(err)
	}
	claim := func(key string) []store.Op {
		return append(insert(key), store.Op{Kind: store.OpCheck, Table: "runs", Key: "epoch", Revision: epoch})
	}
	advance := []store.Op{{Kind: store.OpUpdate, Table: "runs", Key: "epoch", Revision: epoch}}
	started, release := make(chan struct{}, 8), make(chan struct{})
	underlying.hook = func([]store.Op) error {
		started <- struct{}{}
		<-release
		return nil
	}
	table := New(underlying, Options{MaxWait: time.Microsecond, MaxInFlight: 4, Metrics: metrics.NewSet()})
	defer table.Close()
	var wg sync.WaitGroup
	var firstErr, advanceErr, lastErr error
	wg.Go(func() { firstErr = table.Commit(context.Background(), claim("first")) })
	<-started
	wg.Go(func() { advanceErr = table.Commit(context.Background(), advance) })
	waitForBlockedGroups(table, 1)
	wg.Go(func() { lastErr = table.Commit(context.Background(), claim("last")) })
	waitForBlockedGroups(table, 2)
	close(release)
	wg.Wait()
	wantErrors(t, []error{firstErr, advanceErr, lastErr}, nil, nil, store.ErrConflict)
}

func waitForBlockedGroups(table *Table, n int) {
	for blocked := 0; blocked < n; time.Sleep(time.Millisecond) {
		table.mu.Lock()
		blocked = len(table.blocked)
		table.mu.Unlock()
	}
}
