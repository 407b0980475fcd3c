package router

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/offload/balance"
	"github.com/walnutcove/walnutcove/offload/link"
)

const (
	// maxOffloadedBytes is the largest request that is offloaded.
	maxOffloadedBytes = 1 << 20
	// candidatesInterval is the interval at which the candidates are determined while there are
	// links or requests lack allowance.
	candidatesInterval = 500 * time.Millisecond
	// offloadDialTimeout bounds the opening of a link. Executors are in the same data centre.
	offloadDialTimeout = time.Second
	// offloadLogInterval is the interval of the log line about requests that were offloaded.
	offloadLogInterval = time.Second
)

// sendingLink is the source's end of a link.
type sendingLink interface {
	Offer(request offload.Request, answer offload.Answer) (offload.Sent, link.Refusal)
	Allowance() int
	NoteWanted(n int)
	OpenRequests() int
	HeldBytes() int64
	// Silent reports whether requests are open and nothing is heard of the executor.
	Silent() bool
	Done() <-chan struct{}
	Err() error
	// CloseIdle ends the link unless requests are open, and reports whether none were.
	CloseIdle() bool
	Close() error
}

// offloadSource sends requests that this router would refuse to executors. It implements
// offload.Sender. A nil source has no links.
type offloadSource struct {
	log *slog.Logger
	// dial opens a link to a router.
	dial func(ctx context.Context, node string) (sendingLink, error)
	// candidates returns the routers that may be executors now.
	candidates func() []balance.Candidate
	startedAt  time.Time

	// usable holds the links for new requests, and offered the fraction of requests that the
	// limiter lets through, as the bits of a float64.
	usable  atomic.Pointer[[]*executorLink]
	offered atomic.Uint64
	// lacked counts the requests that found no allowance since the last step.
	lacked atomic.Int64
	// wake gets a token when a request found no allowance.
	wake   chan struct{}
	dialed chan dialResult
	counts offloadCounts

	// limiter belongs to the goroutine that measures the lag.
	limiter *balance.Limiter

	// mu guards links for readers; run alone changes them.
	mu    sync.Mutex
	links map[string]*executorLink

	// The rest belongs to run.
	selector     *balance.Selector
	dialing      map[string]bool
	candidatesAt time.Duration
	loggedAt     time.Duration
	loggedNone   bool
}

// executorLink is the link to one executor.
type executorLink struct {
	sendingLink
	node string
	// declined is set once the executor has declined a request.
	declined atomic.Bool
	// sent counts the requests sent since the last step.
	sent atomic.Int64
}

// allowance returns how many requests may be sent.
func (l *executorLink) allowance() int {
	if l.declined.Load() {
		return 0
	}
	return l.Allowance()
}

// dialResult is the result of a dial.
type dialResult struct {
	node string
	link sendingLink
	err  error
}

func newOffloadSource(self string, log *slog.Logger, candidates func() []balance.Candidate, dial func(context.Context, string) (sendingLink, error)) *offloadSource {
	s := &offloadSource{
		log:        log,
		dial:       dial,
		candidates: candidates,
		startedAt:  time.Now(),
		wake:       make(chan struct{}, 1),
		dialed:     make(chan dialResult),
		limiter:    balance.NewLimiter(),
		links:      make(map[string]*executorLink),
		selector:   balance.NewSelector(self),
		dialing:    make(map[string]bool),
		// So that the first step determines the candidates.
		candidatesAt: -candidatesInterval,
	}
	s.usable.Store(&[]*executorLink{})
	s.offered.Store(math.Float64bits(s.limiter.Fraction()))
	return s
}

// measured updates the fraction of requests that is offered. It is called with each measurement
// of the lag.
func (s *offloadSource) measured(lag time.Duration, shedsAll bool) {
	s.limiter.Measure(lag, shedsAll)
	s.offered.Store(math.Float64bits(s.limiter.Fraction()))
}

// offeredFraction returns the fraction of requests that is offered to executors.
func (s *offloadSource) offeredFraction() float64 {
	if s == nil {
		return 0
	}
	return math.Float64frombits(s.offered.Load())
}

