package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/store"
)

const (
	// maxCommitAttempts bounds how often one Submit sends the same insert.
	maxCommitAttempts = 4
	// commitRetryDelay is the wait before the insert is sent the second time.
	commitRetryDelay = 25 * time.Millisecond
)

// Accepted is the outcome of a successful Submit.
type Accepted struct {
	// Entry is the accepted version. Its Digest proves its content.
	Entry config.Entry
	// Snapshot is the accepted version in full. It is nil when the patch had
	// been accepted by an earlier Submit.
	Snapshot *config.Snapshot
}

// Submit accepts a patch as the next version. known is any version the caller
// holds, usually the one in force; nil loads the newest.
//
// Submit is idempotent on the patch id: a patch accepted before returns its
// entry again. Errors are *config.PatchError, *config.ValidationError,
// *config.VersionConflictError with the newest version, *CommitUnknownError,
// and otherwise platform errors with which nothing was changed.
func (s *Store) Submit(ctx context.Context, known *config.Snapshot, patch config.Patch) (Accepted, error) {
	patch, err := patch.Normalise()
	if err != nil {
		return Accepted{}, err
	}
	entry, found, err := s.findAccepted(ctx, patch)
	if err != nil {
		return Accepted{}, err
	}
	if found {
		return Accepted{Entry: entry}, nil
	}
	newest, err := s.newest(ctx, known)
	if err != nil {
		return Accepted{}, err
	}
	if patch.Base != newest.Version {
		return s.settleTaken(ctx, patch, newest.Version)
	}
	entry, next, err := config.NewEntry(newest, patch, s.options.Now())
	if err != nil {
		return Accepted{}, err
	}
	return s.commit(ctx, entry, next)
}

// newest returns the newest version, proved against the store's own digest: a
// version chained to another past would be refused by every router. A known
// version that is not of the store's past is given up for the store's own.
func (s *Store) newest(ctx context.Context, known *config.Snapshot) (*config.Snapshot, error) {
	if known != nil {
		newest, err := s.CatchUp(ctx, known)
		if err == nil {
			err = s.checkStored(ctx, newest)
		}
		if err == nil || !isDifferentPast(err) {
			return newest, err
		}
		s.options.Log.Warn("config: Version in force is not the store's.", "version", known.Version, "error", err)
	}
	newest, err := s.Load(ctx)
	if err != nil {
		return nil, err
	}
	return newest, s.checkStored(ctx, newest)
}

// checkStored compares a version's digest with the one in its row.
func (s *Store) checkStored(ctx context.Context, snapshot *config.Snapshot) error {
	if snapshot.Version == 0 {
		return nil
	}
	row, err := s.readRow(ctx, snapshot.Version)
	if err != nil {
		return err
	}
	decoded, err := parseRow(row)
	if err != nil {
		return err
	}
	if decoded.Digest != snapshot.Digest {
		return &config.DigestError{Version: snapshot.Version, Stated: decoded.Digest, Computed: snapshot.Digest}
	}
	return nil
}

func isDifferentPast(err error) bool {
	var digest *config.DigestError
	var absent *UnknownVersionError
	return errors.As(err, &digest) || errors.As(err, &absent)
}

// commit inserts the entry. A lost reply is followed by a read; if the row is
// not there the insert is sent again, which is safe: it can succeed only once.
func (s *Store) commit(ctx context.Context, entry config.Entry, next *config.Snapshot) (Accepted, error) {
	ops, err := s.insertOps(ctx, entry)
	if err != nil {
		return Accepted{}, err
	}
	var last error
	sent := false // an insert without a known outcome is on its way
	for attempt := 0; attempt < maxCommitAttempts && ctx.Err() == nil; attempt++ {
		last = s.table.Commit(ctx, ops)
		if last == nil {
			return s.accepted(entry, next), nil
		}
		if notWritten(last) && !sent {
			return Accepted{}, fmt.Errorf("config store: insert version %d: %w", entry.Version, last)
		}
		sent = true
		accepted, settled, err := s.readBack(ctx, entry, next)
		if settled {
			return accepted, err
		}
		if err != nil {
			last = err
		}
		if attempt+1 < maxCommitAttempts {
			commitRetries.Inc()
			pause(ctx, attempt)
		}
	}
	return Accepted{}, &CommitUnknownError{PatchID: entry.Patch.ID, Cause: last}
}

// accepted is the outcome of an insert that this router made itself.
func (s *Store) accepted(entry config.Entry, next *config.Snapshot) Accepted {
	s.snapshotInBackground(next)
	return Accepted{Entry: entry, Snapshot: next}
}

