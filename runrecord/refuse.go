package runrecord

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
)

// Refusals with retry advice tell the caller to come back after minRetryAfter
// plus a random part of retryAfterJitter, so that refused callers do not all
// return at the same time.
const (
	minRetryAfter    = time.Second
	retryAfterJitter = 2 * time.Second
)

// refusalCodes are the codes with which this package refuses requests.
var refusalCodes = []result.Code{
	result.RecordUnavailable,
	result.RecordInProgress,
	result.RecordUnknown,
	result.RecordMismatch,
	result.RecordLapsed,
	result.RecordNotKept,
}

// counters are the metrics of a Manager. docs/METRICS.md describes them.
type counters struct {
	claims         *metrics.Counter
	replays        *metrics.Counter
	deleted        *metrics.Counter
	droppedEnds    *metrics.Counter
	droppedAnswers *metrics.Counter
	endRetries     *metrics.Counter
	claimRetries   *metrics.Counter
	refusals       map[result.Code]*metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		claims:         set.GetOrCreateCounter("walnut_runrecord_claims_total"),
		replays:        set.GetOrCreateCounter("walnut_runrecord_replays_total"),
		deleted:        set.GetOrCreateCounter("walnut_runrecord_deleted_total"),
		droppedEnds:    set.GetOrCreateCounter(`walnut_runrecord_dropped_total{reason="queue_full"}`),
		droppedAnswers: set.GetOrCreateCounter(`walnut_runrecord_dropped_total{reason="answer_bytes"}`),
		endRetries:     set.GetOrCreateCounter(`walnut_runrecord_retries_total{reason="end_not_written"}`),
		claimRetries:   set.GetOrCreateCounter(`walnut_runrecord_retries_total{reason="claim_unresolved"}`),
		refusals:       make(map[result.Code]*metrics.Counter),
	}
	for _, code := range refusalCodes {
		name := fmt.Sprintf("walnut_runrecord_refusals_total{reason=%q}", code.Info().Name)
		c.refusals[code] = set.GetOrCreateCounter(name)
	}
	return c
}

// refuse returns a refusal with one of refusalCodes, and counts it.
func (m *Manager) refuse(code result.Code, detail string) *result.Error {
	m.metrics.refusals[code].Inc()
	refusal := result.New(code, "%s", detail)
	if code.Info().Retry {
		refusal = refusal.WithRetryAfter(minRetryAfter + rand.N(retryAfterJitter))
	}
	return refusal
}