// Available implements offload.Sender: there are links to executors. If there are none, some are
// opened, provided that there are routers that may be executors.
func (s *offloadSource) Available() bool {
	if len(*s.usable.Load()) > 0 {
		return true
	}
	countUnsent(link.RefusedNoAllowance)
	s.noteLack(nil)
	return false
}

// acceptDelay returns what measure does while there are links to executors, and zero otherwise: a
// router that no other one helps is as late as its lag says.
func (s *offloadSource) acceptDelay(measure func(time.Time) time.Duration) func(time.Time) time.Duration {
	return func(now time.Time) time.Duration {
		delay := measure(now)
		if len(*s.usable.Load()) == 0 {
			return 0
		}
		return delay
	}
}

// Send implements offload.Sender.
func (s *offloadSource) Send(request offload.Request, answer offload.Answer) offload.Sent {
	switch fraction := s.offeredFraction(); {
	case len(request.Raw) > maxOffloadedBytes:
		offloadTooLarge.Inc()
		return nil
	case fraction < 1 && rand.Float64() >= fraction:
		offloadLimited.Inc()
		return nil
	}
	links := *s.usable.Load()
	i := balance.Choose(len(links), func(i int) int { return links[i].allowance() }, rand.IntN)
	if i < 0 {
		countUnsent(link.RefusedNoAllowance)
		s.noteLack(links)
		return nil
	}
	sent, refusal := s.sendOver(links[i], request, answer)
	if sent == nil {
		countUnsent(refusal)
		s.noteLack(links)
		return nil
	}
	return sent
}

// sendOver sends a request over a link. It returns the reason if the link does not take it.
func (s *offloadSource) sendOver(l *executorLink, request offload.Request, answer offload.Answer) (offload.Sent, link.Refusal) {
	r := &offloadedRequest{source: s, link: l, Answer: answer}
	sent, refusal := l.Offer(request, r)
	if sent == nil {
		return nil, refusal
	}
	r.sent = sent
	l.sent.Add(1)
	return r, ""
}

