package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// The reasons why a writer did not make a commit, or may not have made it.
const (
	reasonUnreachable = "unreachable"
	reasonBusy        = "busy"
	reasonUnavailable = "unavailable"
	reasonReplyLost   = "reply_lost"
)

// counters are the metrics of a Table.
type counters struct {
	set       *metrics.Set
	forwarded *metrics.Counter // commits forwarded to a writer
	local     *metrics.Counter // commits of this router made locally
	served    *metrics.Counter // commits of other routers made here
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		set:       set,
		forwarded: set.GetOrCreateCounter(`walnut_forward_commits_total{by="writer"}`),
		local:     set.GetOrCreateCounter(`walnut_forward_commits_total{by="self"}`),
		served:    set.GetOrCreateCounter(`walnut_forward_served_total`),
	}
	for _, reason := range []string{reasonUnreachable, reasonBusy, reasonUnavailable, reasonReplyLost} {
		c.failureCounter(reason)
	}
	return c
}

func (c counters) incFailure(reason string) { c.failureCounter(reason).Inc() }

func (c counters) failureCounter(reason string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("walnut_forward_failures_total{reason=%q}", reason))
}
