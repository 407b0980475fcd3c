package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/store/memory"
)

func newStore(t *testing.T) (*Store, *memory.Store) {
	t.Helper()
	backing := memory.New(memory.Options{})
	s := New(backing, backing.Objects(), Options{SnapshotEvery: 10, PageSize: 4})
	t.Cleanup(s.Wait)
	return s, backing
}

func patch(base config.Version, changes string) config.Patch {
	return config.Patch{ID: config.NewPatchID(), Base: base, Changes: json.RawMessage(changes)}
}

// numberedPatch returns a patch that sets a share to the version's number, so
// that every version differs.
func numberedPatch(base config.Version) config.Patch {
	return patch(base, fmt.Sprintf(`{"workspaces": {"bakery": {"share": %d}}}`, base+1))
}

func submit(t *testing.T, s *Store, p config.Patch) Accepted {
	t.Helper()
	accepted, err := s.Submit(context.Background(), nil, p)
	if err != nil {
		t.Fatalf("submit on %d: %v", p.Base, err)
	}
	return accepted
}

func submitVersions(t *testing.T, s *Store, to config.Version) {
	t.Helper()
	for base := config.Version(0); base < to; base++ {
		submit(t, s, numberedPatch(base))
		s.Wait()
	}
}

func TestEmptyStoreIsVersionZero(t *testing.T) {
	s, _ := newStore(t)
	loaded, err := s.Load(context.Background())
	if err != nil || loaded.Version != 0 {
		t.Fatalf("version %v, error %v", loaded, err)
	}
}

func TestResubmittedIDReturnsTheSameVersion(t *testing.T) {
	s, _ := newStore(t)
	p := numberedPatch(0)
	first := submit(t, s, p)
	submit(t, s, numberedPatch(1))
	again := submit(t, s, p)
	p.Base = 2
	rebased := submit(t, s, p)
	if first.Entry.Version != 1 || again.Entry.Version != 1 || rebased.Entry.Version != 1 {
		t.Fatalf("versions %d, %d, %d", first.Entry.Version, again.Entry.Version, rebased.Entry.Version)
	}
	p.Changes = json.RawMessage(`{}`)
	var reused *config.PatchError
	if _, err := s.Submit(context.Background(), nil, p); !errors.As(err, &reused) {
		t.Fatalf("id reused for other changes: %v", err)
	}
}

func TestStaleBaseReportsWinnerAndNewest(t *testing.T) {
	s, _ := newStore(t)
	submitVersions(t, s, 1)
	winner := submit(t, s, numberedPatch(1))
	later := numberedPatch(2)
	submit(t, s, later)
	_, err := s.Submit(context.Background(), nil, numberedPatch(1))
	var conflict *config.VersionConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("error %v", err)
	}
	if conflict.Newest != 3 || conflict.WinnerPatchID != winner.Entry.Patch.ID {
		t.Fatalf("conflict %+v, winner %s", conflict, winner.Entry.Patch.ID)
	}
}

func TestSnapshotsHistoryAndRollback(t *testing.T) {
	s, _ := newStore(t)
	submitVersions(t, s, 25)
	if nearest, err := s.nearestSnapshotVersion(context.Background(), 19); err != nil || nearest != 10 {
		t.Fatalf("nearest snapshot to 19: %d, %v", nearest, err)
	}
	loaded, err := s.Load(context.Background())
	if err != nil || loaded.Version != 25 {
		t.Fatalf("loaded %v, %v", loaded, err)
	}
	old, err := s.SnapshotAt(context.Background(), 17)
	if err != nil || old.Declarations.Workspaces["bakery"].Share != 17 {
		t.Fatalf("version 17: %v, %v", old, err)
	}
	request := RollbackRequest{ID: config.NewPatchID(), Base: 25, To: 17, Author: "ada", Note: "too much"}
	rolledBack, err := s.Rollback(context.Background(), loaded, request)
	if err != nil || rolledBack.Entry.Version != 26 || rolledBack.Snapshot.Declarations.Workspaces["bakery"].Share != 17 {
		t.Fatalf("rollback %+v, %v", rolledBack, err)
	}
	again, err := s.Rollback(context.Background(), nil, request)
	if err != nil || again.Entry.Version != 26 {
		t.Fatalf("rollback sent again: %+v, %v", again, err)
	}
	entries, err := s.History(context.Background(), 24, 10)
	if err != nil || len(entries) != 3 || entries[2].Patch.Note != "too much" {
		t.Fatalf("history %v, %v", entries, err)
	}
	var unknown *UnknownVersionError
	if _, err := s.SnapshotAt(context.Background(), 99); !errors.As(err, &unknown) {
		t.Fatalf("version 99: %v", err)
	}
}
