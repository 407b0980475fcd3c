package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// minSilence and maxSilence limit how long a replica is silent, and minSpeech how long it
	// then goes on at least.
	minSilence = 500 * time.Millisecond
	maxSilence = 2500 * time.Millisecond
	minSpeech  = 500 * time.Millisecond
	// maxSilenceGap limits the pause between the beginnings of silences.
	maxSilenceGap = 2 * time.Second
	// plannedCallers is the number of callers, plannedDeadline their deadline and
	// plannedEventPause the time between events in a run with planned work alone: each stream
	// meets a silence now and then, and has the time to outlast two.
	plannedCallers    = 32
	plannedDeadline   = 6 * time.Second
	plannedEventPause = 50 * time.Millisecond
	// plannedRetryWindow is the window of the retry budget at every other router in such a run,
	// and plannedRetryRatio its ratio. Without them a process has hardly any retries, as it is
	// in its first window.
	plannedRetryWindow = time.Second
	plannedRetryRatio  = 1
	// lossSlack is how long after it was sent a request that reached no replica may be dropped:
	// it may cross the close of its connection.
	lossSlack = 200 * time.Millisecond
	// maxWorkAtOnce limits how long two replicas work on a stream once the second has sent an
	// event.
	maxWorkAtOnce = 400 * time.Millisecond
	// maxListed limits the failures of a kind that are listed.
	maxListed = 5
)

// TestSoakSilence makes runs in which replicas fall silent and go on, beside planned work alone:
// versions, reloads and shutdowns. It guards against answers that are cut because their sound
// target was silent.
func TestSoakSilence(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{silences: true, planned: true}) })
}

// silencer chooses which replicas fall silent and when. Its random choices are its own, so that
// they do not change the faults that a seed draws.
type silencer struct {
	random *rand.Rand
	// nextAt is when the next replicas may fall silent, and soundFrom from when on each that
	// did goes on.
	nextAt    time.Time
	soundFrom map[*replica]time.Time
}

// beginSilences has one replica, several or all of them fall silent, apart from those that
// hardly went on since their last silence.
func (f *faultInjector) beginSilences(now time.Time) {
	s := &f.silencer
	if now.Before(s.nextAt) {
		return
	}
	s.nextAt = now.Add(time.Duration(s.random.Int64N(int64(maxSilenceGap))))
	chosen := []int{1, 1 + s.random.IntN(len(f.replicas)), len(f.replicas)}[s.random.IntN(3)]
	for _, n := range s.random.Perm(len(f.replicas))[:chosen] {
		r := f.replicas[n]
		length := minSilence + time.Duration(s.random.Int64N(int64(maxSilence-minSilence)))
		if now.Before(s.soundFrom[r].Add(minSpeech)) {
			continue
		}
		s.soundFrom[r] = now.Add(length)
		r.FallSilent(length)
		f.note("%s is silent for %s", r.options.ID, length)
		f.begunByKind["silence"]++
	}
}

// awaitSpeech waits until no replica is silent.
func (s *silencer) awaitSpeech() {
	for _, at := range s.soundFrom {
		time.Sleep(time.Until(at))
	}
}

// mayTerminate reports whether at least half of the routers run without one more.
func (f *faultInjector) mayTerminate() bool {
	down := 0
	for _, r := range f.routers {
		if r.isDown {
			down++
		}
	}
	return 2*(down+1) <= len(f.routers)
}

// terminateInPlan is like terminate, while at least half of the routers run.
func (f *faultInjector) terminateInPlan() (string, func() bool) {
	if !f.mayTerminate() {
		return "", nil
	}
	return f.terminate()
}

// reloadSeries has a router read its settings several times. Each time they allow retries or
// none. Some series end with a shutdown.
func (f *faultInjector) reloadSeries() (string, func() bool) {
	r := f.randomFreeRouter()
	if r == nil {
		return "", nil
	}
	usual := r.Settings.Retries
	for range 1 + f.random.IntN(maxSeriesSignals) {
		if f.random.IntN(2) == 0 {
			r.Settings.Retries.Ratio, r.Settings.Retries.Slack = 0, 0
		}
		f.must(r.Reload())
		time.Sleep(f.randomUpTo(maxSignalGap))
		r.Settings.Retries = usual
	}
	if f.random.IntN(3) == 0 && f.mayTerminate() {
		r.isDown = true
		f.must(r.Terminate())
		return r.Name, f.startAfterEnd(r)
	}
	return r.Name, func() bool { f.must(r.Reload()); return true }
}

