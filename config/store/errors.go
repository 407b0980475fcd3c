package store

import (
	"fmt"

	"github.com/walnutcove/walnutcove/config"
)

// UnknownVersionError says that a version does not exist.
type UnknownVersionError struct{ Version config.Version }

// Error implements error.
func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("config store: version %d does not exist", e.Version)
}

// CommitUnknownError says that a patch may have been accepted. Sending it
// again under the same id is safe and finds out.
type CommitUnknownError struct {
	PatchID string
	// Cause is the last error of the platform.
	Cause error
}

// Error implements error.
func (e *CommitUnknownError) Error() string {
	return fmt.Sprintf("config store: outcome of patch %s unknown: %v", e.PatchID, e.Cause)
}

// Unwrap returns the last error of the platform.
func (e *CommitUnknownError) Unwrap() error { return e.Cause }

// CorruptError says that a row or object does not hold what it should.
type CorruptError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("config store: %s: %s", e.Key, e.Reason)
}
