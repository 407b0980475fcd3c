// Package runrecord makes a non-idempotent request run at most once in the
// whole fleet. Before dispatch a router inserts a run record for the request's
// workspace and Idempotency-Key into the platform's table. Only the router that
// inserted the record may dispatch; every other sending of the same request is
// answered from the record.
//
// Safety does not rest on clocks: no router ever takes over a claim that was
// not given up by its owner, and an owner that gave a claim up cannot dispatch
// under it any more. docs/design/0005-run-records.md has the whole argument.
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

// rowKeyBytes is how much of the SHA-256 digest names a row.
const rowKeyBytes = 16

// State is the state of a run record.
type State string

// The states of a run record. A record starts as claimed. Only its owner moves
// it on, and only once; a not_run record may be claimed again by anyone.
const (
	// StateClaimed: the owner may dispatch, or has dispatched, the request.
	StateClaimed State = "claimed"
	// StateAnswered: the request ran and its answer was received whole.
	StateAnswered State = "answered"
	// StateNotRun: the owner gave the claim up; the request surely did not run.
	StateNotRun State = "not_run"
	// StateUnknown: the owner saw the run break off; the request may have run.
	StateUnknown State = "unknown"
)

// Owner identifies one claim. No two claims in the fleet have equal owners.
type Owner struct {
	// Node and Incarnation identify the claiming process.
	Node        control.NodeID      `json:"node"`
	Incarnation control.Incarnation `json:"incarnation"`
	// Nonce numbers the claims of the process, from 1.
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
	// ClaimedAt and EndedAt are wall clock stamps in Unix milliseconds. They
	// are for operators only; no decision reads them.
	ClaimedAt int64 `json:"claimed_at"`
	EndedAt   int64 `json:"ended_at,omitempty"`
	// Outcome is how the run ended. Nil while claimed.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is how a run ended, kept so that a resend gets the same answer.
type Outcome struct {
	// Code is result.OK for a whole answer, else the code of the failure.
	Code result.Code `json:"code"`
	// Status, Header and Body are the target's answer. Unset unless Code is OK.
	Status int               `json:"status,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// BodyOmitted says that the answer was over the size limit and not kept.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// bytes is the approximate size of the outcome in the table.
func (o *Outcome) bytes() int {
	size := len(o.Body)
	for name, value := range o.Header {
		size += len(name) + len(value)
	}
	return size
}

// bounded returns the outcome, without its header and body if these are
// together over limit bytes.
func (o Outcome) bounded(limit int) Outcome {
	if o.bytes() <= limit {
		return o
	}
	o.Header = nil
	o.Body = nil
	o.BodyOmitted = true
	return o
}

// RowKey returns the key of the record's row: a digest of the workspace and
// the Idempotency-Key, so that the store never sees the caller's key and the
// rows of one workspace are spread over the table.
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
		panic(fmt.Sprintf("runrecord: a record cannot be encoded: %v", err))
	}
	return value
}

// decode reads a row value.
func decode(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("runrecord: row cannot be read: %w", err)
	}
	return record, nil
}
