package store

import (
	"fmt"
	"unicode/utf8"
)

// The paths of the platform's HTTP protocol; see docs/PLATFORM.md.
const (
	PathRow     = "/v1/table/row"
	PathScan    = "/v1/table/scan"
	PathCommit  = "/v1/table/commit"
	PathObjects = "/v1/objects"
	PathVMs     = "/v1/vms"

	PathWeightsRate   = "/v1/weights/rate"
	PathWeightsFetch  = "/v1/weights/fetch"
	PathWeightsFinish = "/v1/weights/finish"
)

// Limits of the protocol. A call beyond them is answered with ErrInvalid.
const (
	// MaxNameBytes bounds the name of a table, a key or an object.
	MaxNameBytes = 512
	// MaxCommitOps bounds the operations of one commit.
	MaxCommitOps = 256
	// MaxValueBytes bounds the value of one row.
	MaxValueBytes = 1 << 20
	// MaxCommitBytes bounds the values of one commit together.
	MaxCommitBytes = 4 << 20
	// MaxObjectBytes bounds one object.
	MaxObjectBytes = 64 << 20
	// MaxScanRows and MaxScanBytes bound one page of a scan. A page holds at
	// least one row if there is one.
	MaxScanRows  = 1000
	MaxScanBytes = 4 << 20
)

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Ops []Op `json:"ops"`
}

// CommitReply answers a commit that was applied.
type CommitReply struct {
	// Revision is the revision given to every row written; never zero.
	Revision uint64 `json:"revision"`
}

// ScanReply answers a scan with one page.
type ScanReply struct {
	Rows []Row `json:"rows"`
	// More says that the page was cut short by the limits of the protocol.
	// The next page starts at the last key followed by a zero byte.
	More bool `json:"more,omitempty"`
}

// VMsReply answers a read of the list of VMs.
type VMsReply struct {
	VMs []VM `json:"vms"`
}

// ErrorCode names why the platform refused a call.
type ErrorCode string

// The error codes. Each says that the call was surely not applied.
const (
	CodeNotFound    ErrorCode = "not_found"
	CodeConflict    ErrorCode = "condition_failed"
	CodeUnavailable ErrorCode = "unavailable"
	CodeRateLimited ErrorCode = "rate_limited"
	CodeReadOnly    ErrorCode = "read_only"
	CodeInvalid     ErrorCode = "invalid"
)

// ErrorReply is the body of every answer that is not a success. An answer
// without it did not come from the platform itself and proves nothing.
type ErrorReply struct {
	Code   ErrorCode `json:"code"`
	Detail string    `json:"detail,omitempty"`
}

// CheckName returns ErrInvalid unless name can name a table, a key or an object.
func CheckName(what, name string) error {
	if name == "" {
		return fmt.Errorf("%w: %s is empty", ErrInvalid, what)
	}
	return CheckFrom(what, name)
}

// CheckFrom is CheckName for a value that may be empty, as the start of a scan.
func CheckFrom(what, name string) error {
	if len(name) > MaxNameBytes {
		return fmt.Errorf("%w: %s is over %d bytes", ErrInvalid, what, MaxNameBytes)
	}
	if !utf8.ValidString(name) {
		return fmt.Errorf("%w: %s is not valid UTF-8", ErrInvalid, what)
	}
	return nil
}

// CheckOps returns ErrInvalid unless ops can be committed.
func CheckOps(ops []Op) error {
	if len(ops) == 0 {
		return fmt.Errorf("%w: no operation", ErrInvalid)
	}
	if len(ops) > MaxCommitOps {
		return fmt.Errorf("%w: over %d operations", ErrInvalid, MaxCommitOps)
	}
	type rowName struct{ table, key string }
	seen := make(map[rowName]bool, len(ops))
	size := 0
	for _, op := range ops {
		if err := checkOp(op); err != nil {
			return err
		}
		if size += len(op.Value); size > MaxCommitBytes {
			return fmt.Errorf("%w: values are over %d bytes", ErrInvalid, MaxCommitBytes)
		}
		name := rowName{op.Table, op.Key}
		if seen[name] {
			return fmt.Errorf("%w: row %s/%s stands twice", ErrInvalid, op.Table, op.Key)
		}
		seen[name] = true
	}
	return nil
}

func checkOp(op Op) error {
	if err := CheckName("table", op.Table); err != nil {
		return err
	}
	if err := CheckName("key", op.Key); err != nil {
		return err
	}
	if len(op.Value) > MaxValueBytes {
		return fmt.Errorf("%w: value of %s/%s is over %d bytes", ErrInvalid, op.Table, op.Key, MaxValueBytes)
	}
	switch op.Kind {
	case OpInsert, OpCheck:
		return nil
	case OpUpdate, OpDelete:
		if op.Revision == 0 {
			return fmt.Errorf("%w: %s of %s/%s names no revision", ErrInvalid, op.Kind, op.Table, op.Key)
		}
		return nil
	default:
		return fmt.Errorf("%w: unknown operation %q", ErrInvalid, op.Kind)
	}
}
