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

// Limits of the protocol. A call that exceeds them fails with ErrInvalid.
const (
	// MaxNameBytes limits the name of a table, a key or an object.
	MaxNameBytes = 512
	// MaxCommitOps limits the operations of one commit.
	MaxCommitOps = 256
	// MaxValueBytes limits the value of one row.
	MaxValueBytes = 1 << 20
	// MaxCommitBytes limits the total size of the values of one commit.
	MaxCommitBytes = 4 << 20
	// MaxObjectBytes limits one object.
	MaxObjectBytes = 64 << 20
	// MaxScanRows and MaxScanBytes limit one page of a scan. A page holds at
	// least one row if there is one.
	MaxScanRows  = 1000
	MaxScanBytes = 4 << 20
)

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Ops []Op `json:"ops"`
}

// CommitReply is the response to a commit that was applied.
type CommitReply struct {
	// Revision is the new revision of every row written; never zero.
	Revision uint64 `json:"revision"`
}

// ScanReply is the response to a scan: one page of rows.
type ScanReply struct {
	Rows []Row `json:"rows"`
	// More means that the page was truncated because of the protocol's limits.
	// The next page starts at the last key followed by a zero byte.
	More bool `json:"more,omitempty"`
}

// VMsReply is the response to a read of the list of VMs.
type VMsReply struct {
	VMs []VM `json:"vms"`
}

// ErrorCode identifies why the platform refused a call.
type ErrorCode string

// The error codes. Each of them means that the call was certainly not applied.
const (
	CodeNotFound    ErrorCode = "not_found"
	CodeConflict    ErrorCode = "condition_failed"
	CodeUnavailable ErrorCode = "unavailable"
	CodeRateLimited ErrorCode = "rate_limited"
	CodeReadOnly    ErrorCode = "read_only"
	CodeInvalid     ErrorCode = "invalid"
)

// ErrorReply is the body of every unsuccessful response. A response without it
// did not come from the platform itself, and the call may have been applied.
type ErrorReply struct {
	Code   ErrorCode `json:"code"`
	Detail string    `json:"detail,omitempty"`
}

// CheckName returns ErrInvalid unless name is a valid name of a table, a key or
// an object. what is the name's kind, for the error.
func CheckName(what, name string) error {
	if name == "" {
		return fmt.Errorf("%w: %s is empty", ErrInvalid, what)
	}
	return CheckOptionalName(what, name)
}

// CheckOptionalName is CheckName for a name that may be empty, such as the start
// key of a scan.
func CheckOptionalName(what, name string) error {
	if len(name) > MaxNameBytes {
		return fmt.Errorf("%w: %s is over %d bytes", ErrInvalid, what, MaxNameBytes)
	}
	if !utf8.ValidString(name) {
		return fmt.Errorf("%w: %s is not valid UTF-8", ErrInvalid, what)
	}
	return nil
}

// CheckOps returns ErrInvalid unless ops is a valid transaction.
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
