package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// faultyTable lets a test replace the commits to TableVersions and the reads of
// a table. Calls pass through where the function is nil.
type faultyTable struct {
	store.Table
	commit func(ctx context.Context, ops []store.Op) error
	get    func(ctx context.Context, table, key string) (store.Row, error)
}

func (f *faultyTable) Commit(ctx context.Context, ops []store.Op) error {
	if f.commit != nil && ops[0].Table == TableVersions {
		return f.commit(ctx, ops)
	}
	return f.Table.Commit(ctx, ops)
}

func (f *faultyTable) Get(ctx context.Context, table, key string) (store.Row, error) {
	if f.get != nil {
		return f.get(ctx, table, key)
	}
	return f.Table.Get(ctx, table, key)
}

// newFaultyStore returns a store over a faulty table, that table, and a healthy
// store over the same backing table.
func newFaultyStore(t *testing.T) (*Store, *faultyTable, *Store) {
	t.Helper()
	healthy, backing := newStore(t)
	faulty := &faultyTable{Table: backing}
	s := New(faulty, backing.Objects(), Options{})
	t.Cleanup(s.Wait)
	return s, faulty, healthy
}

func newestVersion(t *testing.T, s *Store) config.Version {
	t.Helper()
	newest, err := s.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return newest.Version
}

func TestConcurrentSubmitsHaveOneWinner(t *testing.T) {
	s, _ := newStore(t)
	submitVersions(t, s, 3)
	const operators = 16
	var wg sync.WaitGroup
	patches := make([]config.Patch, operators)
	errs := make([]error, operators)
	for i := range operators {
		patches[i] = numberedPatch(3)
		wg.Go(func() { _, errs[i] = s.Submit(context.Background(), nil, patches[i]) })
	}
	wg.Wait()
	winner, err := s.Entry(context.Background(), 4)
	if err != nil {
		t.Fatal(err)
	}
	for i, err := range errs {
		if patches[i].ID == winner.Patch.ID {
			if err != nil {
				t.Errorf("the winner was refused: %v", err)
			}
			continue
		}
		var conflict *config.VersionConflictError
		if !errors.As(err, &conflict) || conflict.Newest != 4 || conflict.WinnerPatchID != winner.Patch.ID {
			t.Errorf("a losing patch got %v", err)
		}
	}
	if got := newestVersion(t, s); got != 4 {
		t.Fatalf("newest version %d", got)
	}
}

func TestPatchSubmittedConcurrentlyIsAcceptedOnce(t *testing.T) {
	s, _ := newStore(t)
	p := numberedPatch(0)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			accepted, err := s.Submit(context.Background(), nil, p)
			if err != nil || accepted.Entry.Version != 1 {
				t.Errorf("accepted %d, %v", accepted.Entry.Version, err)
			}
		})
	}
	wg.Wait()
	if got := newestVersion(t, s); got != 1 {
		t.Fatalf("newest version %d", got)
	}
}

// TestPatchAcceptedMeanwhileElsewhereIsNoConflict checks that a patch succeeds
// if another router accepts the same patch between this router's lookup of the
// patch id and its reading of the newest version.
func TestPatchAcceptedMeanwhileElsewhereIsNoConflict(t *testing.T) {
	s, faulty, healthy := newFaultyStore(t)
	p := numberedPatch(0)
	faulty.get = func(ctx context.Context, table, key string) (store.Row, error) {
		faulty.get = nil
		row, err := faulty.Table.Get(ctx, table, key)
		submit(t, healthy, p)
		return row, err
	}
	if accepted := submit(t, s, p); accepted.Entry.Version != 1 {
		t.Fatalf("accepted as %d", accepted.Entry.Version)
	}
}

func TestLostReply(t *testing.T) {
	type call func(ctx context.Context, ops []store.Op) error
	for name, fault := range map[string]func(pass call, calls int, ctx context.Context, ops []store.Op) error{
		"after the write": func(pass call, calls int, ctx context.Context, ops []store.Op) error {
			if err := pass(ctx, ops); err != nil {
				return err
			}
			return store.ErrUnknown
		},
		"before the write": func(pass call, calls int, ctx context.Context, ops []store.Op) error {
			if calls == 1 {
				return store.ErrUnknown
			}
			return pass(ctx, ops)
		},
		"write arrives between read back and second send": func(pass call, calls int, ctx context.Context, ops []store.Op) error {
			if calls == 1 {
				return store.ErrUnknown
			}
			if err := pass(ctx, ops); err != nil {
				return err
			}
			return pass(ctx, ops) // The second insert conflicts with the first.
		},
		"then refused, then written": func(pass call, calls int, ctx context.Context, ops []store.Op) error {
			switch calls {
			case 1:
				return store.ErrUnknown
			case 2:
				return store.ErrUnavailable
			default:
				return pass(ctx, ops)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, faulty, healthy := newFaultyStore(t)
			calls := 0
			faulty.commit = func(ctx context.Context, ops []store.Op) error {
				calls++
				return fault(faulty.Table.Commit, calls, ctx, ops)
			}
			accepted := submit(t, s, numberedPatch(0))
			if accepted.Entry.Version != 1 || accepted.Snapshot == nil || newestVersion(t, healthy) != 1 {
				t.Fatalf("accepted %d, newest version %d", accepted.Entry.Version, newestVersion(t, healthy))
			}
		})
	}
}

