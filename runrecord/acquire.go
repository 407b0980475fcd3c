package runrecord

import (
	"context"
	"errors"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
)

// maxClaimTries bounds the writes of one claim.
const maxClaimTries = 4

// errBreakerOpen is the cause of refusals made without asking the table.
var errBreakerOpen = errors.New("runrecord: table failed lately")

// Claim decides about a request: it may run under the returned claim, its
// stored answer is returned, or a *result.Error refuses it.
func (k *Keeper) Claim(ctx context.Context, request Request) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Timeout)
	defer cancel()
	key := RowKey(request.Workspace, request.IdempotencyKey)
	for {
		mine, other := k.reserve(key, request.Fingerprint)
		if mine != nil {
			return k.acquire(ctx, mine)
		}
		if other.waitFor == nil {
			return k.answerFrom(other.record, request.Fingerprint, true)
		}
		signal(k.hurry)
		select {
		case <-other.waitFor:
		case <-ctx.Done():
			return Decision{}, k.unavailable(ctx.Err())
		}
	}
}

// held is what this process already knows about a key.
type held struct {
	record Record
	// waitFor, if set, is closed when a claim that was given up here has been
	// written as such, so that the key can be claimed anew.
	waitFor <-chan struct{}
}

// reserve returns a new entry for the key, or what this process holds already.
func (k *Keeper) reserve(key string, fingerprint uint64) (*entry, held) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[key]; ok {
		known := held{record: e.record}
		if e.ended && e.record.State == StateNotRun && e.record.Fingerprint == fingerprint {
			known.waitFor = e.done
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
	return e, held{}
}

// acquire writes the claim of a reserved entry.
func (k *Keeper) acquire(ctx context.Context, e *entry) (Decision, error) {
	sentAt := k.options.Now()
	if !k.breaker.allow(sentAt) {
		k.abandon(e)
		return Decision{}, k.unavailable(errBreakerOpen)
	}
	found, err := k.writeClaim(ctx, e)
	if err != nil {
		k.breaker.failed(k.options.Now())
		k.abandon(e)
		return Decision{}, k.unavailable(err)
	}
	k.breaker.succeeded()
	if found != nil {
		k.abandon(e)
		return k.answerFrom(*found, e.record.Fingerprint, false)
	}
	k.metrics.claims.Inc()
	return Decision{Claim: &Claim{keeper: k, entry: e, sentAt: sentAt}}, nil
}

// abandon gives up a claim that was not won. If its insert may have taken
// effect, the writer ends it as not run; nothing was dispatched.
func (k *Keeper) abandon(e *entry) {
	if e.unresolved {
		k.metrics.claimRetries.Inc()
		k.end(e, StateNotRun, Outcome{Code: result.RecordUnavailable})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forget(e)
}

// writeClaim writes the claim. It returns another's record if one stands.
func (k *Keeper) writeClaim(ctx context.Context, e *entry) (*Record, error) {
	var replaced store.Row // the row that the claim replaces; zero: none
	var err error
	for range maxClaimTries {
		err = k.commitClaim(ctx, e, replaced.Revision)
		if err == nil {
			return nil, nil
		}
		if noEffect(err) && !errors.Is(err, store.ErrConflict) {
			return nil, err
		}
		row, record, readErr := k.readBack(ctx, e.key)
		if readErr != nil {
			return nil, readErr
		}
		if record != nil && record.Owner == e.record.Owner {
			e.won(row.Revision)
			return nil, nil
		}
		if row.Revision != replaced.Revision {
			e.unresolved = false // what was sent can no longer take effect
		}
		if record != nil && !reclaimable(*record, e.record.Fingerprint) {
			return record, nil
		}
		replaced = row
	}
	return nil, err
}

// commitClaim sends the claim once: an insert, or an update of the row of a
// request that surely did not run, which has the given revision.
func (k *Keeper) commitClaim(ctx context.Context, e *entry, replaces uint64) error {
	epoch, err := k.epoch.current(ctx, k.options.Table)
	if err != nil {
		return err
	}
	k.setEpoch(e, epoch.number)
	op := store.Op{Kind: store.OpInsert, Table: Table, Key: e.key, Value: e.record.encode()}
	if replaces != 0 {
		op.Kind = store.OpUpdate
		op.Revision = replaces
	}
	revision, err := commit(ctx, k.options.Table, []store.Op{op, epoch.check()})
	if err == nil {
		e.won(revision)
		return nil
	}
	if !noEffect(err) {
		e.unresolved = true
	}
	if errors.Is(err, store.ErrConflict) {
		k.epoch.forget()
	}
	return err
}

// setEpoch sets the epoch of a claim that others may be reading.
func (k *Keeper) setEpoch(e *entry, number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.record.Epoch = number
}

// noEffect says whether a failed commit surely wrote nothing. Errors that the
// platform does not define count as unknown.
func noEffect(err error) bool {
	return errors.Is(err, store.ErrConflict) ||
		errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrInvalid)
}

// readBack reads the row of the key. A nil record means that there is none.
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

// reclaimable says whether the request of a record may be run again: its owner
// gave the claim up, and the request is the same.
func reclaimable(record Record, fingerprint uint64) bool {
	return record.State == StateNotRun && record.Fingerprint == fingerprint
}

// answerFrom answers a request from a record, and never runs it. Local says
// that the record is held by this process.
func (k *Keeper) answerFrom(record Record, fingerprint uint64, local bool) (Decision, error) {
	if record.Fingerprint != fingerprint {
		return Decision{}, k.refuse(result.RecordMismatch, "The Idempotency-Key was used with a different request.")
	}
	switch record.State {
	case StateAnswered:
		return k.replay(record.Outcome)
	case StateClaimed:
		if local || k.ownerRuns(record.Owner) {
			return Decision{}, k.refuse(result.RecordInProgress, "A request with this Idempotency-Key is in progress.")
		}
		return Decision{}, k.refuse(result.RecordUnknown, "The router that ran the request is gone; the request may have run.")
	default:
		return Decision{}, k.refuse(result.RecordUnknown, "The run of the request broke off; it may have run.")
	}
}

// replay returns the stored answer, or says that it was not kept.
func (k *Keeper) replay(outcome *Outcome) (Decision, error) {
	if outcome != nil && !outcome.BodyOmitted {
		k.metrics.replays.Inc()
		return Decision{Replay: outcome}, nil
	}
	return Decision{}, k.refuse(result.RecordNotKept, "The request ran and was answered; the answer was not kept.")
}

// ownerRuns says whether the claim's owner may still be running the request.
func (k *Keeper) ownerRuns(owner Owner) bool {
	if owner.Node == k.options.Node && owner.Incarnation == k.options.Incarnation {
		return false // this process holds no such claim any more
	}
	return k.options.OwnerAlive(owner.Node, owner.Incarnation)
}

// unavailable refuses a request for which nothing was dispatched.
func (k *Keeper) unavailable(cause error) *result.Error {
	refusal := k.refuse(result.RecordUnavailable, "This sending was not run: the run record could not be written.")
	refusal.Cause = cause
	return refusal
}

// commit commits ops and returns the revision of the written rows, or zero if
// the table does not tell.
func commit(ctx context.Context, table store.Table, ops []store.Op) (uint64, error) {
	if revisions, ok := table.(store.RevisionTable); ok {
		return revisions.CommitRevision(ctx, ops)
	}
	return 0, table.Commit(ctx, ops)
}
