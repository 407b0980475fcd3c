package store

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the client's metrics.
type counters struct{ set *metrics.Set }

func (c counters) incCalls(op operation) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_platform_calls_total{op=%q}`, op)).Inc()
}

func (c counters) incFailures(op operation, reason reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_platform_errors_total{op=%q,reason=%q}`, op, reason)).Inc()
}

func (c counters) incRetries(op operation, reason reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_platform_retries_total{op=%q,reason=%q}`, op, reason)).Inc()
}

func (c counters) addBytes(op operation, sent, received int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_platform_sent_bytes_total{op=%q}`, op)).Add(sent)
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_platform_received_bytes_total{op=%q}`, op)).Add(received)
}

func (c counters) observeDuration(op operation, started time.Time) {
	c.set.GetOrCreateHistogram(fmt.Sprintf(`walnut_platform_call_seconds{op=%q}`, op)).UpdateDuration(started)
}
