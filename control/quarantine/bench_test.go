package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// fullTracker returns a tracker with the maximum number of crashes, each of a different
// target with 16 fingerprints running, 8 of which run on every target.
func fullTracker() (*Tracker, Instant) {
	t := New(Options{})
	now := time.Minute
	for i := range uint64(t.options.MaxCrashes) {
		t.Crashed(now, fmt.Sprintf("target-%d", i), runningAtCrash(i))
	}
	return t, now
}

func runningAtCrash(i uint64) []uint64 {
	var running []uint64
	for j := range uint64(8) {
		running = append(running, j+1, 1000+8*i+j)
	}
	return running
}

// BenchmarkCrash adds a crash to a full tracker.
func BenchmarkCrash(b *testing.B) {
	t, now := fullTracker()
	for i := 0; b.Loop(); i++ {
		t.Crashed(now, fmt.Sprintf("more-%d", i), runningAtCrash(uint64(i)))
	}
}

// BenchmarkCompleted records runs to completion of fingerprints that no crash contains,
// which is what happens for every request.
func BenchmarkCompleted(b *testing.B) {
	t, now := fullTracker()
	for i := 0; b.Loop(); i++ {
		t.Completed(now+time.Duration(i), 1<<40+uint64(i))
	}
}
