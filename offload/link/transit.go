package link

import "time"

// maxDrift is the difference in speed that two clocks may have.
const maxDrift = 100e-6

// transitWindow is the time after which the shortest transit is measured anew.
const transitWindow = 10 * time.Second

// maxMicros bounds received times against overflows.
const maxMicros = uint64(1000 * time.Hour / time.Microsecond)

func micros(n uint64) time.Duration { return time.Duration(min(n, maxMicros)) * time.Microsecond }

// transit measures how long requests are held up between the two sides: in the source's outbox, on
// the network and before the executor reads them. The shortest transit of the last one to two windows
// is that of a request that was not held up; its clocks need not agree. An earlier one does not count:
// the clock of a VM that was frozen may have stood still. The zero value is ready for use.
type transit struct {
	known bool
	// previous and current are the shortest differences of the clocks in the window before and in
	// the one that began at began.
	previous, current time.Duration
	began             time.Duration
	at                time.Duration // time of the last call
}

// delay returns how long a request was held up that was queued at a time on the source's clock and
// arrived at a time on the executor's.
func (t *transit) delay(arrived, queued time.Duration) time.Duration {
	took := arrived - queued
	drift := time.Duration(float64(arrived-t.at) * maxDrift)
	t.previous += drift
	t.current += drift
	t.at = arrived
	switch {
	case !t.known:
		t.known = true
		t.previous, t.current, t.began = took, took, arrived
	case arrived-t.began >= transitWindow:
		t.previous, t.current, t.began = t.current, took, arrived
	default:
		t.current = min(t.current, took)
	}
	return took - min(t.previous, t.current)
}
