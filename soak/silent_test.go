package soak

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/processes"
)

// silentTime is longer than a caller waits for any end.
const silentTime = deadline + answerMargin + 2*time.Second

// TestRequestsEndWhileATargetIsSilent guards against requests without an end that were sent to
// a target whose answers are held up: every request ends soon after its deadline.
func TestRequestsEndWhileATargetIsSilent(t *testing.T) {
	f := startFleet(t, *routersFlag, soakOptions{})
	j := startJudge(f, "silent")
	time.Sleep(time.Second)
	silent := f.replicas[0]
	f.note("silent: %s", silent.options.ID)
	silent.way.Hold(processes.Downstream)
	time.Sleep(silentTime)
	f.must(silent.way.Heal())
	f.note("end: %s", silent.options.ID)
	j.end()
	time.Sleep(quietTime)
	j.judgeRuns()
}
