package targets

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/result"
)

// reason is why a call failed, as written in the counter's label.
type reason string

// The reasons of walnut_target_failures_total, walnut_load_poll_failures_total
// and walnut_order_call_failures_total.
const (
	reasonBadRequest       reason = "bad_request"
	reasonCancelledEarly   reason = "cancelled_before_write"
	reasonTargetLeft       reason = "target_left"
	reasonConnect          reason = "connect"
	reasonConnectTimeout   reason = "connect_timeout"
	reasonWriteNothing     reason = "write_nothing"
	reasonWritePartial     reason = "write_partial"
	reasonNotRun           reason = "refused_not_run"
	reasonFirstByteTimeout reason = "first_byte_timeout"
	reasonClosedBeforeHead reason = "closed_before_head"
	reasonBadHead          reason = "bad_head"
	// reasonSlowHead counts answers whose head began and did not end in time.
	reasonSlowHead  reason = "slow_head"
	reasonCancelled reason = "cancelled"
	reasonTruncated reason = "truncated"
	reasonUnframed  reason = "unframed"
	// reasonCutEvent counts event streams whose connection was closed inside an event.
	reasonCutEvent     reason = "cut_event"
	reasonStalled      reason = "stalled"
	reasonClosedUnread reason = "closed_unread"
	// reasonStray counts answers to other requests that were skipped.
	reasonStray reason = "stray_answer"
	// reasonUnsealed counts successes without the targets' seal header.
	reasonUnsealed reason = "unsealed"
	// reasonTrailer counts chunked answers that were complete but for the end of their trailer.
	reasonTrailer reason = "trailer_too_long"
)

var allReasons = []reason{
	reasonBadRequest, reasonCancelledEarly, reasonTargetLeft, reasonConnect, reasonConnectTimeout,
	reasonWriteNothing, reasonWritePartial, reasonNotRun, reasonFirstByteTimeout,
	reasonClosedBeforeHead, reasonBadHead, reasonSlowHead, reasonCancelled, reasonTruncated,
	reasonUnframed, reasonCutEvent, reasonStalled, reasonClosedUnread, reasonStray, reasonUnsealed, reasonTrailer,
}

// counters count calls and their failures. Requests, load polls and orders have separate
// counters.
type counters struct {
	calls    *metrics.Counter
	failures map[reason]*metrics.Counter
	// answers counts the answers by their framing; nil if they are not counted.
	answers map[Framing]*metrics.Counter
	// readings counts the readings of the targets' load; nil if the load is not read.
	readings *readingCounters
}

// newRequestCounters returns the counters of callers' requests.
func newRequestCounters(set *metrics.Set) *counters {
	c := newCounters(set, "walnut_target_requests_total", "walnut_target_failures_total")
	c.readings = newReadingCounters(set)
	c.answers = make(map[Framing]*metrics.Counter)
	for _, framing := range []Framing{FramingLength, FramingChunked, FramingClose} {
		c.answers[framing] = set.GetOrCreateCounter(fmt.Sprintf("walnut_target_answers_total{framing=%q}", string(framing)))
	}
	return c
}

func newCounters(set *metrics.Set, calls, failures string) *counters {
	c := &counters{
		calls:    set.GetOrCreateCounter(calls),
		failures: make(map[reason]*metrics.Counter, len(allReasons)),
	}
	for _, r := range allReasons {
		name := fmt.Sprintf("%s{reason=%q}", failures, string(r))
		c.failures[r] = set.GetOrCreateCounter(name)
	}
	return c
}

// countFailure counts a failure.
func (c *counters) countFailure(r reason) { c.failures[r].Inc() }

// countAnswer counts an answer whose head has been read.
func (c *counters) countAnswer(framing Framing) {
	if c.answers != nil {
		c.answers[framing].Inc()
	}
}

// newError counts a failure and returns its typed error.
func (c *counters) newError(r reason, code result.Code, ran result.Ran, cause error) *result.Error {
	c.countFailure(r)
	e := result.Wrap(code, hideEOF(cause), "%s", code.Info().Meaning)
	e.Ran = ran
	return e
}

// noticeCounters count the answers in which a target announces something about itself.
type noticeCounters struct {
	leaving, holdOff *metrics.Counter
}

func newNoticeCounters(set *metrics.Set) *noticeCounters {
	return &noticeCounters{
		leaving: set.GetOrCreateCounter(`walnut_target_notices_total{notice="leaving"}`),
		holdOff: set.GetOrCreateCounter(`walnut_target_notices_total{notice="hold_off"}`),
	}
}

func (c *noticeCounters) count(n notice.Notice) {
	if n.Leaving {
		c.leaving.Inc()
	}
	if n.HoldOff > 0 {
		c.holdOff.Inc()
	}
}
