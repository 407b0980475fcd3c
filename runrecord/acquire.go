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
func (m *Manager) Claim(ctx context.Context, request Request) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	key := RowKey(request.Workspace, request.IdempotencyKey)
	for {
		reserved, local := m.reserve(key, request.Fingerprint)
		if reserved != nil {
			return m.acquire(ctx, reserved)
		}
		if local.released == nil {
			return m.decideFromRecord(local.record, request.Fingerprint, true)
		}
		notify(m.flushRequested)
		select {
		case <-local.released:
		case <-ctx.Done():
			return Decision{}, m.refuseUnavailable(ctx.Err())
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
func (m *Manager) reserve(key string, fingerprint uint64) (*entry, localRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[key]; ok {
		local := localRecord{record: e.record}
		if e.ended && e.record.State == StateNotRun && e.record.Fingerprint == fingerprint {
			local.released = e.done
		}
		return nil, local
	}
	e := &entry{
		key: key,
		record: Record{
			State:       StateClaimed,
			Owner:       Owner{Node: m.options.Node, Incarnation: m.options.Incarnation, Nonce: m.nonces.Add(1)},
			Fingerprint: fingerprint,
			ClaimedAt:   m.options.WallClock().UnixMilli(),
		},
		done: make(chan struct{}),
	}
	m.entries[key] = e
	return e, localRecord{}
}

// acquire writes the claim of a reserved entry.
func (m *Manager) acquire(ctx context.Context, e *entry) (Decision, error) {
	sentAt := m.options.Now()
	if !m.breaker.allow(sentAt) {
		m.abandonClaim(e)
		return Decision{}, m.refuseUnavailable(errBreakerOpen)
	}
	found, err := m.writeClaim(ctx, e)
	if err != nil {
		m.breaker.recordFailure(m.options.Now())
		m.abandonClaim(e)
		return Decision{}, m.refuseUnavailable(err)
	}
	m.breaker.recordSuccess()
	if found != nil {
		m.abandonClaim(e)
		return m.decideFromRecord(*found, e.record.Fingerprint, false)
	}
	m.metrics.claims.Inc()
	return Decision{Claim: &Claim{manager: m, entry: e, sentAt: sentAt}}, nil
}

// abandonClaim gives up a claim that was not acquired. If its write may have
// taken effect, the writer ends it as not run, since nothing was dispatched.
func (m *Manager) abandonClaim(e *entry) {
	if e.unresolved {
		m.metrics.claimRetries.Inc()
		m.queueEnd(e, StateNotRun, Outcome{Code: result.RecordUnavailable})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeEntry(e)
}

// writeClaim writes the claim to the table. If the table holds another record
// that cannot be replaced, writeClaim returns that record.
func (m *Manager) writeClaim(ctx context.Context, e *entry) (*Record, error) {
	var replaced store.Row // the row that the claim replaces; zero: none
	var err error
	for range maxClaimAttempts {
		err = m.commitClaim(ctx, e, replaced.Revision)
		if err == nil {
			return nil, nil
		}
		if hadNoEffect(err) && !errors.Is(err, store.ErrConflict) {
			return nil, err
		}
		row, record, readErr := m.readBack(ctx, e.key)
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
func (m *Manager) commitClaim(ctx context.Context, e *entry, replacedRevision uint64) error {
	epoch, err := m.epoch.current(ctx, m.options.Table)
	if err != nil {
		return err
	}
	m.setEpoch(e, epoch.number)
	op := store.Op{Kind: store.OpInsert, Table: Table, Key: e.key, Value: e.record.encode()}
	if replacedRevision != 0 {
		op.Kind = store.OpUpdate
		op.Revision = replacedRevision
	}
	revision, err := commitRevision(ctx, m.options.Table, []store.Op{op, epoch.checkOp()})
	if err == nil {
		e.claimWritten(revision)
		return nil
	}
	if !hadNoEffect(err) {
		e.unresolved = true
	}
	if errors.Is(err, store.ErrConflict) {
		m.epoch.invalidate()
	}
	return err
}

// setEpoch sets the epoch of a claim that other goroutines may be reading.
func (m *Manager) setEpoch(e *entry, number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
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
func (m *Manager) readBack(ctx context.Context, key string) (store.Row, *Record, error) {
	row, err := m.options.Table.Get(ctx, Table, key)
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
func (m *Manager) decideFromRecord(record Record, fingerprint uint64, local bool) (Decision, error) {
	if record.Fingerprint != fingerprint {
		return Decision{}, m.refuse(result.RecordMismatch, "The Idempotency-Key was used with a different request.")
	}
	switch record.State {
	case StateAnswered:
		return m.replay(record.Outcome)
	case StateClaimed:
		if local || m.ownerMayBeRunning(record.Owner) {
			return Decision{}, m.refuse(result.RecordInProgress, "A request with this Idempotency-Key is in progress.")
		}
		return Decision{}, m.refuse(result.RecordUnknown, "The router that ran the request is gone; the request may have run.")
	default:
		return Decision{}, m.refuse(result.RecordUnknown, "The run of the request broke off; it may have run.")
	}
}

// replay returns the stored answer, or a refusal if it was not kept.
func (m *Manager) replay(outcome *Outcome) (Decision, error) {
	if outcome != nil && !outcome.BodyOmitted {
		m.metrics.replays.Inc()
		return Decision{Replay: outcome}, nil
	}
	return Decision{}, m.refuse(result.RecordNotKept, "The request ran and was answered; the answer was not kept.")
}

// ownerMayBeRunning reports whether the claim's owner may still be running the request.
func (m *Manager) ownerMayBeRunning(owner Owner) bool {
	if owner.Node == m.options.Node && owner.Incarnation == m.options.Incarnation {
		return false // this process no longer holds the claim
	}
	return m.options.OwnerAlive(owner.Node, owner.Incarnation)
}

// refuseUnavailable refuses a request, of which nothing was dispatched, because
// of a failure of the table.
func (m *Manager) refuseUnavailable(cause error) *result.Error {
	refusal := m.refuse(result.RecordUnavailable, "This sending was not run: the run record could not be written.")
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
