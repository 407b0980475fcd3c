// Package service is a stand-in for a plain service (deploy, purge, dispatch,
// claim), to be embedded in tests, benches and the developer's fleet. A call
// takes a slot for a given time and answers with the mark of its body, its
// Idempotency-Key and how often that key has run. It fails on command.
package service

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/targets"
)

// PathCounts shows how often each Idempotency-Key has started.
const PathCounts = "/_counts"

// Defaults of Options.
const (
	DefaultSlots    = 4
	DefaultDuration = 20 * time.Millisecond
)

// Faults is the set of faults that can be put in force.
type Faults = host.Faults

// Options configure a Service. Zero values take the stated defaults.
type Options struct {
	// Name is the target's name in the journal.
	Name string
	// Slots is how many calls run at once. Default 4.
	Slots int
	// MaxQueued bounds the calls waiting for a slot; past it a call is refused
	// before running. Zero means no bound.
	MaxQueued int
	// Duration is how long a call runs if its query has no "millis". Default 20 ms.
	Duration time.Duration
}

// Answer is the body of every answer.
type Answer struct {
	// Mark is the mark of the request's body ("mark:XXXX"), or its hash.
	Mark string `json:"mark"`
	// Path is the request's path.
	Path string `json:"path"`
	// Key is the request's Idempotency-Key.
	Key string `json:"key,omitempty"`
	// Count is how often this target has started a call with the key.
	Count int `json:"count,omitempty"`
}

// Service is one stand-in plain service.
type Service struct {
	options Options
	host    *host.Host

	mu      sync.Mutex
	queue   []*call
	running map[*call]struct{}
	counts  map[string]int
}

// call is one request in the service. The service's lock guards it.
type call struct {
	entry  journal.Entry
	body   string
	faults host.Faults
	// started is closed when the call takes a slot.
	started chan struct{}
	// dropped is closed when the target crashes.
	dropped chan struct{}
	count   int
}

// New returns a service that is not yet listening.
func New(options Options) *Service {
	if options.Slots <= 0 {
		options.Slots = DefaultSlots
	}
	if options.Duration <= 0 {
		options.Duration = DefaultDuration
	}
	s := &Service{
		options: options,
		running: make(map[*call]struct{}),
		counts:  make(map[string]int),
	}
	s.host = host.New(options.Name, s)
	return s
}

// Start listens on address ("ip:port", port 0 picks one) and returns the
// address that it listens on.
func (s *Service) Start(address string) (string, error) { return s.host.Start(address) }

// Close cuts every connection and ends every call.
func (s *Service) Close() { s.host.Close() }

// Journal returns the record of what happened.
func (s *Service) Journal() *journal.Journal { return s.host.Journal }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) { s.host.SetFaults(f) }

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.host.Address() }

// CrashNow crashes the service as a poisoned request would.
func (s *Service) CrashNow() { s.host.Crash(s.host.Faults().Downtime()) }

// Counts returns how often each Idempotency-Key has started here. It outlives
// a crash, because what a call has done outlives it too.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.counts))
	for key, n := range s.counts {
		counts[key] = n
	}
	return counts
}

// Load implements host.Behaviour.
func (s *Service) Load() targets.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return targets.Load{Running: len(s.running), Queued: len(s.queue), Slots: s.options.Slots}
}

// Crash implements host.Behaviour: every call is dropped.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.queue {
		s.journalEnd(c, journal.NotRun)
		close(c.dropped)
	}
	for c := range s.running {
		s.journalEnd(c, journal.Crashed)
		close(c.dropped)
	}
	s.queue = nil
	clear(s.running)
}

// Serve implements host.Behaviour.
func (s *Service) Serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathCounts {
		host.WriteJSON(ctx, s.Counts())
		return
	}
	c := &call{
		entry:   s.host.Received(ctx),
		body:    string(ctx.PostBody()),
		faults:  s.host.TakeFaults(),
		started: make(chan struct{}),
		dropped: make(chan struct{}),
	}
	if c.faults.Refuse || !s.enqueue(c) {
		s.host.RefuseNotRun(ctx, c.entry)
		return
	}
	watch := host.NewWatch(ctx.Conn())
	defer watch.Stop()
	if !s.run(ctx, c, watch.Gone) {
		host.Abort(ctx)
		return
	}
	s.answer(ctx, c)
}

// run takes a slot for the call's time. It says whether the call came to its end.
func (s *Service) run(ctx *fasthttp.RequestCtx, c *call, gone <-chan struct{}) bool {
	select {
	case <-c.started:
	case <-gone:
		s.leave(c, journal.Cancelled)
		return false
	case <-c.dropped:
		return false
	}
	if s.host.Faults().Poisoned(c.body) {
		s.CrashNow()
		return false
	}
	timer := time.NewTimer(s.duration(ctx))
	defer timer.Stop()
	expired := timer.C
	if c.faults.Hang {
		expired = nil
	}
	select {
	case <-expired:
		return s.leave(c, journal.Answered)
	case <-gone:
		s.leave(c, journal.Cancelled)
		return false
	case <-c.dropped:
		return false
	}
}

// duration is the time that the call's query asks for.
func (s *Service) duration(ctx *fasthttp.RequestCtx) time.Duration {
	d := s.options.Duration
	if millis, err := ctx.QueryArgs().GetUint("millis"); err == nil {
		d = time.Duration(millis) * time.Millisecond
	}
	return s.host.Faults().Slow(d)
}

func (s *Service) answer(ctx *fasthttp.RequestCtx, c *call) {
	body, err := json.Marshal(Answer{
		Mark:  host.Mark(c.body),
		Path:  c.entry.Path,
		Key:   c.entry.IdempotencyKey,
		Count: c.count,
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	if limit := c.faults.BreakAfterTokens; limit > 0 {
		ctx.SetBodyStream(host.BrokenBody(body, limit), -1)
		return
	}
	ctx.SetBody(body)
}

// enqueue adds a call unless the queue is full.
func (s *Service) enqueue(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.running)+len(s.queue) >= s.options.Slots+s.options.MaxQueued
	if s.options.MaxQueued > 0 && full {
		return false
	}
	s.queue = append(s.queue, c)
	s.admit()
	return true
}

// admit starts waiting calls while slots are free. s.mu is held.
func (s *Service) admit() {
	for len(s.queue) > 0 && len(s.running) < s.options.Slots {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.start(c)
	}
}

func (s *Service) start(c *call) {
	s.running[c] = struct{}{}
	if key := c.entry.IdempotencyKey; key != "" {
		s.counts[key]++
		c.count = s.counts[key]
	}
	entry := c.entry
	entry.Event = journal.Started
	s.host.Journal.Add(entry)
	close(c.started)
}

// leave frees the call's slot or queue place. It says whether the call still
// had one.
func (s *Service) leave(c *call, outcome journal.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[c]; ok {
		delete(s.running, c)
		s.journalEnd(c, outcome)
		s.admit()
		return true
	}
	if at := slices.Index(s.queue, c); at >= 0 {
		s.queue = slices.Delete(s.queue, at, at+1)
		s.journalEnd(c, journal.NotRun)
		return true
	}
	return false
}

func (s *Service) journalEnd(c *call, outcome journal.Outcome) {
	entry := c.entry
	entry.Event = journal.Ended
	entry.Outcome = outcome
	s.host.Journal.Add(entry)
}
