package router

import (
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/offload"
)

// offloadedRequest is a request that was sent to an executor. It records how the request ends, and
// implements offload.Answer for the link and offload.Sent for the front.
type offloadedRequest struct {
	source *offloadSource
	link   *executorLink
	offload.Answer
	sent offload.Sent
	// cancelled is set once the caller has gone or its deadline has passed.
	cancelled atomic.Bool
}

// End implements offload.Answer.
func (r *offloadedRequest) End(outcome offload.Outcome, loss offload.Loss) {
	r.source.ended(r, outcome)
	if outcome == offload.Broken {
		loss.Executor = r.link.node
	}
	r.Answer.End(outcome, loss)
}

// Taken implements offload.Sent.
func (r *offloadedRequest) Taken(n int) { r.sent.Taken(n) }

// Silent implements offload.Sent.
func (r *offloadedRequest) Silent() bool { return r.sent.Silent() }

// Cancel implements offload.Sent.
func (r *offloadedRequest) Cancel() {
	r.cancelled.Store(true)
	r.sent.Cancel()
}

// ended counts how a request ended, and excludes its executor if it declined the request. A response
// that broke off says nothing about an executor whose link goes on: its target may have failed. Nor
// does the end of a cancelled request. Package front counts and logs the request itself.
func (s *offloadSource) ended(r *offloadedRequest, outcome offload.Outcome) {
	switch {
	case r.cancelled.Load():
		s.counts.cancelled.Add(1)
	case outcome == offload.Complete:
		s.counts.complete.Add(1)
	case outcome == offload.Declined:
		s.counts.declined.Add(1)
		r.link.declined.Store(true)
	default:
		s.counts.broken.Add(1)
	}
}

// offloadCounts counts how requests ended since the last log line.
type offloadCounts struct{ complete, declined, broken, cancelled atomic.Int64 }

// logCounts logs once per second how many requests ended.
func (s *offloadSource) logCounts(now time.Duration) {
	if now-s.loggedAt < offloadLogInterval {
		return
	}
	s.loggedAt = now
	complete, declined := s.counts.complete.Swap(0), s.counts.declined.Swap(0)
	broken, cancelled := s.counts.broken.Swap(0), s.counts.cancelled.Swap(0)
	if complete+declined+broken+cancelled > 0 {
		s.log.Info("offload: Requests were served by other routers.", "complete", complete, "declined", declined,
			"broken", broken, "cancelled", cancelled)
	}
}
