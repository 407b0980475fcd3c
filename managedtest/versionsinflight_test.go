package managedtest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// runTime is about how long each request takes in tests of versions that come meanwhile.
	runTime = 1600 * time.Millisecond
	// targetSettleTime is longer than schedulers give new targets one request at a time.
	targetSettleTime = 600 * time.Millisecond
	// otherService and otherEngine are services to which versions move routes.
	otherService, otherEngine = "other-ops", "other-gen"
	// otherWorkspaceKey is the key of another workspace.
	otherWorkspaceKey = "key-of-library"
)

// lastingReplicas describes replicas of all services whose answers take runTime.
func lastingReplicas() []managed.ReplicaOptions {
	var replicas []managed.ReplicaOptions
	for _, service := range []string{managed.DemoService, otherService} {
		for n := range 2 {
			options := opsReplica(fmt.Sprintf("%s-%d", service, n))
			options.Service, options.Slots, options.Pause = service, 64, runTime
			replicas = append(replicas, options)
		}
	}
	for _, engine := range []string{managed.DemoEngine, otherEngine} {
		for n := range 2 {
			options := genReplica(fmt.Sprintf("%s-%d", engine, n))
			options.Service, options.Slots, options.Pause = engine, 64, runTime/streamEvents
			replicas = append(replicas, options)
		}
	}
	return replicas
}

// withOtherServices adds the services of lastingReplicas that DemoConfig lacks, and a second
// workspace.
func withOtherServices(c *wire.Config) {
	engine := *c.Services[1].Engine
	c.Services = append(c.Services, wire.Service{Name: otherService}, wire.Service{Name: otherEngine, Engine: &engine})
	c.Tenants = append(c.Tenants, wire.Tenant{Name: "library", Keys: []string{otherWorkspaceKey}})
}

// versionChange is a change of the configuration. edit is called after withOtherServices.
type versionChange struct {
	name string
	edit func(*wire.Config)
	// noTarget is set if no target may run a request any more that began before.
	noTarget bool
}

// eachRoute returns an edit that changes all routes.
func eachRoute(edit func(*wire.Route)) func(*wire.Config) {
	return func(c *wire.Config) {
		for n := range c.Routes {
			edit(&c.Routes[n])
		}
	}
}

// moveRoutes moves all routes to other services.
func moveRoutes(c *wire.Config) {
	c.Routes[0].Service, c.Routes[1].Service, c.Routes[2].Service = otherService, otherService, otherEngine
}

// removeServices moves all routes to other services and removes those that served them.
func removeServices(c *wire.Config) {
	moveRoutes(c)
	c.Services = c.Services[2:]
}

// limitRoutes returns an edit that sets the time limit of all routes.
func limitRoutes(limit time.Duration) func(*wire.Config) {
	return eachRoute(func(r *wire.Route) { r.Timeout = float64(limit.Milliseconds()) })
}

