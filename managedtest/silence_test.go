package managedtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// silentAfter is how long after the first request the targets fall silent. Streams last longer.
	silentAfter = 400 * time.Millisecond
	// silence is for how long they do: longer than the router waits before it asks for another
	// target, and shorter than callers wait.
	silence = 1800 * time.Millisecond
	// noSlack leaves the retry budget nothing but its part of the few requests sent.
	noSlack = 0.001
)

// slowStreams returns a replica whose streams last for about a second.
func slowStreams(id string) managed.ReplicaOptions {
	options := genReplica(id)
	options.Pause = 120 * time.Millisecond
	return options
}

// withShortPauses declares a short pause between events as on time: a router waits for a multiple of
// it before it asks for another target.
func withShortPauses(c *wire.Config) {
	for n := range c.Routes {
		c.Routes[n].EventPause = 250
	}
}

// sendWhileSilent sends requests on a path, has some replicas fall silent meanwhile and publishes
// a version of the configuration then. It returns the answers.
func (f *fleet) sendWhileSilent(path string, requests int, silent []*managed.Replica, edit func(*wire.Config)) []managed.Answer {
	f.t.Helper()
	answers := make([]managed.Answer, requests)
	var callers sync.WaitGroup
	for n := range answers {
		callers.Go(func() { answers[n] = f.send(f.routers[n%len(f.routers)], path) })
	}
	time.Sleep(silentAfter)
	for _, r := range silent {
		r.FallSilent(silence)
	}
	f.publishConfig(edit)
	callers.Wait()
	return answers
}

// checkAllWhole checks that each answer is the whole one of its own request.
func (f *fleet) checkAllWhole(answers []managed.Answer, want func(id string) string) {
	f.t.Helper()
	bad := 0
	for n, got := range answers {
		if got.Status == http.StatusOK && got.Complete && got.Body == want(got.ID) {
			continue
		}
		bad++
		f.t.Logf("%s: status %d, complete %v, %d of %d bytes: %v", got.ID, got.Status, got.Complete, len(got.Body), len(want(got.ID)),
			f.logs[n%len(f.routers)].linesWith("request="+got.ID+" "))
	}
	if bad > 0 {
		f.t.Errorf("%d of %d answers were cut or refused", bad, len(answers))
	}
}

// TestStreamOfASilentTargetIsNotCut guards against a stream that is cut because its target was
// silent for a time, where no other target could take it over.
func TestStreamOfASilentTargetIsNotCut(t *testing.T) {
	for _, c := range []struct {
		engines, silent int
		slack           float64
	}{
		{engines: 1, silent: 1, slack: unlimitedSlack},
		{engines: 2, silent: 1, slack: noSlack},
		{engines: 2, silent: 2, slack: noSlack},
		{engines: 2, silent: 2, slack: unlimitedSlack},
	} {
		t.Run(fmt.Sprintf("%d of %d, slack %v", c.silent, c.engines, c.slack), func(t *testing.T) {
			t.Parallel()
			var engines []managed.ReplicaOptions
			for n := range c.engines {
				engines = append(engines, slowStreams(fmt.Sprintf("g%d", n+1)))
			}
			f := startSettledFleet(t, c.slack, 2, engines...)
			f.publishConfig(withShortPauses)
			f.awaitVersion()
			f.checkAllWhole(f.sendWhileSilent(pathStream, 6, f.replicas[:c.silent], withShortPauses), expectedStream)
		})
	}
}

// TestAnswerOfASilentTargetIsNotRefused guards against a request that is refused because its target was
// silent for a time before its answer, and against one that may run once and ran twice.
func TestAnswerOfASilentTargetIsNotRefused(t *testing.T) {
	for _, path := range []string{pathIdempotent, pathNonIdempotent} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			slow := func(id string) managed.ReplicaOptions {
				options := opsReplicaForAllSenders(id)
				options.Pause = 2 * silentAfter
				return options
			}
			f := startSettledFleet(t, noSlack, 2, slow("o1"), slow("o2"))
			f.publishConfig(withShortPauses)
			f.awaitVersion()
			answers := f.sendWhileSilent(path, 6, f.replicas, withShortPauses)
			f.checkAllWhole(answers, managed.ExpectedAnswer)
			for _, got := range answers {
				if runs := f.journal.Runs(got.ID); path == pathNonIdempotent && len(runs) != 1 {
					t.Errorf("%s ran %d times", got.ID, len(runs))
				}
			}
		})
	}
}

// TestBrokenStreamPassesASilentTarget guards against a broken stream that waits to its deadline for the
// one target that was asked to go on, which is silent, while another one would.
func TestBrokenStreamPassesASilentTarget(t *testing.T) {
	const streams = 12
	f := startSettledFleet(t, unlimitedSlack, 2, slowStreams("g1"), slowStreams("g2"), slowStreams("g3"))
	edit := func(c *wire.Config) {
		withShortPauses(c)
		for n := range c.Routes {
			c.Routes[n].Attempts = 3
		}
	}
	f.publishConfig(edit)
	f.awaitVersion()
	var crash sync.WaitGroup
	crash.Go(func() {
		time.Sleep(silentAfter)
		f.replicas[1].FallSilent(2 * requestDeadline)
		f.replicas[0].Crash()
	})
	f.checkAllWhole(f.sendWhileSilent(pathStream, streams, nil, edit), expectedStream)
	crash.Wait()
}

// TestAnswerPassesTwoSilentTargets guards against a request that waits to its deadline for two silent
// targets, while its route allows a third one, which would answer.
func TestAnswerPassesTwoSilentTargets(t *testing.T) {
	f := startSettledFleet(t, unlimitedSlack, 2, opsReplica("o1"), opsReplica("o2"), opsReplica("o3"))
	edit := func(c *wire.Config) {
		withShortPauses(c)
		for n := range c.Routes {
			c.Routes[n].Attempts = 3
		}
	}
	f.publishConfig(edit)
	f.awaitVersion()
	for _, r := range f.replicas[:2] {
		r.FallSilent(2 * requestDeadline)
	}
	f.checkAllWhole(f.sendWhileSilent(pathIdempotent, 12, nil, edit), managed.ExpectedAnswer)
}
