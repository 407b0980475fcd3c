package store

import (
	"fmt"

	"github.com/walnutcove/walnutcove/config"
)

// UnknownVersionError reports that a version does not exist.
type UnknownVersionError struct{ Version config.Version }

// Error implements error.
func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("config store: version %d does not exist", e.Version)
}

// CommitUnknownError reports that a patch may or may not have been accepted.
// Resubmitting it with the same id is safe and returns the outcome.
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

// CorruptError reports that a row or object has invalid or unexpected content.
type CorruptError struct {
	// Key is the row's key or the object's name.
	Key    string
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("config store: %s: %s", e.Key, e.Reason)
}