// versionChanges are changes that come while requests run.
var versionChanges = []versionChange{
	{name: "time limit lowered", edit: limitRoutes(runTime / 2)},
	{name: "time limit raised", edit: limitRoutes(time.Minute)},
	{name: "attempts lowered", edit: eachRoute(func(r *wire.Route) { r.Attempts = 1 })},
	{name: "routes removed", edit: func(c *wire.Config) { c.Routes = nil }},
	{name: "prefix changed", edit: eachRoute(func(r *wire.Route) { r.Prefix = "/elsewhere" + r.Prefix })},
	{name: "host changed", edit: eachRoute(func(r *wire.Route) { r.Host = "elsewhere.example" })},
	{name: "kind changed", edit: func(c *wire.Config) {
		c.Routes[0].Kind, c.Routes[1].Kind, c.Routes[2].Kind = wire.Idempotent, wire.NonIdempotent, wire.NonIdempotent
	}},
	{name: "streams not resumable", edit: func(c *wire.Config) { c.Routes[2].Resumable = false }},
	{name: "workspace removed", edit: func(c *wire.Config) { c.Tenants = c.Tenants[1:] }},
	{name: "all workspaces removed", edit: func(c *wire.Config) { c.Tenants = nil }},
	{name: "key replaced", edit: func(c *wire.Config) { c.Tenants[0].Keys = []string{"another"} }},
	{name: "key moved", edit: func(c *wire.Config) {
		c.Tenants[0].Keys = []string{"another"}
		c.Tenants[1].Keys = append(c.Tenants[1].Keys, key)
	}},
	{name: "routes moved", edit: moveRoutes},
	{name: "routes moved, services removed", edit: removeServices, noTarget: true},
	{name: "services removed", edit: func(c *wire.Config) { c.Services = nil }, noTarget: true},
	{name: "everything removed", edit: func(c *wire.Config) { c.Routes, c.Services, c.Tenants = nil, nil, nil }, noTarget: true},
	{name: "routes split", edit: func(c *wire.Config) {
		c.Routes[0].Split = []wire.Share{{Service: managed.DemoService, Weight: 0.1}, {Service: otherService, Weight: 0.9}}
		c.Routes[2].Split = []wire.Share{{Service: managed.DemoEngine, Weight: 0}, {Service: otherEngine, Weight: 1}}
	}},
	{name: "engine became a plain service", edit: func(c *wire.Config) { c.Services[1].Engine = nil }},
	{name: "engine shrunk", edit: func(c *wire.Config) { c.Services[1].Engine.Slots, c.Services[1].Engine.MemoryTokens = 1, 200 }},
	{name: "rate of tokens lowered", edit: func(c *wire.Config) { c.Limits.TokensPerSecond = 1 }},
	{name: "objectives tightened", edit: eachRoute(func(r *wire.Route) { r.Objective, r.EventPause, r.Priority = 1, 1, -5 })},
	{name: "other regions only", edit: eachRoute(func(r *wire.Route) { r.Regions = []string{"northern"} }), noTarget: true},
	{name: "workspace in other regions only", edit: func(c *wire.Config) { c.Tenants[0].Regions = []string{"northern"} }, noTarget: true},
	{name: "routes public", edit: eachRoute(func(r *wire.Route) { r.Public = true })},
	{name: "cold start declared", edit: func(c *wire.Config) { c.Services[0].ColdSeconds, c.Services[0].ColdPerSecond = 60, 0.01 }},
}

// wholeBody returns the body of a complete answer to a request.
func wholeBody(path, id string) string {
	if path == pathStream {
		return expectedStream(id)
	}
	return managed.ExpectedAnswer(id)
}

// isWhole reports whether an answer to a request is complete.
func isWhole(path string, got managed.Answer) bool {
	return got.Status == http.StatusOK && got.Complete && got.Body == wholeBody(path, got.ID)
}

// kinds are the paths of one route of each kind.
var kinds = []string{pathNonIdempotent, pathIdempotent, pathStream}

// pathAnswer is an answer with the path of its request, and how long it took.
type pathAnswer struct {
	path string
	managed.Answer
	took time.Duration
}

// sendKinds is sendPaths with requests of each kind.
func (f *fleet) sendKinds(meanwhile func()) []pathAnswer { return f.sendPaths(kinds, meanwhile) }

// sendPaths sends requests with the given paths to each router, and calls meanwhile once all of
// them run.
func (f *fleet) sendPaths(paths []string, meanwhile func()) []pathAnswer {
	f.t.Helper()
	var mu sync.Mutex
	var answers []pathAnswer
	var callers sync.WaitGroup
	begun := len(f.journal.Runs(""))
	for _, r := range f.routers {
		for _, path := range paths {
			callers.Go(func() {
				sent := time.Now()
				got := f.send(r, path)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, pathAnswer{path, got, time.Since(sent)})
			})
		}
	}
	f.eventually(testTimeout, "all requests run", func() bool {
		return len(f.journal.Runs(""))-begun >= len(f.routers)*len(paths)
	})
	meanwhile()
	mu.Lock()
	if len(answers) > 0 {
		f.t.Errorf("%d requests had ended before the version was in force", len(answers))
	}
	mu.Unlock()
	callers.Wait()
	return answers
}

// logOf returns the log lines of a request at all routers, for messages.
func (f *fleet) logOf(id string) string {
	var lines []string
	for _, log := range f.logs {
		lines = append(lines, log.linesWith("request="+id+" ")...)
	}
	return strings.Join(lines, "\n")
}

// startVersionFleet starts two routers and lastingReplicas, with a version that declares the
// services.
func startVersionFleet(t *testing.T, edit func(*wire.Config)) *fleet {
	t.Helper()
	f := startFleet(t, 2, lastingReplicas()...)
	f.waitJoined()
	time.Sleep(targetSettleTime)
	f.publishEdited(edit)
	return f
}

// publishEdited publishes a version that withOtherServices and edit have changed, and waits
// until it is in force. edit may be nil.
func (f *fleet) publishEdited(edit func(*wire.Config)) {
	f.t.Helper()
	f.publishConfig(func(c *wire.Config) {
		withOtherServices(c)
		if edit != nil {
			edit(c)
		}
	})
	f.awaitVersion()
}

