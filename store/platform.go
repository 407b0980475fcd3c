// Package store defines the interfaces of the platform's services: the
// transactional table, the object store, the list of VMs, which lags behind, and
// the rate-limited weight store. It also contains their HTTP clients; the
// protocol is described in docs/PLATFORM.md. All durable data is stored through
// this package.
package store

import (
	"context"
	"errors"
)

// Errors of all platform calls. Callers test for them with errors.Is.
var (
	// ErrNotFound: the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict: a condition of the transaction failed; nothing was written.
	ErrConflict = errors.New("platform: condition failed")
	// ErrUnavailable: the call did not take effect (refused, or never sent).
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown: the call may have taken effect; only a read can tell.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrInvalid: the call is malformed or exceeds a limit; nothing was written.
	ErrInvalid = errors.New("platform: invalid call")
)

// Row is one row of a table.
type Row struct {
	// Table and Key identify the row. Keys are ordered bytewise.
	Table string `json:"table"`
	Key   string `json:"key"`
	// Value is opaque to the platform.
	Value []byte `json:"value"`
	// Revision changes with every write to the row; it is never zero.
	Revision uint64 `json:"revision"`
}

// OpKind is the kind of an operation of a transaction.
type OpKind string

// The operations of a transaction.
const (
	// OpInsert writes a row that must not exist.
	OpInsert OpKind = "insert"
	// OpUpdate writes a row whose revision must equal Op.Revision.
	OpUpdate OpKind = "update"
	// OpDelete deletes a row whose revision must equal Op.Revision.
	OpDelete OpKind = "delete"
	// OpCheck requires that the row's revision equals Op.Revision (zero: absent).
	OpCheck OpKind = "check"
)

// Op is one operation of a transaction.
type Op struct {
	Kind     OpKind `json:"kind"`
	Table    string `json:"table"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get reads one row. The error is ErrNotFound if it does not exist.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan reads up to limit rows with key >= from, in key order.
	Scan(ctx context.Context, table, from string, limit int) ([]Row, error)
	// Commit applies all operations or none. ErrConflict does not identify the
	// row: callers read the rows to learn which condition failed. The error is
	// ErrUnknown if the reply was lost.
	Commit(ctx context.Context, ops []Op) error
}

// RevisionTable is a Table that also returns the revision that a commit gave to
// the rows it wrote, which saves a read before the next conditional write.
type RevisionTable interface {
	Table
	// CommitRevision is Commit that also returns the revision of the rows written
	// by the commit; it is the same for all of them.
	CommitRevision(ctx context.Context, ops []Op) (uint64, error)
}

// Objects is the object store.
type Objects interface {
	// Put writes a complete object.
	Put(ctx context.Context, name string, value []byte) error
	// Get reads a complete object. The error is ErrNotFound if it does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	// VMLive: the VM is running.
	VMLive VMState = "live"
	// VMLeaving: the VM is about to be stopped.
	VMLeaving VMState = "leaving"
)

// VM is one entry VM in the platform's list.
type VM struct {
	// Name is the VM's name; it matches node.name in its settings.
	Name string `json:"name"`
	// DataCentre is the data centre that the VM runs in.
	DataCentre string `json:"data_centre"`
	// PeerAddress is the "ip:port" at which other routers reach it.
	PeerAddress string `json:"peer_address"`
	// State is live or leaving.
	State VMState `json:"state"`
	// Cores is the number of processor cores of the VM; zero: not known.
	Cores float64 `json:"cores,omitempty"`
}

// VMList is the platform's list of VMs, which lags by seconds.
type VMList interface {
	// ListVMs returns the platform's current list.
	ListVMs(ctx context.Context) ([]VM, error)
}
