package target

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// reason is why a call failed, as it stands in the counter's label.
type reason string

// The reasons of walnut_target_failures_total.
const (
	reasonBadRequest       reason = "bad_request"
	reasonCancelledEarly   reason = "cancelled_before_write"
	reasonConnect          reason = "connect"
	reasonConnectTimeout   reason = "connect_timeout"
	reasonWriteNothing     reason = "write_nothing"
	reasonWritePartial     reason = "write_partial"
	reasonNotRun           reason = "refused_not_run"
	reasonFirstByteTimeout reason = "first_byte_timeout"
	reasonClosedBeforeHead reason = "closed_before_head"
	reasonBadHead          reason = "bad_head"
	reasonCancelled        reason = "cancelled"
	reasonTruncated        reason = "truncated"
	reasonUnframed         reason = "unframed"
	reasonStalled          reason = "stalled"
	reasonClosedUnread     reason = "closed_unread"
)

var allReasons = []reason{
	reasonBadRequest, reasonCancelledEarly, reasonConnect, reasonConnectTimeout,
	reasonWriteNothing, reasonWritePartial, reasonNotRun, reasonFirstByteTimeout,
	reasonClosedBeforeHead, reasonBadHead, reasonCancelled, reasonTruncated,
	reasonUnframed, reasonStalled, reasonClosedUnread,
}

// counters are the client's metrics.
type counters struct {
	failures map[reason]*metrics.Counter
	requests *metrics.Counter
	dials    *metrics.Counter
	stale    *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		failures: make(map[reason]*metrics.Counter, len(allReasons)),
		requests: set.GetOrCreateCounter("walnut_target_requests_total"),
		dials:    set.GetOrCreateCounter("walnut_target_dials_total"),
		stale:    set.GetOrCreateCounter("walnut_target_stale_connections_total"),
	}
	for _, r := range allReasons {
		name := fmt.Sprintf("walnut_target_failures_total{reason=%q}", string(r))
		c.failures[r] = set.GetOrCreateCounter(name)
	}
	return c
}

func (c *counters) failed(r reason) { c.failures[r].Inc() }
