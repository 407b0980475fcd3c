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
	// callerCount is the number of callers, which send requests all the time.
	callerCount = 16
	// requestDeadline is the deadline that callers send with their requests.
	requestDeadline = 2 * time.Second
	// answerMargin is how long after its deadline an answer may end, because a router may
	// be frozen.
	answerMargin = maxFaultTime + time.Second
	// requestsPerDisconnect is the number of requests for each one whose caller disconnects
	// early.
	requestsPerDisconnect = 10
	// maxTimeToDisconnect limits how long such a caller stays connected.
	maxTimeToDisconnect = 100 * time.Millisecond
	// failurePause is the pause of a caller after a request that was not served.
	failurePause = 5 * time.Millisecond
	// versionProbePause is the pause between two probes of the versions in force.
	versionProbePause = 15 * time.Millisecond
)

const (
	pathNonIdempotent = managed.DemoNonIdempotentPrefix + "deploy"
	pathIdempotent    = managed.DemoIdempotentPrefix + "purge"
	pathStream        = managed.DemoStreamPrefix + "page"
)

// sentRequest is a request that has ended.
type sentRequest struct {
	path   string
	answer managed.Answer
	// router is the name of the router that it was sent to.
	router          string
	sentAt, endedAt time.Time
	// disconnects is set if its caller was to disconnect early.
	disconnects bool
	// first is the id of the request that brought the first event of the stream to which
	// this one reconnects, and after the last event that the caller has; empty if it does not.
	first, after string
}

// checker sends requests and checks their answers and runs.
type checker struct {
	*fleet
	caller *managed.Caller
	clock  pauseClock
	// ctx ends when the callers are to stop.
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	// served counts the requests that were answered completely.
	served atomic.Int64

	mu       sync.Mutex
	requests []sentRequest
}

// startChecker starts the callers and the watch of versions.
func startChecker(f *fleet, name string) *checker {
	ctx, stop := context.WithCancel(context.Background())
	c := &checker{fleet: f, caller: managed.NewCaller(name, requestDeadline), ctx: ctx, stop: stop}
	if f.plan != nil {
		c.caller = managed.NewKeepingCaller(name, plannedDeadline)
	}
	callers := callerCount
	if f.plan != nil {
		callers = plannedCallers
	}
	for n := range callers {
		c.workers.Go(func() { c.call(ctx, rand.New(rand.NewPCG(uint64(n), 1))) })
	}
	c.workers.Go(func() { c.watchVersions(ctx) })
	clockCtx, stopClock := context.WithCancel(context.Background())
	go c.clock.run(clockCtx) // it must run until the last request has ended
	f.t.Cleanup(func() { stop(); c.workers.Wait(); stopClock(); c.caller.Close() })
	return c
}

// finish stops the callers and waits until the requests in progress have ended.
func (c *checker) finish() {
	c.stop()
	c.workers.Wait()
}

// call sends one request after the other until ctx ends.
func (c *checker) call(ctx context.Context, random *rand.Rand) {
	paths := []string{pathNonIdempotent, pathIdempotent, pathStream}
	if c.plan != nil {
		paths = append(paths, pathMore, pathOnce)
	}
	for ctx.Err() == nil {
		request := c.send(random, sentRequest{path: paths[random.IntN(len(paths))]})
		if c.callersReconnect && request.path == pathStream {
			c.reconnect(random, request)
		}
	}
}

// send sends a request to a random router and checks its answer. Some callers disconnect early.
func (c *checker) send(random *rand.Rand, request sentRequest) sentRequest {
	r := c.routers[random.IntN(len(c.routers))]
	request.router, request.sentAt = r.Name, time.Now()
	limit := c.caller.Deadline + answerMargin
	request.disconnects = random.IntN(requestsPerDisconnect) == 0
	if request.disconnects {
		limit = time.Duration(random.Int64N(int64(maxTimeToDisconnect)))
	}
	requestCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopLimit := c.clock.afterRunTime(limit, cancel)
	content := managed.Request{Path: request.path, Key: managed.DemoKey, Resumes: request.first, AfterEvent: request.after}
	request.answer = c.caller.SendRequest(requestCtx, r.Settings.Listen.Callers, content)
	request.endedAt = time.Now()
	stopLimit()
	if requestCtx.Err() != nil && !request.disconnects {
		c.t.Errorf("%s did not end within %s at %s: status %d, %q", request.answer.ID, limit, r.Name, request.answer.Status, request.answer.Body)
		c.logNoEnd(request)
	}
	c.checkAnswer(r.Name, request)
	c.mu.Lock()
	c.requests = append(c.requests, request)
	c.mu.Unlock()
	if request.answer.Status != http.StatusOK {
		time.Sleep(failurePause)
	}
	return request
}

