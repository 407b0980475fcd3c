package sched

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowNeverExceedsLimit makes load reports arbitrary: the grants held stay within
// the slots and MaxExtra.
func TestWindowNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 32).Draw(t, "slots")
		w := NewWindow(0, slots)
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0:
				w.Reported(now, rapid.IntRange(-5, 100).Draw(t, "running"), rapid.IntRange(-5, 100).Draw(t, "queued"), rapid.IntRange(-1, 100).Draw(t, "reported"))
			case 1:
				if w.Held() > 0 {
					service := time.Duration(rapid.IntRange(0, 2000).Draw(t, "service")) * time.Millisecond
					w.Ended(now, service, time.Duration(rapid.IntRange(-10, 500).Draw(t, "overhead"))*time.Millisecond)
				}
			default:
				if w.Free(now) > 0 {
					w.Granted(now)
				}
			}
			if w.Held() > slots+MaxExtra(slots) {
				t.Fatalf("%d grants for %d slots", w.Held(), slots)
			}
			if w.Held() == 0 && w.Free(now) == 0 {
				t.Fatalf("a target without grants gets none")
			}
		}
	})
}

func TestWindowLeavesRoomForAnotherScheduler(t *testing.T) {
	w := NewWindow(0, 4)
	w.Reported(time.Second, 3, 0, 4)
	if free := w.Free(time.Second); free != 1 {
		t.Errorf("%d free beside three foreign runs in four slots", free)
	}
	w.Adopted(time.Second)
	if free := w.Free(time.Second); free != 1 {
		t.Errorf("%d free after one of them was adopted", free)
	}
	if free := w.Free(time.Second + foreignTimeout); free != 3 {
		t.Errorf("%d free after the report expired", free)
	}
}

func TestWindowToleratesReportLag(t *testing.T) {
	w := NewWindow(0, 4)
	w.Reported(time.Second, 0, 0, 4)
	for range 4 {
		w.Granted(time.Second)
	}
	for range 4 {
		w.Ended(2*time.Second, time.Second, 0)
	}
	w.Reported(2100*time.Millisecond, 4, 0, 4) // sent before the runs ended
	if free := w.Free(2100 * time.Millisecond); free != 4 {
		t.Errorf("%d free after a late report", free)
	}
}

func TestWindowCoversTheRoundTrip(t *testing.T) {
	w := NewWindow(0, 8)
	w.Reported(time.Second, 0, 0, 8)
	for i := range 100 {
		now := time.Second + time.Duration(i)*time.Millisecond
		w.Granted(now)
		w.Ended(now, 20*time.Millisecond, 2*time.Millisecond)
	}
	if free := w.Free(2 * time.Second); free != 9 {
		t.Errorf("%d free for 8 slots with an overhead of a tenth of a run", free)
	}
}

func TestEstimateFollowsOutcomes(t *testing.T) {
	var e Estimate
	if got := e.Charge(0, time.Second); got != time.Second {
		t.Errorf("estimate %v before any outcome", got)
	}
	for range 100 {
		e.Learn(10*time.Millisecond, 2*time.Second)
	}
	if got := e.Charge(10*time.Millisecond, time.Second); got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Errorf("estimate %v from a hint that is always too low", got)
	}
	if got := e.Charge(time.Millisecond, time.Second); got < 400*time.Millisecond {
		t.Errorf("estimate %v from a hint far below the others", got)
	}
}
