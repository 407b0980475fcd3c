package directory

import (
	"sync"
	"time"
)

// minReprobeInterval is the minimum time between two reprobes, because each reissues the calls
// for changes of both feeds. A request that comes earlier takes effect once the interval has
// passed.
const minReprobeInterval = time.Second

// reprobes notifies the pollers that their waiting calls may be lost. It is safe for concurrent
// use.
type reprobes struct {
	mu sync.Mutex
	// signal is closed and replaced with each reprobe.
	signal chan struct{}
	// last is when the last reprobe took effect; pending reports whether another one is
	// scheduled.
	last    time.Time
	pending bool
}

func newReprobes() *reprobes { return &reprobes{signal: make(chan struct{})} }

// next returns a channel that the next reprobe closes.
func (r *reprobes) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.signal
}

// request makes a reprobe take effect now or, if the last one was less than minReprobeInterval
// ago, once that has passed.
func (r *reprobes) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := minReprobeInterval - time.Since(r.last)
	if delay <= 0 {
		r.fire()
		return
	}
	if r.pending {
		return
	}
	r.pending = true
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pending = false
		r.fire()
	})
}

// fire notifies the pollers. r.mu must be held.
func (r *reprobes) fire() {
	reprobesMade.Inc()
	r.last = time.Now()
	close(r.signal)
	r.signal = make(chan struct{})
}

// Reprobe reports that the platform may have lost the calls that wait for changes, because
// another feed or router found it silent. The calls are abandoned and reissued. Reprobe is
// cheap to call often.
func (f *Follower) Reprobe() { f.reprobes.request() }
