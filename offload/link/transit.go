package link

import "time"

// maxDrift is the difference in speed that two clocks may have.
const maxDrift = 100e-6

// maxMicros bounds received times against overflows.
const maxMicros = uint64(1000 * time.Hour / time.Microsecond)

func micros(n uint64) time.Duration { return time.Duration(min(n, maxMicros)) * time.Microsecond }

// transit measures how long requests are held up between the two sides: in the source's outbox, on
// the network and before the executor reads them. The shortest transit so far is that of a request
// that was not held up; its clocks need not agree. The zero value is ready for use.
type transit struct {
	known    bool
	shortest time.Duration // difference of the clocks at the shortest transit
	at       time.Duration // time of the last call
}

// delay returns how long a request was held up that was queued at a time on the source's clock and
// arrived at a time on the executor's.
func (t *transit) delay(arrived, queued time.Duration) time.Duration {
	took := arrived - queued
	t.shortest += time.Duration(float64(arrived-t.at) * maxDrift)
	t.at = arrived
	if !t.known || took < t.shortest {
		t.known = true
		t.shortest = took
	}
	return took - t.shortest
}
