package directory

import (
	"sync"
	"time"
)

// reprobeEvery is the least time between two reprobes, as each costs the calls for changes of
// both feeds. One that comes earlier takes effect then.
const reprobeEvery = time.Second

// reprobes tells the pollers that calls which wait may be lost. It is safe for concurrent
// use.
type reprobes struct {
	mu sync.Mutex
	// raised is closed and replaced with each reprobe.
	raised chan struct{}
	// last is when the last one took effect; pending says that one is to follow.
	last    time.Time
	pending bool
}

func newReprobes() *reprobes { return &reprobes{raised: make(chan struct{})} }

// next returns a channel that the next reprobe closes.
func (d *reprobes) next() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.raised
}

func (d *reprobes) raise() {
	d.mu.Lock()
	defer d.mu.Unlock()
	early := reprobeEvery - time.Since(d.last)
	if early <= 0 {
		d.takeEffect()
		return
	}
	if d.pending {
		return
	}
	d.pending = true
	time.AfterFunc(early, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.pending = false
		d.takeEffect()
	})
}

// takeEffect needs d.mu.
func (d *reprobes) takeEffect() {
	reprobesMade.Inc()
	d.last = time.Now()
	close(d.raised)
	d.raised = make(chan struct{})
}

// Reprobe says that the platform may have lost the calls that wait for changes, as it was
// seen silent by another feed or router. They are given up and made anew. It is cheap to
// call often.
func (f *Follower) Reprobe() { f.reprobes.raise() }
