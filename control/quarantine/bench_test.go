package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// full returns a tracker that holds as many crashes as it may, each of another
// target with 16 fingerprints running, 8 of which run on every target.
func full() (*Tracker, Instant) {
	t := New(Options{})
	now := time.Minute
	for i := range uint64(t.options.MaxCrashes) {
		t.Crashed(now, fmt.Sprintf("target-%d", i), crashOf(i))
	}
	return t, now
}

func crashOf(i uint64) []uint64 {
	var running []uint64
	for j := range uint64(8) {
		running = append(running, j+1, 1000+8*i+j)
	}
	return running
}

// BenchmarkCrash adds a crash to a full tracker.
func BenchmarkCrash(b *testing.B) {
	t, now := full()
	for i := 0; b.Loop(); i++ {
		t.Crashed(now, fmt.Sprintf("more-%d", i), crashOf(uint64(i)))
	}
}

// BenchmarkCompleted notes runs to completion that no crash names, which is
// what happens for every request.
func BenchmarkCompleted(b *testing.B) {
	t, now := full()
	for i := 0; b.Loop(); i++ {
		t.Completed(now+time.Duration(i), 1<<40+uint64(i))
	}
}
