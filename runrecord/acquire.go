package runrecord

import (
	"context"
	"errors"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
)

// maxClaimAttempts limits the writes of one claim.
const maxClaimAttempts = 4

// errBreakerOpen is the cause of refusals made without a call to the table.
var errBreakerOpen = errors.New("runrecord: circuit breaker open after failed claims")

// Claim decides what to do with a request: it returns a claim under which the
// request may run, or the stored answer, or a *result.Error that refuses the
// request.
func (k *Keeper) Claim(ctx context.Context, request Request) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Timeout)
	defer cancel()
	key := RowKey(request.Workspace, request.IdempotencyKey)
	for {
		reserved, known := k.reserve(key, request.Fingerprint)
		if reserved != nil {
			return k.acquire(ctx, reserved)
		}
		if known.released == nil {
			return k.decideFromRecord(known.record, request.Fingerprint, true)
		}
		notify(k.flushRequested)
		select {
		case <-known.released:
		case <-ctx.Done():
			return Decision{}, k.refuseUnavailable(ctx.Err())
		}
	}
}

// localRecord is what this process already knows about a key.
type localRecord struct {
	record Record
	// released, if set, is closed once the release of a claim that this process
	// gave up has been written to the table, so that the key can be claimed again.
	released <-chan struct{}
}

// reserve adds a new entry for the key and returns it, or returns what this
// process already knows about the key.
func (k *Keeper) reserve(key string, fingerprint uint64) (*entry, localRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[key]; ok {
		known := localRecord{record: e.record}
		if e.ended && e.record.State == StateNotRun && e.record.Fingerprint == fingerprint {
			known.released = e.done
		}
		return nil, known
	}
	e := &entry{
		key: key,
		record: Record{
			State:       StateClaimed,
			Owner:       Owner{Node: k.options.Node, Incarnation: k.options.Incarnation, Nonce: k.nonces.Add(1)},
			Fingerprint: fingerprint,
			ClaimedAt:   k.options.WallClock().UnixMilli(),
		},
		done: make(chan struct{}),
	}
	k.entries[key] = e
	return e, localRecord{}
}

// acquire writes the claim of a reserved entry.
func (k *Keeper) acquire(ctx context.Context, e *entry) (Decision, error) {
	sentAt := k.options.Now()
	if !k.breaker.allow(sentAt) {
		k.abandonClaim(e)
		return Decision{}, k.refuseUnavailable(errBreakerOpen)
	}
	found, err := k.writeClaim(ctx, e)
	if err != nil {
		k.breaker.recordFailure(k.options.Now())
		k.abandonClaim(e)
		return Decision{}, k.refuseUnavailable(err)
	}
	k.breaker.recordSuccess()
	if found != nil {
		k.abandonClaim(e)
		return k.decideFromRecord(*found, e.record.Fingerprint, false)
	}
	k.metrics.claims.Inc()
	return Decision{Claim: &Claim{keeper: k, entry: e, sentAt: sentAt}}, nil
}

// abandonClaim gives up a claim that was not acquired. If its write may have
// taken effect, the writer ends it as not run, since nothing was dispatched.
func (k *Keeper) abandonClaim(e *entry) {
	if e.unresolved {
		k.metrics.claimRetries.Inc()
		k.queueEnd(e, StateNotRun, Outcome{Code: result.RecordUnavailable})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeEntry(e)
}

// writeClaim writes the claim to the table. If the table holds another record
// that cannot be replaced, writeClaim returns that record.
func (k *Keeper) writeClaim(ctx context.Context, e *entry) (*Record, error) {
	var replaced store.Row // the row that the claim replaces; zero: none
	var err error
	for range maxClaimAttempts {
		err = k.commitClaim(ctx, e, replaced.Revision)
		if err == nil {
			return nil, nil
		}
		if hadNoEffect(err) && !errors.Is(err, store.ErrConflict) {
			return nil, err
		}
		row, record, readErr := k.readBack(ctx, e.key)
		if readErr != nil {
			return nil, readErr
		}
		if record != nil && record.Owner == e.record.Owner {
			e.claimWritten(row.Revision)
			return nil, nil
		}
		if row.Revision != replaced.Revision {
			e.unresolved = false // the row changed: earlier writes can no longer take effect
		}
		if record != nil && !isReclaimable(*record, e.record.Fingerprint) {
			return record, nil
		}
		replaced = row
	}
	return nil, err
}

// commitClaim sends the claim once: as an insert, or, if replacedRevision is not
// zero, as an update of the row with that revision, whose request certainly did
// not run.
func (k *Keeper) commitClaim(ctx context.Context, e *entry, replacedRevision uint64) error {
	epoch, err := k.epoch.current(ctx, k.options.Table)
	if err != nil {
		return err
	}
	k.setEpoch(e, epoch.number)
	op := store.Op{Kind: store.OpInsert, Table: Table, Key: e.key, Value: e.record.encode()}
	if replacedRevision != 0 {
		op.Kind = store.OpUpdate
		op.Revision = replacedRevision
	}
	revision, err := commitRevision(ctx, k.options.Table, []store.Op{op, epoch.checkOp()})
	if err == nil {
		e.claimWritten(revision)
		return nil
	}
	if !hadNoEffect(err) {
		e.unresolved = true
	}
	if errors.Is(err, store.ErrConflict) {
		k.epoch.invalidate()
	}
	return err
}

// setEpoch sets the epoch of a claim that other goroutines may be reading.
func (k *Keeper) setEpoch(e *entry, number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.record.Epoch = number
}

// hadNoEffect reports whether a failed commit certainly wrote nothing. For
// errors that the platform does not define, the outcome is unknown.
func hadNoEffect(err error) bool {
	return errors.Is(err, store.ErrConflict) ||
		errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrInvalid)
}