func TestLostReplyOfAConflictingPatch(t *testing.T) {
	s, faulty, healthy := newFaultyStore(t)
	winner := numberedPatch(0)
	faulty.commit = func(context.Context, []store.Op) error {
		submit(t, healthy, winner)
		submit(t, healthy, numberedPatch(1))
		return store.ErrUnknown
	}
	_, err := s.Submit(context.Background(), nil, numberedPatch(0))
	var conflict *config.VersionConflictError
	if !errors.As(err, &conflict) || conflict.WinnerPatchID != winner.ID || conflict.Newest != 2 {
		t.Fatalf("error %v", err)
	}
}

func TestOutageAfterLostReplyIsUnknownAndRetryable(t *testing.T) {
	s, faulty, healthy := newFaultyStore(t)
	faulty.commit = func(ctx context.Context, ops []store.Op) error {
		if err := faulty.Table.Commit(ctx, ops); err != nil {
			return err
		}
		faulty.commit = func(context.Context, []store.Op) error { return store.ErrUnavailable }
		faulty.get = func(context.Context, string, string) (store.Row, error) {
			return store.Row{}, store.ErrUnavailable
		}
		return store.ErrUnknown
	}
	p := numberedPatch(0)
	_, err := s.Submit(context.Background(), nil, p)
	var unknown *CommitUnknownError
	if !errors.As(err, &unknown) || unknown.PatchID != p.ID {
		t.Fatalf("error %v", err)
	}
	again := submit(t, healthy, p)
	if again.Entry.Version != 1 || newestVersion(t, healthy) != 1 {
		t.Fatalf("accepted again as %d, newest version %d", again.Entry.Version, newestVersion(t, healthy))
	}
}

func TestRefusedWriteChangesNothing(t *testing.T) {
	for _, refusal := range []error{store.ErrUnavailable, store.ErrInvalid} {
		s, faulty, healthy := newFaultyStore(t)
		faulty.commit = func(context.Context, []store.Op) error { return refusal }
		_, err := s.Submit(context.Background(), nil, numberedPatch(0))
		var unknown *CommitUnknownError
		if !errors.Is(err, refusal) || errors.As(err, &unknown) || newestVersion(t, healthy) != 0 {
			t.Fatalf("error %v, newest version %d", err, newestVersion(t, healthy))
		}
	}
}

func TestInvalidPatchIsNotWritten(t *testing.T) {
	s, _ := newStore(t)
	_, err := s.Submit(context.Background(), nil, patch(0, `{"workspaces": {"bakery": {"share": -1}}}`))
	var invalid *config.ValidationError
	if !errors.As(err, &invalid) || newestVersion(t, s) != 0 {
		t.Fatalf("error %v, newest version %d", err, newestVersion(t, s))
	}
}

// faultyObjects fails writes with putErr if set, and returns replaced content
// for the names in content.
type faultyObjects struct {
	store.Objects
	content map[string][]byte
	putErr  error
}

func (f *faultyObjects) Put(ctx context.Context, name string, value []byte) error {
	if f.putErr != nil {
		return f.putErr
	}
	return f.Objects.Put(ctx, name, value)
}

func (f *faultyObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if content, ok := f.content[name]; ok {
		return content, nil
	}
	return f.Objects.Get(ctx, name)
}

func TestDamagedSnapshotIsSkipped(t *testing.T) {
	s, backing := newStore(t)
	submitVersions(t, s, 23)
	damaged := &faultyObjects{Objects: backing.Objects(), content: map[string][]byte{snapshotName(20): []byte("{")}}
	reader := New(backing, damaged, Options{})
	if got := newestVersion(t, reader); got != 23 {
		t.Fatalf("newest version %d", got)
	}
	damaged.content[snapshotName(10)] = nil
	if got := newestVersion(t, reader); got != 23 {
		t.Fatalf("newest version %d without any snapshot", got)
	}
}

