// Package wait holds the one pause that the rest of the product uses.
package wait

import (
	"context"
	"time"
)

// For waits for a time. It reports false if ctx ended first.
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
