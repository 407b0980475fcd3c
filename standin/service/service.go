// Package service is a stand-in for a plain service (deploy, purge, dispatch,
// claim), for use in tests, benchmarks and the developer fleet. A call occupies a
// slot for a given time; its answer contains the mark of its body, its
// Idempotency-Key and how often a call with that key has started. The service
// injects faults on request.
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

// PathCounts is the path that returns how often calls with each Idempotency-Key
// have started.
const PathCounts = "/_counts"

// Defaults of Options.
const (
	DefaultSlots    = 4
	DefaultDuration = 20 * time.Millisecond
)

// Faults is the set of faults that the service can inject.
type Faults = host.Faults

// Options configure a Service. Zero values stand for the stated defaults.
type Options struct {
	// Name is the service's name in the journal.
	Name string
	// Slots is the maximum number of calls that run at once. Default 4.
	Slots int
	// MaxQueued is the maximum number of calls that wait for a slot. Further calls
	// are refused without running. Zero means no limit.
	MaxQueued int
	// Duration is how long a call runs if its query has no "millis" parameter.
	// Default 20 ms.
	Duration time.Duration
}

// Answer is the JSON body of every answer.
type Answer struct {
	// Mark is the mark of the request's body ("mark:XXXX"), or its hash.
	Mark string `json:"mark"`
	// Path is the request's path.
	Path string `json:"path"`
	// Key is the request's Idempotency-Key.
	Key string `json:"key,omitempty"`
	// Count is how often this service has started a call with the key.
	Count int `json:"count,omitempty"`
}

// Service is one stand-in plain service.
type Service struct {
	options Options
	host    *host.Host

	mu          sync.Mutex
	queue       []*call
	running     map[*call]struct{}
	startsByKey map[string]int
}

// call is one request in the service. Service.mu guards it.
type call struct {
	entry  journal.Entry
	body   string
	faults host.Faults
	// started is closed when the call takes a slot.
	started chan struct{}
	// crashed is closed when the service crashes.
	crashed chan struct{}
	// keyCount is how often calls with this call's key had started, this one
	// included.
	keyCount int
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
		options:     options,
		running:     make(map[*call]struct{}),
		startsByKey: make(map[string]int),
	}
	s.host = host.New(options.Name, s)
	return s
}

// Start listens on address ("ip:port"; port 0 picks a free one) and returns the
// address that it listens on.
func (s *Service) Start(address string) (string, error) { return s.host.Start(address) }

// Close resets every connection and ends every call.
func (s *Service) Close() { s.host.Close() }

// Journal returns the journal of the service's calls.
func (s *Service) Journal() *journal.Journal { return s.host.Journal }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) { s.host.SetFaults(f) }

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.host.Address() }

// CrashNow crashes the service as a request with Faults.Poison does.
func (s *Service) CrashNow() { s.host.Crash(s.host.Faults().Downtime()) }

// Counts returns how often calls with each Idempotency-Key have started. A crash
// does not reset the counts, because the effects of a call outlast a crash too.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.startsByKey))
	for key, n := range s.startsByKey {
		counts[key] = n
	}
	return counts
}

// Load implements host.Target.
func (s *Service) Load() targets.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return targets.Load{Running: len(s.running), Queued: len(s.queue), Slots: s.options.Slots}
}

// Crash implements host.Target: it drops every call.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.queue {
		s.recordEnd(c, journal.NotRun)
		close(c.crashed)
	}
	for c := range s.running {
		s.recordEnd(c, journal.Crashed)
		close(c.crashed)
	}
	s.queue = nil
	clear(s.running)
}

// Serve implements host.Target.
func (s *Service) Serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathCounts {
		host.WriteJSON(ctx, s.Counts())
		return
	}
	c := &call{
		entry:   s.host.RecordReceived(ctx),
		body:    string(ctx.PostBody()),
		faults:  s.host.TakeFaults(),
		started: make(chan struct{}),
		crashed: make(chan struct{}),
	}
	if c.faults.Refuse || !s.enqueue(c) {
		s.host.RefuseNotRun(ctx, c.entry)
		return
	}
	watch := host.NewWatch(ctx.Conn())
	defer watch.Stop()
	if !s.runCall(ctx, c, watch.Closed) {
		host.Abort(ctx)
		return
	}
	s.sendAnswer(ctx, c)
}

// runCall waits for a slot and occupies it for the call's duration. It reports
// whether the call ran to its end.
func (s *Service) runCall(ctx *fasthttp.RequestCtx, c *call, callerClosed <-chan struct{}) bool {
	select {
	case <-c.started:
	case <-callerClosed:
		s.release(c, journal.Cancelled)
		return false
	case <-c.crashed:
		return false
	}
	if s.host.Faults().Poisoned(c.body) {
		s.CrashNow()
		return false
	}
	timer := time.NewTimer(s.callDuration(ctx))
	defer timer.Stop()
	finished := timer.C
	if c.faults.Hang {
		finished = nil
	}
	select {
	case <-finished:
		return s.release(c, journal.Answered)
	case <-callerClosed:
		s.release(c, journal.Cancelled)
		return false
	case <-c.crashed:
		return false
	}
}

// callDuration returns the duration that the call's query asks for, or the default
// one, multiplied by Faults.SlowFactor.
func (s *Service) callDuration(ctx *fasthttp.RequestCtx) time.Duration {
	d := s.options.Duration
	if millis, err := ctx.QueryArgs().GetUint("millis"); err == nil {
		d = time.Duration(millis) * time.Millisecond
	}
	return s.host.Faults().Slow(d)
}

func (s *Service) sendAnswer(ctx *fasthttp.RequestCtx, c *call) {
	body, err := json.Marshal(Answer{
		Mark:  host.Mark(c.body),
		Path:  c.entry.Path,
		Key:   c.entry.IdempotencyKey,
		Count: c.keyCount,
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

// enqueue adds a call to the queue and starts it if a slot is free. It reports false
// if the queue is full.
func (s *Service) enqueue(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.running)+len(s.queue) >= s.options.Slots+s.options.MaxQueued
	if s.options.MaxQueued > 0 && full {
		return false
	}
	s.queue = append(s.queue, c)
	s.startQueued()
	return true
}

// startQueued starts waiting calls while slots are free. The caller holds s.mu.
func (s *Service) startQueued() {
	for len(s.queue) > 0 && len(s.running) < s.options.Slots {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.startCall(c)
	}
}

func (s *Service) startCall(c *call) {
	s.running[c] = struct{}{}
	if key := c.entry.IdempotencyKey; key != "" {
		s.startsByKey[key]++
		c.keyCount = s.startsByKey[key]
	}
	entry := c.entry
	entry.Event = journal.Started
	s.host.Journal.Add(entry)
	close(c.started)
}

// release removes the call from its slot, which may start a waiting call, or from
// the queue. It reports whether the call was in either.
func (s *Service) release(c *call, outcome journal.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[c]; ok {
		delete(s.running, c)
		s.recordEnd(c, outcome)
		s.startQueued()
		return true
	}
	if position := slices.Index(s.queue, c); position >= 0 {
		s.queue = slices.Delete(s.queue, position, position+1)
		s.recordEnd(c, journal.NotRun)
		return true
	}
	return false
}

func (s *Service) recordEnd(c *call, outcome journal.Outcome) {
	entry := c.entry
	entry.Event = journal.Ended
	entry.Outcome = outcome
	s.host.Journal.Add(entry)
}
