package router

import (
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/offload"
)

// offloadedRequest is a request that was sent to an executor. It counts and logs how the request
// ends, and implements offload.Answer for the link and offload.Sent for the front.
type offloadedRequest struct {
	source *offloadSource
	link   *executorLink
	id     string
	sentAt time.Time
	answer offload.Answer
	sent   offload.Sent
	// cancelled is set once the caller has gone or its deadline has passed.
	cancelled atomic.Bool
	// hasBytes is set once a byte of the response has arrived.
	hasBytes bool
}

// Write implements offload.Answer.
func (r *offloadedRequest) Write(p []byte) {
	r.hasBytes = true
	r.answer.Write(p)
}

// End implements offload.Answer.
func (r *offloadedRequest) End(outcome offload.Outcome) {
	r.source.ended(r, outcome)
	r.answer.End(outcome)
}

// Taken implements offload.Sent.
func (r *offloadedRequest) Taken(n int) { r.sent.Taken(n) }

// Cancel implements offload.Sent.
func (r *offloadedRequest) Cancel() {
	r.cancelled.Store(true)
	r.sent.Cancel()
}

// ended counts and logs how a request ended, and excludes its executor if it failed. How a
// cancelled request ends says nothing about the executor.
func (s *offloadSource) ended(r *offloadedRequest, outcome offload.Outcome) {
	if r.cancelled.Load() {
		offloadCallerGone.Inc()
		s.counts.callerGone.Add(1)
		return
	}
	offloadOutcomes[outcome].Inc()
	switch outcome {
	case offload.Complete:
		s.counts.complete.Add(1)
		return
	case offload.Declined:
		s.counts.declined.Add(1)
	case offload.Broken:
		s.log.Warn("offload: Response of the executor broke off.", "request", r.id, "executor", r.link.node,
			"took", time.Since(r.sentAt), "began", r.hasBytes)
	}
	failure := outcome
	r.link.failure.CompareAndSwap(nil, &failure)
}

// offloadCounts counts how requests ended since the last log line.
type offloadCounts struct{ complete, declined, callerGone atomic.Int64 }

// logCounts logs once per second how many requests ended, but for those that broke, which have a
// line each.
func (s *offloadSource) logCounts(now time.Duration) {
	if now-s.loggedAt < offloadLogInterval {
		return
	}
	s.loggedAt = now
	complete, declined, gone := s.counts.complete.Swap(0), s.counts.declined.Swap(0), s.counts.callerGone.Swap(0)
	if complete+declined+gone > 0 {
		s.log.Info("offload: Requests were served by other routers.", "complete", complete, "declined", declined, "caller_gone", gone)
	}
}
