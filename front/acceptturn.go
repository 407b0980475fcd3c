package front

import (
	"runtime"
	"time"
)

const (
	// maxAcceptShare is the largest part of the processor that refusing connections takes from the requests
	// that are served.
	maxAcceptShare = 0.75
	// minTurn and maxTurn bound the time for which connections are refused without a break.
	minTurn = 500 * time.Microsecond
	maxTurn = 20 * time.Millisecond
)

// acceptTurn divides the processor between the goroutine that refuses connections and all others. With turns of
// a fixed length, the more goroutines are ready to run the fewer connections it refuses, and callers wait
// seconds to be refused. So the length of a turn follows the time that the others had before it, such that
// refusals get maxAcceptShare of the processor if they need that much.
type acceptTurn struct {
	endsAt time.Time
}

// begin begins a turn after a time in which no connection was waiting.
func (t *acceptTurn) begin(now time.Time) {
	t.endsAt = now.Add(minTurn)
}

// isOver reports whether the turn has ended: the others are to run now.
func (t *acceptTurn) isOver(now time.Time) bool { return !now.Before(t.endsAt) }

// resume begins the next turn, after the others had the processor since a time.
func (t *acceptTurn) resume(now, since time.Time) {
	length := time.Duration(maxAcceptShare / (1 - maxAcceptShare) * float64(now.Sub(since)))
	t.endsAt = now.Add(min(max(length, minTurn), maxTurn))
}

// yield lets the other goroutines run if the turn is over.
func (t *acceptTurn) yield() {
	now := time.Now()
	if !t.isOver(now) {
		return
	}
	runtime.Gosched()
	t.resume(time.Now(), now)
}
