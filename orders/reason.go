package orders

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Reason is the reason why a target is not in its declared state. It is the "reason"
// label of walnut_orders_refusals_total, except for ReasonPending, ReasonLoading and
// ReasonOrdered, which are not refusals.
type Reason string

// Values of Reason.
const (
	// ReasonPending: the target has not been checked yet.
	ReasonPending Reason = "pending"
	// ReasonOrdered: the target accepted an order; the next check shows its effect.
	ReasonOrdered Reason = "ordered"
	// ReasonLoading: the target is loading a model.
	ReasonLoading Reason = "loading"
	// ReasonStateUnread: the target's state could not be read.
	ReasonStateUnread Reason = "state_unread"
	// ReasonFenced: the target rejected the order's fencing number as outdated.
	ReasonFenced Reason = "fenced"
	// ReasonBehind: the target has seen a fencing number higher than this router's
	// version, so no order was sent.
	ReasonBehind Reason = "behind"
	// ReasonNewerVersion: the table holds a newer version than this router, or this
	// router's version or targets changed during the check, so no order was sent.
	ReasonNewerVersion Reason = "newer_version"
	// ReasonUnconfirmed: the table could not be read to confirm that this router's
	// version is the newest, so no order was sent.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonExpired: the confirmation expired before the order was sent, so no order
	// was sent.
	ReasonExpired Reason = "confirmation_expired"
	// ReasonPermitDenied: the weight store denied a permit to load the model.
	ReasonPermitDenied Reason = "permit_denied"
	// ReasonPermitUnavailable: the request to the weight store failed.
	ReasonPermitUnavailable Reason = "permit_unavailable"
	// ReasonTargetFailed: the target did not answer the order, or answered with an
	// error.
	ReasonTargetFailed Reason = "target_failed"
	// ReasonNotTaken: the target accepted the same order before, but does not report
	// the state that the order sets.
	ReasonNotTaken Reason = "not_taken"
)

// refusalReasons are the reasons counted in walnut_orders_refusals_total.
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

// countRefusal counts a reason if it is a refusal.
func (c counters) countRefusal(reason Reason) {
	if counter := c.refusals[reason]; counter != nil {
		counter.Inc()
	}
}
