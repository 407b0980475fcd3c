package events

import (
	"time"

	"github.com/walnutcove/walnutcove/wait"
)

const (
	// gatherFrom is the lag from which a router gathers events: below it, each is
	// handed on as it comes.
	gatherFrom = 5 * time.Millisecond
	// gatherLags is how long events are gathered, in lags, and mostGather the longest:
	// engines send an event each 10 to 40 ms, so a read and a write then serve several.
	gatherLags = 4
	mostGather = 100 * time.Millisecond
	// pausePart is the part of the pause that is still on time for callers which
	// gathering may use.
	pausePart = 4
)

// gather lets events come together on a router that runs late, before the next are
// read: what it saves serves requests that would be late, or refused, otherwise. The
// first event is never held, nor what was read already. A stream of 40 events 10 ms
// apart takes 5 reads in place of 40.
func (s *stream) gather() {
	if s.handedAt.IsZero() || s.ready > 0 || s.relay.Lag == nil {
		return
	}
	pause := gatherTime(s.relay.Lag(), time.Duration(s.ex.Route.PauseMillis)*time.Millisecond)
	if left := pause - time.Since(s.handedAt); left > 0 {
		wait.For(s.ctx, left)
	}
}

// gatherTime is how long a router that runs late gathers the events of a stream whose
// caller bears pauses of a length; zero: not told.
func gatherTime(lag, bears time.Duration) time.Duration {
	if lag < gatherFrom {
		return 0
	}
	most := mostGather
	if bears > 0 {
		most = min(most, bears/pausePart)
	}
	return min(most, gatherLags*lag)
}