// noteLack records that a request found no allowance. One executor is told, so that all of them
// together are asked for what is missing.
func (s *offloadSource) noteLack(links []*executorLink) {
	s.lacked.Add(1)
	if len(links) > 0 {
		links[rand.IntN(len(links))].NoteWanted(1)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run keeps links while requests are selected for refusal, until ctx ends. It then closes them.
func (s *offloadSource) run(ctx context.Context) {
	defer s.closeAll()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.runActive(ctx)
	}
}

// runActive keeps links until there are none left.
func (s *offloadSource) runActive(ctx context.Context) {
	ticker := time.NewTicker(offloadInterval)
	defer ticker.Stop()
	for s.step(ctx, time.Since(s.startedAt)) {
		select {
		case <-ctx.Done():
			return
		case result := <-s.dialed:
			s.addDialed(result, time.Since(s.startedAt))
		case <-ticker.C:
		}
	}
}

// step updates the links. It returns false if there are none and none are needed.
func (s *offloadSource) step(ctx context.Context, now time.Duration) bool {
	lacked := s.lacked.Swap(0) > 0
	if lacked {
		s.selector.Lacked(now)
	}
	if now-s.candidatesAt >= candidatesInterval {
		s.candidatesAt = now
		s.updateCandidates(lacked)
	}
	for _, l := range s.links {
		s.check(l, now, lacked)
	}
	wanted := s.selector.Executors(now)
	s.closeUnwanted(wanted)
	if lacked {
		s.dialMissing(ctx, wanted)
	}
	s.publish(wanted)
	s.logCounts(now)
	return lacked || len(s.links)+len(s.dialing) > 0
}

// updateCandidates determines the candidates anew. It logs if there are none although requests lack
// allowance, once until there are some again.
func (s *offloadSource) updateCandidates(lacked bool) {
	candidates := s.candidates()
	s.selector.SetCandidates(candidates)
	if len(candidates) == 0 && lacked && !s.loggedNone {
		s.log.Warn("offload: There is no router to which requests can be forwarded.")
	}
	s.loggedNone = len(candidates) == 0 && (lacked || s.loggedNone)
}

// check excludes the executor of a link if it failed.
func (s *offloadSource) check(l *executorLink, now time.Duration, lacked bool) {
	sent := int(l.sent.Swap(0))
	if sent > 0 {
		l.NoteWanted(sent)
	}
	select {
	case <-l.Done():
		s.remove(l)
		s.linkEnded(l, now)
		return
	default:
	}
	if l.Silent() && s.selector.Usable(now, l.node) {
		exclusionsSilent.Inc()
		s.exclude(now, l.node, "silent", nil)
		return
	}
	if l.declined.Swap(false) {
		exclusionsDeclined.Inc()
		s.exclude(now, l.node, offload.Declined.String(), nil)
		return
	}
	if s.selector.Observe(now, l.node, sent > 0 || l.Allowance() > 0, lacked) {
		exclusionsStarved.Inc()
		s.log.Debug("offload: Executor grants no allowance.", "node", l.node)
	}
}

// linkEnded excludes the executor of a link that has ended, unless the link was idle.
func (s *offloadSource) linkEnded(l *executorLink, now time.Duration) {
	err := l.Err()
	switch {
	case errors.Is(err, link.ErrIdle):
	case errors.Is(err, link.ErrDrained):
		exclusionsDrained.Inc()
		s.exclude(now, l.node, "drained", nil)
	default:
		exclusionsEnded.Inc()
		s.exclude(now, l.node, "link_ended", err)
	}
}

// exclude stops using an executor for a while.
func (s *offloadSource) exclude(now time.Duration, node, reason string, err error) {
	s.selector.Failed(now, node)
	s.log.Info("offload: Executor is not used for a while.", "executor", node, "reason", reason, "error", err)
}

// closeUnwanted closes the links to executors that are not wanted, once no requests are open on
// them. The others end by themselves when they have been idle.
func (s *offloadSource) closeUnwanted(wanted []string) {
	for _, l := range s.links {
		if !slices.Contains(wanted, l.node) && l.CloseIdle() {
			s.remove(l)
		}
	}
}

// dialMissing opens links to the wanted executors that have none.
func (s *offloadSource) dialMissing(ctx context.Context, wanted []string) {
	for _, node := range wanted {
		if s.links[node] != nil || s.dialing[node] {
			continue
		}
		s.dialing[node] = true
		go func() {
			dialCtx, cancel := context.WithTimeout(ctx, offloadDialTimeout)
			defer cancel()
			opened, err := s.dial(dialCtx, node)
			select {
			case s.dialed <- dialResult{node, opened, err}:
			case <-ctx.Done():
				if err == nil {
					_ = opened.Close() // the router stops
				}
			}
		}()
	}
}

// addDialed adds a link that was opened.
func (s *offloadSource) addDialed(result dialResult, now time.Duration) {
	delete(s.dialing, result.node)
	if result.err != nil {
		exclusionsDial.Inc()
		s.exclude(now, result.node, "dial_failed", result.err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[result.node] = &executorLink{sendingLink: result.link, node: result.node}
	s.log.Info("offload: Executor serves requests that this router would refuse.", "executor", result.node)
}

func (s *offloadSource) remove(l *executorLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l.node)
}

// publish makes the links to the wanted executors available to Send.
func (s *offloadSource) publish(wanted []string) {
	links := make([]*executorLink, 0, len(wanted))
	for _, node := range wanted {
		if l := s.links[node]; l != nil {
			links = append(links, l)
		}
	}
	s.usable.Store(&links)
}

// closeAll closes all links.
func (s *offloadSource) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usable.Store(&[]*executorLink{})
	for _, l := range s.links {
		_ = l.Close() // ends in any case
	}
}

// sum returns the sum of a figure over the links.
func (s *offloadSource) sum(figure func(sendingLink) int64) int64 {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	total := int64(0)
	for _, l := range s.links {
		total += figure(l.sendingLink)
	}
	return total
}

func (s *offloadSource) linkCount() int64 {
	return s.sum(func(sendingLink) int64 { return 1 })
}

func (s *offloadSource) openRequests() int64 {
	return s.sum(func(l sendingLink) int64 { return int64(l.OpenRequests()) })
}

func (s *offloadSource) heldBytes() int64 { return s.sum(sendingLink.HeldBytes) }