func TestSnapshotIsRetriedAfterAFailure(t *testing.T) {
	backing := memory.New(memory.Options{})
	objects := &faultyObjects{Objects: backing.Objects(), putErr: store.ErrUnavailable}
	s := New(backing, objects, Options{SnapshotEvery: 10})
	submitVersions(t, s, 10)
	objects.putErr = nil
	submit(t, s, numberedPatch(10))
	s.Wait()
	if got, err := s.nearestSnapshotVersion(context.Background(), 99); err != nil || got != 11 {
		t.Fatalf("newest snapshot %d, %v", got, err)
	}
}

// largeChanges declares enough workspaces to exceed MaxInlineBytes.
func largeChanges() json.RawMessage {
	var changes bytes.Buffer
	changes.WriteString(`{"workspaces":{`)
	for i := 0; changes.Len() <= MaxInlineBytes; i++ {
		fmt.Fprintf(&changes, `"w%05d":{"share":%d},`, i, i+1)
	}
	changes.WriteString(`"last":{}}}`)
	return changes.Bytes()
}

func TestLargeChangesAreKeptInTheObjectStore(t *testing.T) {
	s, backing := newStore(t)
	p := patch(0, string(largeChanges()))
	submit(t, s, p)
	row, err := backing.Get(context.Background(), TableVersions, versionKey(1))
	if err != nil || len(row.Value) > MaxInlineBytes {
		t.Fatalf("row of %d bytes, %v", len(row.Value), err)
	}
	if again := submit(t, s, p); again.Entry.Version != 1 {
		t.Fatalf("sent again: version %d", again.Entry.Version)
	}
	newest, err := s.Load(context.Background())
	if err != nil || newest.Version != 1 || len(newest.Declarations.Workspaces) < 1000 {
		t.Fatalf("loaded %v, %v", newest, err)
	}
}

func TestLargeChangesThatCannotBeWrittenChangeNothing(t *testing.T) {
	backing := memory.New(memory.Options{})
	objects := &faultyObjects{Objects: backing.Objects(), putErr: store.ErrUnknown}
	s := New(backing, objects, Options{})
	_, err := s.Submit(context.Background(), nil, patch(0, string(largeChanges())))
	if !errors.Is(err, store.ErrUnavailable) || newestVersion(t, s) != 0 {
		t.Fatalf("error %v, newest version %d", err, newestVersion(t, s))
	}
}

// TestSubmitWithForeignHistoryUsesTheStoredHistory checks that a router whose
// history differs from the store's does not chain a new version to its own
// history.
func TestSubmitWithForeignHistoryUsesTheStoredHistory(t *testing.T) {
	other, _ := newStore(t)
	submitVersions(t, other, 3)
	foreign, err := other.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, stored := range []config.Version{3, 4} { // with the same version number, and with a newer one
		s, _ := newStore(t)
		submitVersions(t, s, stored)
		accepted, err := s.Submit(context.Background(), foreign, numberedPatch(stored))
		if err != nil || accepted.Entry.Version != stored+1 {
			t.Fatalf("accepted %d, %v", accepted.Entry.Version, err)
		}
		if got := newestVersion(t, s); got != stored+1 {
			t.Fatalf("newest version %d", got)
		}
	}
	empty, _ := newStore(t)
	_, err = empty.Submit(context.Background(), foreign, numberedPatch(3))
	var conflict *config.VersionConflictError
	if !errors.As(err, &conflict) || conflict.Newest != 0 {
		t.Fatalf("on an emptied store: %v", err)
	}
}

func TestAlteredRowIsRefused(t *testing.T) {
	s, backing := newStore(t)
	submitVersions(t, s, 2)
	row, err := backing.Get(context.Background(), TableVersions, versionKey(2))
	if err != nil {
		t.Fatal(err)
	}
	update := func(old, next string) {
		t.Helper()
		row.Value = bytes.Replace(row.Value, []byte(old), []byte(next), 1)
		op := store.Op{Kind: store.OpUpdate, Table: row.Table, Key: row.Key, Value: row.Value, Revision: row.Revision}
		if err := backing.Commit(context.Background(), []store.Op{op}); err != nil {
			t.Fatal(err)
		}
		if row, err = backing.Get(context.Background(), row.Table, row.Key); err != nil {
			t.Fatal(err)
		}
	}
	update(`"share":2`, `"share":9`)
	var mismatch *config.DigestError
	if _, err := s.Load(context.Background()); !errors.As(err, &mismatch) {
		t.Fatalf("altered changes: %v", err)
	}
	update(`"version":2`, `"version":3`)
	var corrupt *CorruptError
	if _, err := s.Load(context.Background()); !errors.As(err, &corrupt) {
		t.Fatalf("altered number: %v", err)
	}
}
