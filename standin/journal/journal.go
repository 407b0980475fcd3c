// Package journal records which requests a stand-in target received, started and
// ended, so that tests can verify what routers and clients report about a request.
package journal

import (
	"sync"
	"time"
)

// Event is the kind of a journal entry.
type Event string

// The events.
const (
	// Received: the complete request arrived.
	Received Event = "received"
	// Started: the request got a slot and began to run.
	Started Event = "started"
	// Resumed: a run whose stream broke got a slot again.
	Resumed Event = "resumed"
	// Ended: the request left its slot or the queue, with an Outcome.
	Ended Event = "ended"
	// Order: an order was accepted or refused.
	Order Event = "order"
	// LoadStarted: the target began to load a model because of an order.
	LoadStarted Event = "load_started"
	// LoadEnded: the loading of a model ended, with an Outcome.
	LoadEnded Event = "load_ended"
)

// Outcome is how a request or an order ended.
type Outcome string

// The outcomes.
const (
	// Answered: the complete answer was passed to the connection.
	Answered Outcome = "answered"
	// NotRun: the request was refused or left the queue before it started.
	NotRun Outcome = "not_run"
	// Cancelled: the caller's connection closed during the run.
	Cancelled Outcome = "cancelled"
	// Crashed: the target crashed during the run.
	Crashed Outcome = "crashed"
	// Broken: an injected fault cut the answer short.
	Broken Outcome = "broken"
	// Accepted: the order was carried out.
	Accepted Outcome = "accepted"
	// Fenced: the order was refused because its fencing number was old.
	Fenced Outcome = "fenced"
	// Loaded: the model is loaded. Loading that did not finish ends as Cancelled
	// or Crashed.
	Loaded Outcome = "loaded"
)

// Entry is one entry of the journal.
type Entry struct {
	// Seq numbers the entries of this journal from 1.
	Seq uint64 `json:"seq"`
	// Mono is the time since the journal was created, from a monotonic clock.
	Mono time.Duration `json:"mono_ns"`
	// Wall is the wall clock time of the entry.
	Wall time.Time `json:"wall"`
	// Target is the name of the stand-in target.
	Target string `json:"target"`
	// Event is what happened.
	Event Event `json:"event"`
	// Run numbers the requests that this stand-in received, from 1. All entries of
	// one request have the same number.
	Run uint64 `json:"run"`
	// RequestID and IdempotencyKey are the values of the request's headers.
	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Path is the request's path.
	Path string `json:"path,omitempty"`
	// Tokens is the number of tokens generated so far.
	Tokens int `json:"tokens,omitempty"`
	// Outcome is set with Ended, Order and LoadEnded.
	Outcome Outcome `json:"outcome,omitempty"`
	// Fence is the fencing number, set with Order.
	Fence uint64 `json:"fence,omitempty"`
	// Model is the model to load or loaded, set with Order, LoadStarted and
	// LoadEnded.
	Model string `json:"model,omitempty"`
	// Role is the role that the target is to take, set with Order.
	Role string `json:"role,omitempty"`
}

// Journal is an append-only list of entries in memory. It is safe for
// concurrent use.
type Journal struct {
	target    string
	startedAt time.Time

	mu      sync.Mutex
	lastSeq uint64
	entries []Entry
	changed chan struct{}
}

// New returns an empty journal for the stand-in target of that name.
func New(target string) *Journal {
	return &Journal{target: target, startedAt: time.Now(), changed: make(chan struct{})}
}

// Add sets the entry's number, times and target, and appends it.
func (j *Journal) Add(e Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now() // under the lock, so that times are in the order of Seq
	j.lastSeq++
	e.Seq = j.lastSeq
	e.Mono = now.Sub(j.startedAt)
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
	first := j.lastSeq - uint64(len(j.entries)) + 1
	skip := 0
	if seq >= first {
		skip = int(min(seq-first+1, uint64(len(j.entries))))
	}
	return append([]Entry(nil), j.entries[skip:]...)
}

// Entries returns a copy of every entry kept.
func (j *Journal) Entries() []Entry { return j.Since(0) }

// Clear removes all entries. Seq is not reset.
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

// Find returns the entries of one event for the request with that id.
func (j *Journal) Find(requestID string, event Event) []Entry {
	var found []Entry
	for _, e := range j.Entries() {
		if e.RequestID == requestID && e.Event == event {
			found = append(found, e)
		}
	}
	return found
}

// StartsByKey returns the number of Started entries for each Idempotency-Key.
func (j *Journal) StartsByKey() map[string]int {
	counts := make(map[string]int)
	for _, e := range j.Entries() {
		if e.Event == Started && e.IdempotencyKey != "" {
			counts[e.IdempotencyKey]++
		}
	}
	return counts
}
