package follower

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// rejectionReason is why the follower rejected a candidate or announcement. It
// is the "reason" label of walnut_config_refusals_total.
type rejectionReason string

// The reasons for a rejection.
const (
	// reasonDigest: the content does not match the digest.
	reasonDigest rejectionReason = "digest_mismatch"
	// reasonSequence: entries are missing between the version in force and the candidate.
	reasonSequence rejectionReason = "sequence_gap"
	// reasonInvalid: the candidate is malformed or not valid.
	reasonInvalid rejectionReason = "invalid"
	// reasonAnnouncementsFull: the announcement buffer is full.
	reasonAnnouncementsFull rejectionReason = "hints_full"
	// reasonOther: any other fault of a candidate.
	reasonOther rejectionReason = "other"
)

// failedCall identifies the call that failed. It is the "reason" label of
// walnut_config_failures_total.
type failedCall string

// The calls that may fail.
const (
	failureStore failedCall = "store"
	failurePeer  failedCall = "peer"
)

// All counters are registered at start, so that they are exported as zero.
var (
	rejectionCounters = newCounters("walnut_config_refusals_total",
		reasonDigest, reasonSequence, reasonInvalid, reasonAnnouncementsFull, reasonOther)
	failureCounters = newCounters("walnut_config_failures_total", failureStore, failurePeer)
)

func newCounters[T ~string](name string, reasons ...T) map[T]*metrics.Counter {
	counters := make(map[T]*metrics.Counter, len(reasons))
	for _, reason := range reasons {
		counters[reason] = metrics.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", name, string(reason)))
	}
	return counters
}
