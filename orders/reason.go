package orders

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Reason is why a target is not in its declared state. It is the label of
// walnut_orders_refusals_total, but for ReasonPending, ReasonLoading and
// ReasonOrdered, which are no refusals.
type Reason string

// The reasons.
const (
	// ReasonPending: the target was not looked at yet.
	ReasonPending Reason = "pending"
	// ReasonOrdered: an order was taken; the next look tells what it did.
	ReasonOrdered Reason = "ordered"
	// ReasonLoading: the target loads a model.
	ReasonLoading Reason = "loading"
	// ReasonStateUnread: the target's state could not be read.
	ReasonStateUnread Reason = "state_unread"
	// ReasonFenced: the target refused the order's fencing number as old.
	ReasonFenced Reason = "fenced"
	// ReasonBehind: the target has seen a higher fencing number than the
	// version here, so no order was sent.
	ReasonBehind Reason = "behind"
	// ReasonNewerVersion: the table holds a newer version than the one here,
	// so no order was sent.
	ReasonNewerVersion Reason = "newer_version"
	// ReasonUnconfirmed: the table could not be read to confirm that the
	// version here is the newest, so no order was sent.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonExpired: more time passed between the confirmation and the sending
	// of the order than the confirmation holds, so no order was sent.
	ReasonExpired Reason = "confirmation_expired"
	// ReasonPermitDenied: the weight store gave no permit to load.
	ReasonPermitDenied Reason = "permit_denied"
	// ReasonPermitUnavailable: the weight store could not be asked.
	ReasonPermitUnavailable Reason = "permit_unavailable"
	// ReasonTargetFailed: the target did not answer the order, or not well.
	ReasonTargetFailed Reason = "target_failed"
	// ReasonNotTaken: the target took the same order before and does not
	// report what it asked for.
	ReasonNotTaken Reason = "not_taken"
)

// refusalReasons are the reasons that are counted.
var refusalReasons = []Reason{
	ReasonStateUnread, ReasonFenced, ReasonBehind, ReasonNewerVersion, ReasonUnconfirmed, ReasonExpired,
	ReasonPermitDenied, ReasonPermitUnavailable, ReasonTargetFailed, ReasonNotTaken,
}

// counters are the metrics of a Reconciler.
type counters struct {
	sent     *metrics.Counter
	refusals map[Reason]*metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		sent:     set.GetOrCreateCounter("walnut_orders_sent_total"),
		refusals: make(map[Reason]*metrics.Counter, len(refusalReasons)),
	}
	for _, reason := range refusalReasons {
		name := fmt.Sprintf(`walnut_orders_refusals_total{reason=%q}`, string(reason))
		c.refusals[reason] = set.GetOrCreateCounter(name)
	}
	return c
}

// refused counts a reason that is a refusal.
func (c counters) refused(reason Reason) {
	if counter := c.refusals[reason]; counter != nil {
		counter.Inc()
	}
}