// readBack reads the row of the key. The record is nil if there is no row.
func (k *Keeper) readBack(ctx context.Context, key string) (store.Row, *Record, error) {
	row, err := k.options.Table.Get(ctx, Table, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{}, nil, nil
	}
	if err != nil {
		return store.Row{}, nil, err
	}
	record, err := decode(row.Value)
	if err != nil {
		return store.Row{}, nil, err
	}
	return row, &record, nil
}

// isReclaimable reports whether a record may be claimed again: its owner gave the
// claim up, and the request is the same.
func isReclaimable(record Record, fingerprint uint64) bool {
	return record.State == StateNotRun && record.Fingerprint == fingerprint
}

// decideFromRecord answers or refuses a request according to a record, and never
// lets it run. local means that the record is held by this process.
func (k *Keeper) decideFromRecord(record Record, fingerprint uint64, local bool) (Decision, error) {
	if record.Fingerprint != fingerprint {
		return Decision{}, k.refuse(result.RecordMismatch, "The Idempotency-Key was used with a different request.")
	}
	switch record.State {
	case StateAnswered:
		return k.replay(record.Outcome)
	case StateClaimed:
		if local || k.ownerMayBeRunning(record.Owner) {
			return Decision{}, k.refuse(result.RecordInProgress, "A request with this Idempotency-Key is in progress.")
		}
		return Decision{}, k.refuse(result.RecordUnknown, "The router that ran the request is gone; the request may have run.")
	default:
		return Decision{}, k.refuse(result.RecordUnknown, "The run of the request broke off; it may have run.")
	}
}

// replay returns the stored answer, or a refusal if it was not kept.
func (k *Keeper) replay(outcome *Outcome) (Decision, error) {
	if outcome != nil && !outcome.BodyOmitted {
		k.metrics.replays.Inc()
		return Decision{Replay: outcome}, nil
	}
	return Decision{}, k.refuse(result.RecordNotKept, "The request ran and was answered; the answer was not kept.")
}

// ownerMayBeRunning reports whether the claim's owner may still be running the request.
func (k *Keeper) ownerMayBeRunning(owner Owner) bool {
	if owner.Node == k.options.Node && owner.Incarnation == k.options.Incarnation {
		return false // this process no longer holds the claim
	}
	return k.options.OwnerAlive(owner.Node, owner.Incarnation)
}

// refuseUnavailable refuses a request, of which nothing was dispatched, because
// of a failure of the table.
func (k *Keeper) refuseUnavailable(cause error) *result.Error {
	refusal := k.refuse(result.RecordUnavailable, "This sending was not run: the run record could not be written.")
	refusal.Cause = cause
	return refusal
}

// commitRevision commits ops and returns the revision of the written rows, or
// zero if the table does not report it.
func commitRevision(ctx context.Context, table store.Table, ops []store.Op) (uint64, error) {
	if revisions, ok := table.(store.RevisionTable); ok {
		return revisions.CommitRevision(ctx, ops)
	}
	return 0, table.Commit(ctx, ops)
}