// TestVersionCutsNoRun guards against a version of the configuration that breaks off or refuses
// requests that run already.
func TestVersionCutsNoRun(t *testing.T) {
	for _, change := range versionChanges {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			f := startVersionFleet(t, nil)
			for _, got := range f.sendKinds(func() { f.publishEdited(change.edit) }) {
				if runs := f.journal.Runs(got.ID); !isWhole(got.path, got.Answer) || len(runs) != 1 {
					t.Errorf("%s: status %d, complete %v, %q, %d runs\n%s", got.path, got.Status, got.Complete, got.Body, len(runs), f.logOf(got.ID))
				}
			}
		})
	}
}

// TestRaisedLimitIsNotThatOfARun guards against a request that takes longer than the limit of
// the version that it began under, because a later version raised it.
func TestRaisedLimitIsNotThatOfARun(t *testing.T) {
	const limit = shortLimit
	f := startVersionFleet(t, limitRoutes(limit))
	for _, got := range f.sendKinds(func() { f.publishEdited(limitRoutes(time.Minute)) }) {
		if got.took > limit+endMargin {
			t.Errorf("%s: took %s of %s", got.path, got.took, limit)
		}
		if got.path != pathStream && got.Status != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d", got.path, got.Status)
		}
		if got.path == pathStream && (got.Complete || got.Status != http.StatusOK) {
			t.Errorf("%s: status %d, complete %v", got.path, got.Status, got.Complete)
		}
	}
}

// startFailingFleet starts two routers with a replica of each kind of service that fails its
// requests after half of runTime, after which others are to run them, and sound replicas of the
// services to which versions move routes.
func startFailingFleet(t *testing.T) *fleet {
	t.Helper()
	loses := opsReplica("loses")
	loses.LoseAnswers, loses.Slots, loses.Pause = true, 64, runTime/2
	breaks := genReplica("breaks")
	breaks.BreakAfterEvents, breaks.Slots, breaks.Pause = streamEvents/2, 64, runTime/streamEvents
	elsewhere, otherGen := opsReplica("elsewhere"), genReplica("other-engine")
	elsewhere.Service, otherGen.Service = otherService, otherEngine
	f := startSettledFleet(t, unlimitedSlack, 2, loses, breaks, elsewhere, otherGen)
	f.publishEdited(nil)
	return f
}

// TestRetryAfterAVersion requires that a retry or a resumption follows the route and workspace of
// the version that the request began under, on the targets and in the regions of the newest one.
// Guards against answers that are cut because a version came before the first target failed.
func TestRetryAfterAVersion(t *testing.T) {
	for _, change := range versionChanges {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			f := startFailingFleet(t)
			paths := []string{pathIdempotent, pathStream}
			answers := f.sendPaths(paths, func() {
				f.addReplica(opsReplica("sound"))
				f.addReplica(genReplica("sound-engine"))
				f.awaitTarget("sound", false)
				f.awaitTarget("sound-engine", false)
				f.publishEdited(change.edit)
			})
			for _, got := range answers {
				runs := f.journal.Runs(got.ID)
				switch {
				case !change.noTarget && isWhole(got.path, got.Answer) && len(runs) == 2:
				case change.noTarget && got.path == pathIdempotent && got.Status == http.StatusBadGateway && got.Complete && len(runs) == 1:
				case change.noTarget && got.path == pathStream && got.Status == http.StatusOK && !got.Complete && len(runs) == 1:
				default:
					t.Errorf("%s: status %d, complete %v, %q, %d runs\n%s", got.path, got.Status, got.Complete, got.Body, len(runs), f.logOf(got.ID))
				}
			}
		})
	}
}

// TestVersionAnswersWaitingRequests guards against requests that get neither an answer nor a true
// refusal, because a version came while they waited for a slot.
func TestVersionAnswersWaitingRequests(t *testing.T) {
	for _, change := range versionChanges {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			ops, gen := opsReplica("ops"), genReplica("gen")
			ops.Slots, ops.Pause = 1, runTime/4
			gen.Slots, gen.Pause = 1, runTime/4/streamEvents
			elsewhere, otherGen := opsReplica("elsewhere"), genReplica("other-engine")
			elsewhere.Service, otherGen.Service = otherService, otherEngine
			f := startFleet(t, 2, ops, gen, elsewhere, otherGen)
			f.waitJoined()
			f.publishEdited(eachRoute(func(r *wire.Route) { r.Objective = 0 }))
			var callers sync.WaitGroup
			for _, r := range f.routers {
				for _, path := range append(kinds, kinds...) {
					callers.Go(func() { f.checkAnsweredOrNotRun(path, f.send(r, path)) })
				}
			}
			time.Sleep(runTime / 8)
			f.publishEdited(change.edit)
			callers.Wait()
		})
	}
}

