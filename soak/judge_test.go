package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// callers send all the time.
	callers = 16
	// deadline is what their requests tell.
	deadline = 2 * time.Second
	// answerMargin is how much later an answer may end: a router may be frozen.
	answerMargin = longestFault + time.Second
	// leavesOneIn is how many requests there are to one whose caller leaves early.
	leavesOneIn = 10
	// earliestLeave bounds how long such a caller stays.
	earliestLeave = 100 * time.Millisecond
	// callerPause is the pause of a caller after a failure.
	callerPause = 5 * time.Millisecond
	// probeEvery is the pause between two looks at the versions in force.
	probeEvery = 15 * time.Millisecond
	// mostRuns is how often a request that may be repeated may run: the route's attempts.
	mostRuns = 2
)

const (
	pathOnce   = managed.DemoNonIdempotentPrefix + "deploy"
	pathSafe   = managed.DemoIdempotentPrefix + "purge"
	pathStream = managed.DemoStreamPrefix + "page"
)

// sent is a request that has ended.
type sent struct {
	path   string
	answer managed.Answer
	// router is the name of the router that it was sent to.
	router          string
	sentAt, endedAt time.Time
}

// judge sends requests and checks what comes of them.
type judge struct {
	*fleet
	caller *managed.Caller
	clock  pauseClock
	stop   context.CancelFunc
	active sync.WaitGroup
	served atomic.Int64

	mu  sync.Mutex
	all []sent
}

// startJudge starts the callers.
func startJudge(f *fleet, name string) *judge {
	ctx, stop := context.WithCancel(context.Background())
	j := &judge{fleet: f, caller: managed.NewCaller(name, deadline), stop: stop}
	for n := range callers {
		j.active.Go(func() { j.call(ctx, rand.New(rand.NewPCG(uint64(n), 1))) })
	}
	j.active.Go(func() { j.watchVersions(ctx) })
	clockCtx, stopClock := context.WithCancel(context.Background())
	go j.clock.run(clockCtx) // also while the last requests end
	f.t.Cleanup(func() { stop(); j.active.Wait(); stopClock(); j.caller.Close() })
	return j
}

// end lets the requests that are under way end.
func (j *judge) end() {
	j.stop()
	j.active.Wait()
}

// call sends one request after the other until ctx ends.
func (j *judge) call(ctx context.Context, random *rand.Rand) {
	paths := []string{pathOnce, pathSafe, pathStream}
	for ctx.Err() == nil {
		r := j.routers[random.IntN(len(j.routers))]
		one := sent{path: paths[random.IntN(len(paths))], router: r.Name, sentAt: time.Now()}
		limit := deadline + answerMargin
		leaves := random.IntN(leavesOneIn) == 0
		if leaves {
			limit = time.Duration(random.Int64N(int64(earliestLeave)))
		}
		own, cancel := context.WithCancel(context.Background())
		stopLimit := j.clock.afterRunning(limit, cancel)
		one.answer = j.caller.Send(own, r.Settings.Listen.Callers, one.path, managed.DemoKey)
		one.endedAt = time.Now()
		stopLimit()
		if own.Err() != nil && !leaves {
			j.t.Errorf("%s had no end within %s at %s: status %d, %q", one.answer.ID, limit, r.Name, one.answer.Status, one.answer.Body)
			j.explainNoEnd(one)
		}
		cancel()
		j.judgeAnswer(r.Name, one)
		j.mu.Lock()
		j.all = append(j.all, one)
		j.mu.Unlock()
		if one.answer.Status != http.StatusOK {
			time.Sleep(callerPause)
		}
	}
}

// explainNoEnd logs what tells a request without an end from callers that did not run.
func (j *judge) explainNoEnd(one sent) {
	targets := []string{}
	for _, run := range j.journal.Runs(one.answer.ID) {
		targets = append(targets, run.Replica+" from "+run.StartedAt.Format(noteTime))
	}
	j.t.Logf("%s: %s, sent at %s, took %s, of which this process did not run for %s; runs %q",
		one.answer.ID, one.path, one.sentAt.Format(noteTime), one.endedAt.Sub(one.sentAt),
		j.clock.within(one.sentAt, one.endedAt), targets)
}

// judgeAnswer checks one answer by itself.
func (j *judge) judgeAnswer(router string, one sent) {
	got := one.answer
	switch got.Status {
	case http.StatusOK:
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest:
		j.t.Errorf("%s was refused with status %d at %s", got.ID, got.Status, router)
		return
	default:
		return
	}
	want := managed.ExpectedAnswer(got.ID)
	if one.path == pathStream {
		want = managed.ExpectedStream(got.ID, events)
	}
	switch {
	case got.Complete && got.Body != want:
		j.t.Errorf("%s got a wrong answer at %s: %q", got.ID, router, got.Body)
	case !strings.HasPrefix(want, got.Body):
		j.t.Errorf("%s got a torn answer at %s: %q", got.ID, router, got.Body)
	case got.Complete:
		j.served.Add(1)
	}
}

// watchVersions looks which versions are in force at the routers: none may go back
// while its process lives. Each version accepts a key of its own.
func (j *judge) watchVersions(ctx context.Context) {
	type process struct {
		router *router
		starts int
	}
	random := rand.New(rand.NewPCG(0, 2))
	highest := make(map[process]uint64)
	for ; ctx.Err() == nil; time.Sleep(probeEvery) {
		r := j.routers[random.IntN(len(j.routers))]
		now := process{r, j.startsOf(r)}
		version := max(highest[now], 2*(1+uint64(random.Int64N(int64(j.newest()/2)))))
		if random.IntN(2) == 0 {
			version = 2 * (1 + uint64(random.Int64N(int64(j.newest()/2))))
		}
		if !j.accepts(r, version) || j.startsOf(r) != now.starts {
			continue
		}
		if version < highest[now] {
			j.t.Errorf("%s went back from version %d to %d", r.Name, highest[now], version)
		}
		highest[now] = max(highest[now], version)
	}
}

func (j *judge) startsOf(r *router) int {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return r.starts
}

// accepts says whether a version's own key is accepted at a router.
func (j *judge) accepts(r *router, version uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+answerMargin)
	defer cancel()
	return j.caller.Send(ctx, r.Settings.Listen.Callers, pathSafe, versionKey(version)).Status == http.StatusOK
}

// notRun says whether a status promises that nothing ran.
func notRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// judgeRuns holds what callers were told against what the replicas ran.
func (j *judge) judgeRuns() {
	runs := make(map[string]int)
	for _, run := range j.journal.Runs("") {
		runs[run.ID]++
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, one := range j.all {
		ran := runs[one.answer.ID]
		switch {
		case notRun(one.answer.Status) && ran > 0:
			j.t.Errorf("%s (%s) was told %d, not run, and ran %d times", one.answer.ID, one.path, one.answer.Status, ran)
		case one.path == pathOnce && ran > 1:
			j.t.Errorf("%s may run once, and ran %d times", one.answer.ID, ran)
		case ran > mostRuns:
			j.t.Errorf("%s ran %d times", one.answer.ID, ran)
		case one.answer.Status == http.StatusOK && ran == 0:
			j.t.Errorf("%s was answered and never ran", one.answer.ID)
		}
	}
}

// counts counts the answers by status; zero for none.
func (j *judge) counts() map[int]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[int]int)
	for _, one := range j.all {
		counts[one.answer.Status]++
	}
	return counts
}
