// Package wait provides the one wait that all other packages use. It ends early when its
// context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