// notWritten says that a failed commit surely wrote nothing.
func notWritten(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrInvalid)
}

// pause waits before an insert is sent again, twice as long each time.
func pause(ctx context.Context, attempt int) {
	timer := time.NewTimer(commitRetryDelay << attempt)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readBack finds out what became of an insert. It is settled when the patch id
// or the version is taken, by this patch or another.
func (s *Store) readBack(ctx context.Context, entry config.Entry, next *config.Snapshot) (Accepted, bool, error) {
	written, found, err := s.findAccepted(ctx, entry.Patch)
	var reused *config.PatchError
	if errors.As(err, &reused) {
		return Accepted{}, true, err
	}
	if err != nil {
		return Accepted{}, false, err
	}
	if found && written.Digest == entry.Digest {
		return s.accepted(written, next), true, nil
	}
	if found {
		return Accepted{Entry: written}, true, nil
	}
	_, err = s.Entry(ctx, entry.Version)
	var absent *UnknownVersionError
	if errors.As(err, &absent) {
		return Accepted{}, false, nil
	}
	if err != nil {
		return Accepted{}, false, err
	}
	accepted, err := s.settleTaken(ctx, entry.Patch, entry.Version)
	var conflict *config.VersionConflictError
	return accepted, err == nil || errors.As(err, &conflict), err
}

// settleTaken answers a patch whose version is taken. It looks for the patch
// itself again: the same patch may have been accepted through another router
// since the last look.
func (s *Store) settleTaken(ctx context.Context, patch config.Patch, newest config.Version) (Accepted, error) {
	entry, found, err := s.findAccepted(ctx, patch)
	if err != nil {
		return Accepted{}, err
	}
	if found {
		return Accepted{Entry: entry}, nil
	}
	return Accepted{}, s.conflict(ctx, patch, newest)
}

// findAccepted returns the entry that a patch id was accepted under. The id of
// an accepted patch with other changes is refused with *config.PatchError.
func (s *Store) findAccepted(ctx context.Context, patch config.Patch) (config.Entry, bool, error) {
	version, found, err := s.patchVersion(ctx, patch.ID)
	if err != nil || !found {
		return config.Entry{}, false, err
	}
	entry, err := s.Entry(ctx, version)
	if err != nil {
		return config.Entry{}, false, err
	}
	if !entry.Patch.SameContent(patch) {
		reason := fmt.Sprintf("was used for version %d with other changes", version)
		return config.Entry{}, false, &config.PatchError{Path: "id", Reason: reason}
	}
	return entry, true, nil
}

// conflict builds the answer to a patch that is not against the newest
// version. What cannot be read is left out: the conflict itself is certain.
func (s *Store) conflict(ctx context.Context, patch config.Patch, newest config.Version) error {
	refusal := &config.VersionConflictError{Base: patch.Base, Newest: newest}
	if winner, err := s.Entry(ctx, patch.Base+1); err == nil {
		refusal.WinnerPatchID = winner.Patch.ID
	}
	for {
		entries, err := s.Since(ctx, refusal.Newest)
		if err != nil || len(entries) == 0 {
			return refusal
		}
		refusal.Newest = entries[len(entries)-1].Version
	}
}

// RollbackRequest asks for a new version with the content of an older one.
type RollbackRequest struct {
	// ID is a UUID that makes a resend idempotent.
	ID string
	// Base is the newest version that the operator has seen.
	Base config.Version
	// To is the version whose content comes back.
	To config.Version
	// Author and Note are kept in the history.
	Author string
	Note   string
}

// Rollback submits the patch that leads from version Base to the content of
// version To. The patch depends on two immutable versions only, so a resend
// submits the same one. Errors are those of Submit and *UnknownVersionError.
func (s *Store) Rollback(ctx context.Context, known *config.Snapshot, request RollbackRequest) (Accepted, error) {
	from, err := s.SnapshotAt(ctx, request.Base)
	if err != nil {
		return Accepted{}, err
	}
	to, err := s.SnapshotAt(ctx, request.To)
	if err != nil {
		return Accepted{}, err
	}
	changes, _, err := config.Diff(from.Declarations, to.Declarations)
	if err != nil {
		return Accepted{}, err
	}
	return s.Submit(ctx, known, config.Patch{
		ID:      request.ID,
		Base:    request.Base,
		Author:  request.Author,
		Note:    request.Note,
		Changes: changes,
	})
}