// changePlan publishes up to three versions in quick succession, each with a change of its own.
func (f *faultInjector) changePlan() (string, func() bool) {
	for range 1 + f.random.IntN(3) {
		f.note("plan: %s", f.plan.change(f.random))
		f.publishNextVersion()
	}
	return "version", func() bool { return true }
}

// failures collects the failures of a kind.
type failures struct {
	*checker
	kind  string
	count int
}

// add counts a failure, and lists it if it is one of the first.
func (f *failures) add(request sentRequest, runs []managed.Run) {
	f.count++
	if f.count > maxListed {
		return
	}
	f.t.Errorf("%s: %s %s at %s, sent at %s, took %s: status %d, %d bytes", f.kind, request.answer.ID, request.path, request.router,
		request.sentAt.Format(noteTimeFormat), request.endedAt.Sub(request.sentAt), request.answer.Status, len(request.answer.Body))
	for _, run := range runs {
		f.t.Logf("  run at %s from %s on, first event %s, ended %s", run.Replica, run.StartedAt.Format(noteTimeFormat),
			run.FirstEventAt.Format(noteTimeFormat), run.EndedAt.Format(noteTimeFormat))
	}
}

// checkSilence checks that no request ended without a complete answer before its time was used
// up, and that no stream was worked on by two replicas for long. No replica broke off, so that a
// request that was read has no other reason to remain without one.
func (c *checker) checkSilence() {
	runs := make(map[string][]managed.Run)
	for _, run := range c.journal.Runs("") {
		runs[run.ID] = append(runs[run.ID], run)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	streams, late, several, longest := 0, 0, 0, time.Duration(0)
	cut, lost, twice := failures{checker: c, kind: "cut"}, failures{checker: c, kind: "lost"}, failures{checker: c, kind: "two at work"}
	for _, request := range c.requests {
		answer, took, ran := request.answer, request.endedAt.Sub(request.sentAt), runs[request.answer.ID]
		if answer.Status == http.StatusOK && isStream(request.path) {
			streams++
		}
		limit, _ := c.limitsBetween(request.sentAt, request.endedAt)
		switch {
		case answer.Complete || answer.NotConnected || request.disconnects:
		case took >= min(limit, c.caller.Deadline):
			late++
		case answer.Status != 0:
			cut.add(request, ran)
		case len(ran) > 0 || took > lossSlack:
			lost.add(request, ran)
		}
		if !isStream(request.path) || len(ran) < 2 {
			continue
		}
		several++
		atOnce := c.workAtOnce(ran)
		longest = max(longest, atOnce)
		if atOnce > maxWorkAtOnce {
			twice.add(request, ran)
		}
	}
	c.t.Logf("%d requests, %d streams begun: %d answers cut, %d requests lost, %d ended as their time was used up, %d streams at several replicas, at once for %s at most",
		len(c.requests), streams, cut.count, lost.count, late, several, longest)
}

// workAtOnce returns the longest time for which two runs of a stream both went on after the
// second one had sent its first event.
func (c *checker) workAtOnce(runs []managed.Run) time.Duration {
	longest := time.Duration(0)
	end := func(run managed.Run) time.Time {
		if run.EndedAt.IsZero() {
			return time.Now()
		}
		return run.EndedAt
	}
	for n, second := range runs {
		if second.FirstEventAt.IsZero() {
			continue
		}
		for _, first := range runs[:n] {
			until := slices.MinFunc([]time.Time{end(first), end(second)}, time.Time.Compare)
			longest = max(longest, until.Sub(second.FirstEventAt)-c.clock.pausedBetween(second.FirstEventAt, until))
		}
	}
	return longest
}

// TestWorkAtOnce guards against a judge that overlooks two replicas at work on one stream, or that
// counts the time before the second one sent an event.
func TestWorkAtOnce(t *testing.T) {
	start := time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	first := managed.Run{StartedAt: at(0), FirstEventAt: at(50), EndedAt: at(2000)}
	var c checker
	for _, test := range []struct {
		second managed.Run
		want   time.Duration
	}{
		{managed.Run{StartedAt: at(1000), FirstEventAt: at(1200), EndedAt: at(1900)}, 700 * time.Millisecond},
		{managed.Run{StartedAt: at(1000), FirstEventAt: at(1700), EndedAt: at(3000)}, 300 * time.Millisecond},
		{managed.Run{StartedAt: at(1000), FirstEventAt: at(2100), EndedAt: at(3000)}, 0},
		{managed.Run{StartedAt: at(1000), EndedAt: at(3000)}, 0},
	} {
		if got := c.workAtOnce([]managed.Run{first, test.second}); got != test.want {
			t.Errorf("two replicas were at work for %s, want %s", got, test.want)
		}
	}
}
