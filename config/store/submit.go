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
	// maxCommitAttempts limits how often one Submit sends the same insert.
	maxCommitAttempts = 4
	// commitRetryDelay is the delay before the first retry of an insert.
	commitRetryDelay = 25 * time.Millisecond
)

// Accepted is the outcome of a successful Submit.
type Accepted struct {
	// Entry is the history entry of the accepted version. Its Digest covers the
	// version's content.
	Entry config.Entry
	// Snapshot is the complete accepted version. It is nil if the patch was
	// accepted by an earlier Submit.
	Snapshot *config.Snapshot
}

// Submit accepts a patch as the next version. known is any version that the
// caller holds, usually the one in force; if nil, the newest is loaded.
//
// Submit is idempotent by patch id: for a patch that was accepted before it
// returns the same entry. Errors are *config.PatchError,
// *config.ValidationError, *config.VersionConflictError with the newest
// version, *CommitUnknownError, and otherwise platform errors, after which
// nothing was changed.
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
	newest, err := s.verifiedNewest(ctx, known)
	if err != nil {
		return Accepted{}, err
	}
	if patch.Base != newest.Version {
		return s.resolveTakenVersion(ctx, patch, newest.Version)
	}
	entry, next, err := config.NewEntry(newest, patch, s.options.Now())
	if err != nil {
		return Accepted{}, err
	}
	return s.commit(ctx, entry, next)
}

// verifiedNewest returns the newest version after comparing it with the stored
// digest: a version chained to a different history would be rejected by every
// router. If the known version is not part of the stored history, the newest
// version is loaded from the store instead.
func (s *Store) verifiedNewest(ctx context.Context, known *config.Snapshot) (*config.Snapshot, error) {
	if known != nil {
		newest, err := s.CatchUp(ctx, known)
		if err == nil {
			err = s.verifyStoredDigest(ctx, newest)
		}
		if err == nil || !isHistoryMismatch(err) {
			return newest, err
		}
		s.options.Log.Warn("config: Known version is not in the stored history, loading the newest.", "version", known.Version, "error", err)
	}
	newest, err := s.Load(ctx)
	if err != nil {
		return nil, err
	}
	return newest, s.verifyStoredDigest(ctx, newest)
}

// verifyStoredDigest compares a snapshot's digest with the one in the version's row.
func (s *Store) verifyStoredDigest(ctx context.Context, snapshot *config.Snapshot) error {
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

func isHistoryMismatch(err error) bool {
	var digest *config.DigestError
	var absent *UnknownVersionError
	return errors.As(err, &digest) || errors.As(err, &absent)
}

// commit inserts the entry. If the outcome is unknown, it reads the rows; if
// they do not exist, it sends the insert again, which is safe since the insert
// can succeed only once.
func (s *Store) commit(ctx context.Context, entry config.Entry, next *config.Snapshot) (Accepted, error) {
	ops, err := s.insertOps(ctx, entry)
	if err != nil {
		return Accepted{}, err
	}
	var lastErr error
	maybeWritten := false // an earlier attempt has an unknown outcome
	for attempt := 0; attempt < maxCommitAttempts && ctx.Err() == nil; attempt++ {
		lastErr = s.table.Commit(ctx, ops)
		if lastErr == nil {
			return s.acceptedHere(entry, next), nil
		}
		if isNotWritten(lastErr) && !maybeWritten {
			return Accepted{}, fmt.Errorf("config store: insert version %d: %w", entry.Version, lastErr)
		}
		maybeWritten = true
		accepted, resolved, err := s.readBack(ctx, entry, next)
		if resolved {
			return accepted, err
		}
		if err != nil {
			lastErr = err
		}
		if attempt+1 < maxCommitAttempts {
			commitRetries.Inc()
			waitBeforeRetry(ctx, attempt)
		}
	}
	return Accepted{}, &CommitUnknownError{PatchID: entry.Patch.ID, Cause: lastErr}
}

// acceptedHere returns the outcome of an insert made by this router, and starts
// storing a snapshot if one is due.
func (s *Store) acceptedHere(entry config.Entry, next *config.Snapshot) Accepted {
	s.saveSnapshotInBackground(next)
	return Accepted{Entry: entry, Snapshot: next}
}

// isNotWritten reports whether a failed commit certainly wrote nothing.
func isNotWritten(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrInvalid)
}

// waitBeforeRetry waits before an insert is sent again, twice as long each time.
func waitBeforeRetry(ctx context.Context, attempt int) {
	timer := time.NewTimer(commitRetryDelay << attempt)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readBack reads the outcome of an insert. The outcome is resolved, as the
// second result reports, if the patch id or the version is taken, by this patch
// or another.
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
		return s.acceptedHere(written, next), true, nil
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
	accepted, err := s.resolveTakenVersion(ctx, entry.Patch, entry.Version)
	var conflict *config.VersionConflictError
	return accepted, err == nil || errors.As(err, &conflict), err
}

// resolveTakenVersion returns the outcome of a patch whose version is taken. It
// looks up the patch id again: the same patch may have been accepted through
// another router since the last lookup.
func (s *Store) resolveTakenVersion(ctx context.Context, patch config.Patch, newest config.Version) (Accepted, error) {
	entry, found, err := s.findAccepted(ctx, patch)
	if err != nil {
		return Accepted{}, err
	}
	if found {
		return Accepted{Entry: entry}, nil
	}
	return Accepted{}, s.conflictError(ctx, patch, newest)
}

// findAccepted returns the entry that a patch id was accepted as, if any. The
// error is *config.PatchError if the id was accepted with other changes.
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

// conflictError builds the error for a patch that is not against the newest
// version. Details that cannot be read are omitted: the conflict itself is
// certain.
func (s *Store) conflictError(ctx context.Context, patch config.Patch, newest config.Version) error {
	conflict := &config.VersionConflictError{Base: patch.Base, Newest: newest}
	if winner, err := s.Entry(ctx, patch.Base+1); err == nil {
		conflict.WinnerPatchID = winner.Patch.ID
	}
	for {
		entries, err := s.Since(ctx, conflict.Newest)
		if err != nil || len(entries) == 0 {
			return conflict
		}
		conflict.Newest = entries[len(entries)-1].Version
	}
}

// RollbackRequest requests a new version with the content of an older one.
type RollbackRequest struct {
	// ID is a UUID that makes a resend idempotent.
	ID string
	// Base is the newest version that the operator has seen.
	Base config.Version
	// To is the version whose content is restored.
	To config.Version
	// Author and Note are recorded in the history.
	Author string
	Note   string
}

// Rollback submits the patch that turns version Base into the content of
// version To. The patch depends only on two immutable versions, so a repeated
// request submits the same patch. Errors are those of Submit and
// *UnknownVersionError.
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
