package soak

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/processes"
)

// unresponsiveTime is longer than a caller waits for the end of any request.
const unresponsiveTime = requestDeadline + answerMargin + 2*time.Second

// TestRequestsEndWhileATargetIsUnresponsive guards against requests that never end because they
// were sent to a target whose answers are held back. Every request must end soon after its
// deadline.
func TestRequestsEndWhileATargetIsUnresponsive(t *testing.T) {
	f := startFleet(t, *routersFlag, soakOptions{})
	c := startChecker(f, "silent")
	time.Sleep(time.Second)
	unresponsive := f.replicas[0]
	f.note("unresponsive: %s", unresponsive.options.ID)
	unresponsive.proxy.Hold(processes.Downstream)
	time.Sleep(unresponsiveTime)
	f.must(unresponsive.proxy.Heal())
	f.note("end: %s", unresponsive.options.ID)
	c.finish()
	time.Sleep(inFlightTime)
	c.checkRuns()
}
