package follower

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// refusal is why the follower did not take something. It is the "reason" label
// of walnut_config_refused_total.
type refusal string

// The reasons of a refusal.
const (
	// reasonDigest: the content does not match the digest.
	reasonDigest refusal = "digest_mismatch"
	// reasonSequence: entries are missing between the version in force and the offer.
	reasonSequence refusal = "sequence_gap"
	// reasonInvalid: the offer cannot be read or is not valid.
	reasonInvalid refusal = "invalid"
	// reasonOther: any other fault of an offer.
	reasonOther refusal = "other"
	// reasonHintsFull: too many announcements at once.
	reasonHintsFull refusal = "hints_full"
	// reasonStoreFailed: a call to the store failed.
	reasonStoreFailed refusal = "store_failed"
	// reasonPeerFailed: a fetch from a peer failed.
	reasonPeerFailed refusal = "peer_failed"
)

func refused(reason refusal) {
	name := fmt.Sprintf(`walnut_config_refused_total{reason=%q}`, string(reason))
	metrics.GetOrCreateCounter(name).Inc()
}