// checkAnsweredOrNotRun checks that a request was answered completely, or refused as not run and
// did not run.
func (f *fleet) checkAnsweredOrNotRun(path string, got managed.Answer) {
	f.t.Helper()
	runs := len(f.journal.Runs(got.ID))
	isRefused := got.Status == http.StatusServiceUnavailable && got.Complete && runs == 0
	if !isRefused && (!isWhole(path, got) || runs != 1) {
		f.t.Errorf("%s: status %d, complete %v, %q, %d runs\n%s", path, got.Status, got.Complete, got.Body, runs, f.logOf(got.ID))
	}
}

var (
	versionsSeeds = flag.Int("versions.seeds", 1, "number of seeds of TestSeriesOfVersionsCutsNothing")
	versionsTime  = flag.Duration("versions.time", 4*time.Second, "how long TestSeriesOfVersionsCutsNothing publishes versions for each seed")
)

const (
	// minSeriesLimit is the lowest time limit of routes in a series of versions. All answers that
	// do not wait take less.
	minSeriesLimit = 3 * time.Second
	// Versions follow each other after a time between these.
	minVersionInterval, maxVersionInterval = 50 * time.Millisecond, 300 * time.Millisecond
	// seriesCallers is the number of callers of each kind at each router.
	seriesCallers = 6
)

// randomEdit returns one to three changes of the configuration in one, with a random time limit.
func randomEdit(random *rand.Rand) func(*wire.Config) {
	count, order := 1+random.IntN(3), random.Perm(len(versionChanges))
	limit := minSeriesLimit + time.Duration(random.Int64N(int64(time.Minute)))
	return func(c *wire.Config) {
		for _, n := range order[:count] {
			if len(c.Routes) == 3 && len(c.Services) == 4 && len(c.Tenants) == 2 { // what edits expect
				versionChanges[n].edit(c)
			}
		}
		limitRoutes(limit)(c)
	}
}

// TestSeriesOfVersionsCutsNothing guards against answers that are cut, and kept connections that
// are closed without an answer, while versions follow one another closely.
func TestSeriesOfVersionsCutsNothing(t *testing.T) {
	for seed := range *versionsSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			f := startVersionFleet(t, nil)
			ctx, stop := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			var mu sync.Mutex
			whole := make(map[string]int)
			for _, r := range f.routers {
				for _, path := range kinds {
					for range seriesCallers {
						callers.Go(func() {
							for ctx.Err() == nil {
								if f.checkNotCut(path, r) {
									mu.Lock()
									whole[path]++
									mu.Unlock()
								}
							}
						})
					}
				}
			}
			for end := time.Now().Add(*versionsTime); time.Now().Before(end); {
				edit := randomEdit(random)
				f.publishConfig(func(c *wire.Config) {
					withOtherServices(c)
					if random.IntN(2) == 0 {
						edit(c)
					}
				})
				time.Sleep(minVersionInterval + time.Duration(random.Int64N(int64(maxVersionInterval-minVersionInterval))))
			}
			stop()
			callers.Wait()
			for _, path := range kinds {
				if t.Logf("%s: %d whole answers", path, whole[path]); whole[path] == 0 {
					t.Errorf("%s was never answered", path)
				}
			}
		})
	}
}

// checkNotCut sends a request and checks that it gets an answer that is not cut: one of its
// target or a true refusal. It reports whether the answer is that of the target.
func (f *fleet) checkNotCut(path string, r *router.Router) bool {
	sent := time.Now()
	got := f.send(r, path)
	if isWhole(path, got) {
		return true
	}
	runs := len(f.journal.Runs(got.ID))
	isRefused := got.Status >= http.StatusBadRequest && got.Complete && runs == 0
	isLate := got.Status != 0 && time.Since(sent) >= minSeriesLimit
	if !isRefused && !isLate {
		f.t.Errorf("%s: status %d, complete %v after %s, %q, %d runs\n%s", path, got.Status, got.Complete, time.Since(sent), got.Body, runs, f.logOf(got.ID))
	}
	time.Sleep(minVersionInterval)
	return false
}
