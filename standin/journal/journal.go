// Package journal records what a stand-in target received, started and ended,
// so that tests can judge what routers and clients claim about a request.
package journal

import (
	"sync"
	"time"
)

// Event is what happened to a request.
type Event string

// The events.
const (
	// Received: the request arrived whole.
	Received Event = "received"
	// Started: the request took a slot and ran.
	Started Event = "started"
	// Resumed: a broken run took a slot again.
	Resumed Event = "resumed"
	// Ended: the request left, with an Outcome.
	Ended Event = "ended"
	// Order: an order was accepted or refused.
	Order Event = "order"
	// LoadStarted: an order made the target begin to load a model.
	LoadStarted Event = "load_started"
	// LoadEnded: the loading of a model ended, with an Outcome.
	LoadEnded Event = "load_ended"
)

// Outcome is how a request or an order ended.
type Outcome string

// The outcomes.
const (
	// Answered: the whole answer was handed to the connection.
	Answered Outcome = "answered"
	// NotRun: the request was refused, or left the queue, before it started.
	NotRun Outcome = "not_run"
	// Cancelled: the caller's connection closed during the run.
	Cancelled Outcome = "cancelled"
	// Crashed: the target crashed during the run.
	Crashed Outcome = "crashed"
	// Broken: a fault broke the answer off.
	Broken Outcome = "broken"
	// Accepted: the order was taken.
	Accepted Outcome = "accepted"
	// Fenced: the order carried an old fencing number.
	Fenced Outcome = "fenced"
	// Loaded: the model is loaded. Loading that did not come to that ends as
	// Cancelled or Crashed.
	Loaded Outcome = "loaded"
)

// Entry is one line of the journal.
type Entry struct {
	// Seq counts entries of this journal from 1.
	Seq uint64 `json:"seq"`
	// Mono is the time since the journal began, from a monotonic clock.
	Mono time.Duration `json:"mono_ns"`
	// Wall is the wall clock time.
	Wall time.Time `json:"wall"`
	// Target is the name of the stand-in.
	Target string `json:"target"`
	// Event is what happened.
	Event Event `json:"event"`
	// Run numbers the requests that this stand-in received, from 1. Entries of
	// one received request share it.
	Run uint64 `json:"run"`
	// RequestID and IdempotencyKey are as the request carried them.
	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Path is the request's path.
	Path string `json:"path,omitempty"`
	// Tokens counts the tokens generated so far.
	Tokens int `json:"tokens,omitempty"`
	// Outcome is set with Ended, Order and LoadEnded.
	Outcome Outcome `json:"outcome,omitempty"`
	// Fence is the fencing number, set with Order.
	Fence uint64 `json:"fence,omitempty"`
	// Model is the model to load, set with Order, LoadStarted and LoadEnded.
	Model string `json:"model,omitempty"`
	// Role is the role to take, set with Order.
	Role string `json:"role,omitempty"`
}

// Journal is an append-only list of entries in memory. It is safe for
// concurrent use.
type Journal struct {
	target string
	began  time.Time

	mu      sync.Mutex
	seq     uint64
	entries []Entry
	changed chan struct{}
}

// New returns an empty journal of the named stand-in.
func New(target string) *Journal {
	return &Journal{target: target, began: time.Now(), changed: make(chan struct{})}
}

// Add stamps an entry and appends it.
func (j *Journal) Add(e Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now() // under the lock, so that stamps rise with Seq
	j.seq++
	e.Seq = j.seq
	e.Mono = now.Sub(j.began)
	e.Wall = now
	e.Target = j.target
	j.entries = append(j.entries, e)
	close(j.changed)
	j.changed = make(chan struct{})
}

// Since returns a copy of the entries whose Seq is greater than seq.
func (j *Journal) Since(seq uint64) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	first := j.seq - uint64(len(j.entries)) + 1
	skip := 0
	if seq >= first {
		skip = int(min(seq-first+1, uint64(len(j.entries))))
	}
	return append([]Entry(nil), j.entries[skip:]...)
}

// Entries returns a copy of every entry kept.
func (j *Journal) Entries() []Entry { return j.Since(0) }

// Clear forgets the entries; Seq goes on.
func (j *Journal) Clear() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = nil
}

// Changed returns a channel that is closed at the next Add.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// Find returns the entries of a request id that have the event.
func (j *Journal) Find(requestID string, event Event) []Entry {
	var found []Entry
	for _, e := range j.Entries() {
		if e.RequestID == requestID && e.Event == event {
			found = append(found, e)
		}
	}
	return found
}

// StartsByKey counts the Started entries of each Idempotency-Key.
func (j *Journal) StartsByKey() map[string]int {
	counts := make(map[string]int)
	for _, e := range j.Entries() {
		if e.Event == Started && e.IdempotencyKey != "" {
			counts[e.IdempotencyKey]++
		}
	}
	return counts
}
