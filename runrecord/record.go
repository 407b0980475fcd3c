// Package runrecord ensures that a non-idempotent request runs at most once in
// the whole fleet. Before dispatch, a router inserts a run record for the
// request's workspace and Idempotency-Key into the platform's table. Only the
// router that inserted the record may dispatch the request; all other copies of
// the same request are answered from the record.
//
// Safety does not depend on clocks: no router ever takes over a claim that its
// owner has not given up, and an owner that gave a claim up can no longer
// dispatch under it. docs/design/0005-run-records.md gives the full argument.
package runrecord

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/result"
)

// Table is the name of the platform table that holds the run records.
const Table = "run_records"

// rowKeyBytes is the number of bytes of the SHA-256 digest that form a row key.
const rowKeyBytes = 16

// State is the state of a run record.
type State string

// The states of a run record. A record starts as claimed. Only its owner changes
// that state, and only once; a not_run record may be claimed again by any router.
const (
	// StateClaimed: the owner may dispatch, or has dispatched, the request.
	StateClaimed State = "claimed"
	// StateAnswered: the request ran and its answer was received completely.
	StateAnswered State = "answered"
	// StateNotRun: the owner gave the claim up; the request certainly did not run.
	StateNotRun State = "not_run"
	// StateUnknown: the owner's attempt was interrupted; the request may have run.
	StateUnknown State = "unknown"
)

// Owner identifies one claim, uniquely in the fleet.
type Owner struct {
	// Node and Incarnation identify the claiming process.
	Node        control.NodeID      `json:"node"`
	Incarnation control.Incarnation `json:"incarnation"`
	// Nonce is the claim's number within the process, counted from 1.
	Nonce uint64 `json:"nonce"`
}

// Record is the value of one row of the table.
type Record struct {
	State State `json:"state"`
	Owner Owner `json:"owner"`
	// Fingerprint is the hash of the claimed request.
	Fingerprint uint64 `json:"fingerprint"`
	// Epoch is the retention epoch in which the record was claimed.
	Epoch uint64 `json:"epoch"`
	// ClaimedAt and EndedAt are wall clock times in Unix milliseconds. They are
	// for operators only; no decision depends on them.
	ClaimedAt int64 `json:"claimed_at"`
	EndedAt   int64 `json:"ended_at,omitempty"`
	// Outcome is the outcome of the run. Nil while claimed.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the outcome of a run, stored so that a resend gets the same answer.
type Outcome struct {
	// Code is result.OK for a complete answer, else the code of the failure.
	Code result.Code `json:"code"`
	// Status, Header and Body are the target's answer, set only if Code is OK.
	Status int               `json:"status,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// BodyOmitted means that the answer exceeded the size limit and was not stored.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// size returns the approximate size of the outcome in the table, in bytes.
func (o *Outcome) size() int {
	total := len(o.Body)
	for name, value := range o.Header {
		total += len(name) + len(value)
	}
	return total
}

// limitedTo returns the outcome, without its header and body if these together
// exceed limit bytes.
func (o Outcome) limitedTo(limit int) Outcome {
	if o.size() <= limit {
		return o
	}
	o.Header = nil
	o.Body = nil
	o.BodyOmitted = true
	return o
}

// RowKey returns the key of a record's row: a digest of the workspace and the
// Idempotency-Key, so that the store never receives the caller's key and the
// rows of one workspace are distributed over the table.
func RowKey(workspace, idempotencyKey string) string {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(workspace)))
	hash := sha256.New()
	hash.Write(length[:])
	hash.Write([]byte(workspace))
	hash.Write([]byte(idempotencyKey))
	return hex.EncodeToString(hash.Sum(nil)[:rowKeyBytes])
}

// encode returns the row value of r.
func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("runrecord: encode record: %v", err))
	}
	return value
}

// decode decodes a row value.
func decode(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("runrecord: decode record: %w", err)
	}
	return record, nil
}
