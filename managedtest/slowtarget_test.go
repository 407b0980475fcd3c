package managedtest

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// TestSlowTargetAnswersIdempotentRequest guards against refusing an idempotent request that its
// target runs, because the answer takes longer than the limit on a target's silence and no other
// target can be had.
func TestSlowTargetAnswersIdempotentRequest(t *testing.T) {
	slow, slowToo := opsReplica("o1"), opsReplica("o2")
	slow.Pause, slowToo.Pause = runTime, runTime
	for _, test := range []struct {
		name     string
		slack    float64
		replicas []managed.ReplicaOptions
	}{
		{"one target", unlimitedSlack, []managed.ReplicaOptions{slow}},
		{"retry budget empty", 0, []managed.ReplicaOptions{slow, slowToo}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startSettledFleet(t, test.slack, 1, test.replicas...)
			f.publishConfig(eachRoute(func(r *wire.Route) { r.EventPause = 1 }))
			f.awaitVersion()
			sent := time.Now()
			if got := f.send(f.routers[0], pathIdempotent); !isWhole(pathIdempotent, got) {
				t.Errorf("status %d after %s: %q\n%s", got.Status, time.Since(sent), got.Body, f.logOf(got.ID))
			}
		})
	}
}
