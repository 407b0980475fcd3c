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

// fullParts returns evidence of the maximum number of crashes, each with ten runs, of which one
// has the cause.
func fullParts() (*Parts, Instant) {
	p, now := NewParts(PartOptions{}), time.Minute
	for i := range uint64(p.options.MaxCrashes) {
		now += time.Second
		runs := [][]uint64{{1, 2}}
		for j := range uint64(9) {
			runs = append(runs, []uint64{1, 1000 + 9*i + j})
		}
		p.Crashed(now, now, i+1, runs)
	}
	return p, now
}

// BenchmarkPartsVerdict computes the verdict on requests of which one has no suspect, as nearly
// all, and one the cause.
func BenchmarkPartsVerdict(b *testing.B) {
	p, now := fullParts()
	for name, parts := range map[string][]uint64{"sound": {7, 8, 9}, "refused": {1, 2}} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				p.Verdict(now, parts)
			}
		})
	}
}

// BenchmarkPartsCrash adds a crash to full evidence.
func BenchmarkPartsCrash(b *testing.B) {
	p, now := fullParts()
	for i := uint64(1000); b.Loop(); i++ {
		now += time.Millisecond
		p.Crashed(now, now, i, [][]uint64{{1, 2}, {1, i}})
	}
}
