// Package store holds the interfaces to the platform's services: the
// transactional table, the object store, the lagging list of VMs, and the
// rate-limited weight store. The HTTP clients live here too; the protocol is
// described in docs/PLATFORM.md. Everything that must last goes through it.
package store

import (
	"context"
	"errors"
)

// Errors of every platform call. Callers test with errors.Is.
var (
	// ErrNotFound: the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict: a condition of the transaction failed; nothing was written.
	ErrConflict = errors.New("platform: condition failed")
	// ErrUnavailable: the call did not take effect (refused, or never sent).
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown: the call may have taken effect; read back to find out.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrInvalid: the call is malformed or over a limit; nothing was written.
	ErrInvalid = errors.New("platform: invalid call")
)

// Row is one row of a table.
type Row struct {
	// Table and Key identify the row. Keys sort bytewise.
	Table string `json:"table"`
	Key   string `json:"key"`
	// Value is opaque to the platform.
	Value []byte `json:"value"`
	// Revision changes with every write to the row; it is never zero.
	Revision uint64 `json:"revision"`
}

// OpKind is what an operation of a transaction does.
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
	// Get reads one row. ErrNotFound if it does not exist.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan reads up to limit rows with key >= from, in key order.
	Scan(ctx context.Context, table, from string, limit int) ([]Row, error)
	// Commit applies every operation or none. ErrConflict names no row: read
	// back to learn which condition failed. ErrUnknown if the reply was lost.
	Commit(ctx context.Context, ops []Op) error
}

// RevisionTable is a Table that also tells which revision a commit gave to the
// rows it wrote, which saves a read before the next conditional write.
type RevisionTable interface {
	Table
	// CommitRevision is Commit. Every row written by one commit gets the
	// returned revision.
	CommitRevision(ctx context.Context, ops []Op) (uint64, error)
}

// Objects is the object store.
type Objects interface {
	// Put writes an object whole.
	Put(ctx context.Context, name string, value []byte) error
	// Get reads an object whole. ErrNotFound if it does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	// VMLive: the VM runs.
	VMLive VMState = "live"
	// VMLeaving: the VM is about to be stopped.
	VMLeaving VMState = "leaving"
)

// VM is one entry VM in the platform's lagging list.
type VM struct {
	// Name is the VM's name; it matches node.name in its settings.
	Name string `json:"name"`
	// DataCentre is where the VM runs.
	DataCentre string `json:"data_centre"`
	// PeerAddress is the "ip:port" where other routers reach it.
	PeerAddress string `json:"peer_address"`
	// State is live or leaving.
	State VMState `json:"state"`
	// Cores is the processor that the VM has; zero: not known.
	Cores float64 `json:"cores,omitempty"`
}

// VMList is the platform's list of VMs. It lags by seconds.
type VMList interface {
	// ListVMs returns the list as the platform knows it.
	ListVMs(ctx context.Context) ([]VM, error)
}
