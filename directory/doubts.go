package directory

import (
	"sync"
	"time"
)

// doubtEvery is the least time between two doubts, as each costs the calls for changes of
// both feeds. One that comes earlier takes effect then.
const doubtEvery = time.Second

// doubts tells the pollers that calls which wait may be lost. It is safe for concurrent
// use.
type doubts struct {
	mu sync.Mutex
	// raised is closed and replaced with each doubt.
	raised chan struct{}
	// last is when the last doubt took effect; pending says that one is to follow.
	last    time.Time
	pending bool
}

func newDoubts() *doubts { return &doubts{raised: make(chan struct{})} }

// next returns a channel that the next doubt closes.
func (d *doubts) next() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.raised
}

func (d *doubts) raise() {
	d.mu.Lock()
	defer d.mu.Unlock()
	early := doubtEvery - time.Since(d.last)
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
func (d *doubts) takeEffect() {
	doubtsRaised.Inc()
	d.last = time.Now()
	close(d.raised)
	d.raised = make(chan struct{})
}

// Doubt says that the platform may have lost the calls that wait for changes, as it was
// seen silent by another feed or router. They are given up and made anew. It is cheap to
// call often.
func (f *Follower) Doubt() { f.doubts.raise() }