// logNoEnd logs the details of a request that did not end in time, to show whether the request
// hung or this process did not run.
func (c *checker) logNoEnd(request sentRequest) {
	runs := []string{}
	for _, run := range c.journal.Runs(request.answer.ID) {
		runs = append(runs, run.Replica+" from "+run.StartedAt.Format(noteTimeFormat))
	}
	c.t.Logf("%s: %s, sent at %s, took %s, of which this process did not run for %s; runs %q",
		request.answer.ID, request.path, request.sentAt.Format(noteTimeFormat), request.endedAt.Sub(request.sentAt),
		c.clock.pausedBetween(request.sentAt, request.endedAt), runs)
}

// checkAnswer checks one answer, without the journal of runs.
func (c *checker) checkAnswer(router string, request sentRequest) {
	got := request.answer
	switch got.Status {
	case http.StatusOK:
	case http.StatusNotFound:
		if request.path != pathMore {
			c.t.Errorf("%s was refused with status %d at %s", got.ID, got.Status, router)
		}
		return
	case http.StatusUnauthorized, http.StatusBadRequest:
		c.t.Errorf("%s was refused with status %d at %s", got.ID, got.Status, router)
		return
	default:
		return
	}
	want := managed.ExpectedAnswer(got.ID)
	if isStream(request.path) {
		want = managed.ExpectedStreamAfter(got.ID, request.after, events)
	}
	switch {
	case got.Complete && got.Body != want:
		c.t.Errorf("%s got a wrong answer at %s: %q", got.ID, router, got.Body)
	case !strings.HasPrefix(want, got.Body):
		c.t.Errorf("%s got a corrupt partial answer at %s: %q", got.ID, router, got.Body)
	case got.Complete:
		c.served.Add(1)
	}
}

// watchVersions probes which versions are in force at the routers: no router may return to an
// older version while its process runs. A probe is a request with the key that only the probed
// version accepts.
func (c *checker) watchVersions(ctx context.Context) {
	type process struct {
		router *router
		starts int
	}
	random := rand.New(rand.NewPCG(0, 2))
	highest := make(map[process]uint64)
	for ; ctx.Err() == nil; time.Sleep(versionProbePause) {
		r := c.routers[random.IntN(len(c.routers))]
		now := process{r, c.startsOf(r)}
		version := max(highest[now], 2*(1+uint64(random.Int64N(int64(c.newestVersion()/2)))))
		if random.IntN(2) == 0 {
			version = 2 * (1 + uint64(random.Int64N(int64(c.newestVersion()/2))))
		}
		if !c.acceptsVersion(r, version) || c.startsOf(r) != now.starts {
			continue
		}
		if version < highest[now] {
			c.t.Errorf("%s returned from version %d to %d", r.Name, highest[now], version)
		}
		highest[now] = max(highest[now], version)
	}
}

func (c *checker) startsOf(r *router) int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return r.startCount
}

// acceptsVersion reports whether a router accepts the key of a version.
func (c *checker) acceptsVersion(r *router, version uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.caller.Deadline+answerMargin)
	defer cancel()
	return c.caller.Send(ctx, r.Settings.Listen.Callers, pathIdempotent, versionKey(version)).Status == http.StatusOK
}

// notRun reports whether a status promises that the request did not run.
func notRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkRuns compares the answers that callers got with the runs in the replicas' journal.
func (c *checker) checkRuns() {
	runs := make(map[string]int)
	for _, run := range c.journal.Runs("") {
		runs[run.ID]++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		ran := runs[request.answer.ID]
		_, attempts := c.limitsBetween(request.sentAt, request.endedAt)
		switch {
		case notRun(request.answer.Status) && ran > 0:
			c.t.Errorf("%s (%s) was refused as not run with status %d, but ran %d times", request.answer.ID, request.path, request.answer.Status, ran)
		case (request.path == pathNonIdempotent || request.path == pathOnce) && ran > 1:
			c.t.Errorf("%s may run once, but ran %d times", request.answer.ID, ran)
		case ran > attempts:
			c.t.Errorf("%s ran %d times", request.answer.ID, ran)
		case request.answer.Status == http.StatusOK && ran == 0:
			c.t.Errorf("%s was answered, but never ran", request.answer.ID)
		}
	}
}

// counts counts the requests by the status of their answers; status 0 stands for no answer.
func (c *checker) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for _, request := range c.requests {
		counts[request.answer.Status]++
	}
	return counts
}
