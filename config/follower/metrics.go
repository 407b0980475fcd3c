package follower

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// refusal is why the follower did not take something that arrived. It is the
// "reason" label of walnut_config_refusals_total.
type refusal string

// The reasons of a refusal.
const (
	// reasonDigest: the content does not match the digest.
	reasonDigest refusal = "digest_mismatch"
	// reasonSequence: entries are missing between the version in force and the offer.
	reasonSequence refusal = "sequence_gap"
	// reasonInvalid: the offer cannot be read or is not valid.
	reasonInvalid refusal = "invalid"
	// reasonHintsFull: too many announcements at once.
	reasonHintsFull refusal = "hints_full"
	// reasonOther: any other fault of an offer.
	reasonOther refusal = "other"
)

// failure is which call failed. It is the "reason" label of
// walnut_config_failures_total.
type failure string

// The calls that may fail.
const (
	failureStore failure = "store"
	failurePeer  failure = "peer"
)

// The counters are there from the start with zero.
var (
	refusals = makeCounters("walnut_config_refusals_total",
		reasonDigest, reasonSequence, reasonInvalid, reasonHintsFull, reasonOther)
	failures = makeCounters("walnut_config_failures_total", failureStore, failurePeer)
)

func makeCounters[T ~string](name string, reasons ...T) map[T]*metrics.Counter {
	counters := make(map[T]*metrics.Counter, len(reasons))
	for _, reason := range reasons {
		counters[reason] = metrics.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", name, string(reason)))
	}
	return counters
}
