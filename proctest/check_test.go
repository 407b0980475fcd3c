package proctest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/targets"
)

// entries returns the journal entries of the named targets, or of all targets if
// none is named. The entries of each target are in the order of its journal.
func (f *fleet) entries(names ...string) []journal.Entry {
	f.t.Helper()
	if len(names) == 0 {
		for name := range f.targets {
			names = append(names, name)
		}
	}
	var all []journal.Entry
	for _, name := range names {
		var entries []journal.Entry
		f.must(get("http://"+f.targets[name].Address+"/_journal", &entries))
		all = append(all, entries...)
	}
	return all
}

// awaitIdleTargets waits until no target runs or queues anything, so that every
// run that a late request may cause has started.
func (f *fleet) awaitIdleTargets() {
	f.t.Helper()
	for name, process := range f.targets {
		f.eventually(name+" is idle", func() bool {
			var now targets.Load
			err := get("http://"+process.Address+"/load", &now)
			return err == nil && now.Running+now.Queued == 0
		})
	}
}

// isStart reports whether an entry records the start of a run.
func isStart(e journal.Entry) bool { return e.Event == journal.Started }

// results collects the results that callers saw. It is safe for concurrent use.
type results struct {
	mu  sync.Mutex
	all []load.Result
}

func (r *results) add(result load.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, result)
}

func (r *results) list() []load.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]load.Result(nil), r.all...)
}

func (r *results) count(matches func(load.Result) bool) int {
	n := 0
	for _, result := range r.list() {
		if matches(result) {
			n++
		}
	}
	return n
}

func (r *results) countVerdict(verdict load.Verdict) int {
	return r.count(func(result load.Result) bool { return result.Verdict == verdict })
}

// String returns the number of results by verdict, and of refusals by code.
func (r *results) String() string {
	counts := make(map[string]int)
	for _, result := range r.list() {
		name := result.Verdict.String()
		if result.Verdict == load.Refused {
			name = fmt.Sprintf("refused %d ran=%s", result.Code, result.Ran)
		}
		counts[name]++
	}
	return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(counts), "map["), "]")
}

// ranNo is the value of load.Result.Ran for a request that did not run.
const ranNo = "no"

// notRun reports whether a request was refused as not run.
func notRun(r load.Result) bool { return r.Verdict == load.Refused && r.Ran == ranNo }

// checkNotRun fails for every request that was refused as not run although a
// target started it, or without a request ID. It returns the number of requests
// refused as not run.
func (f *fleet) checkNotRun(all []load.Result) int {
	f.t.Helper()
	starts := make(map[string]string)
	for _, e := range f.entries() {
		if isStart(e) {
			starts[e.RequestID] = e.Target
		}
	}
	refused := 0
	for _, r := range all {
		if !notRun(r) {
			continue
		}
		refused++
		if r.RequestID == "" {
			f.t.Errorf("a refusal with code %d of %s has no request ID", r.Code, r.Request.Mark)
		}
		if target, found := starts[r.RequestID]; found {
			f.t.Errorf("request %s (%s) was refused with code %d as not run, but %s started it", r.RequestID, r.Request.Mark, r.Code, target)
		}
	}
	return refused
}

// checkAtMostOnce fails for every Idempotency-Key whose request was started more
// than once, over all targets. It returns the number of starts by key.
func (f *fleet) checkAtMostOnce() map[string]int {
	f.t.Helper()
	starts := make(map[string]int)
	for _, e := range f.entries() {
		if isStart(e) && e.IdempotencyKey != "" {
			starts[e.IdempotencyKey]++
		}
	}
	for key, count := range starts {
		if count > 1 {
			f.t.Errorf("the non-idempotent request %s ran %d times", key, count)
		}
	}
	return starts
}

// checkAnswers fails for every answer that looked complete and was not, or that
// belonged to another request.
func (f *fleet) checkAnswers(all []load.Result) {
	f.t.Helper()
	for _, r := range all {
		if r.Verdict == load.Wrong {
			f.t.Errorf("request %s (%s) got a wrong answer: %s", r.RequestID, r.Request.Mark, r.Detail)
		}
	}
}

// checkResults makes all checks that hold for any load, once the targets are
// idle.
func (f *fleet) checkResults(all []load.Result) {
	f.t.Helper()
	f.awaitIdleTargets()
	f.checkNotRun(all)
	f.checkAtMostOnce()
	f.checkAnswers(all)
}

// mixedRequests returns a generator of requests, a third of each kind; service
// calls are non-idempotent. The marks of the requests begin with prefix.
func mixedRequests(prefix string) func(int, *rand.Rand) load.Request {
	return func(n int, random *rand.Rand) load.Request {
		return request(load.Kind(n%3), []string{"bakery", "school"}[random.IntN(2)], fmt.Sprintf("%s-%d", prefix, n), 1+random.IntN(20))
	}
}

// request returns a request of the given kind. A chat call is answered with that
// number of tokens; a service call takes 2 ms for each.
func request(kind load.Kind, workspace, mark string, tokens int) load.Request {
	r := load.Request{
		Kind:      kind,
		Workspace: workspace,
		Key:       key(workspace),
		Mark:      mark,
		Model:     model,
		Path:      servicePath + "/site",
		MaxTokens: tokens,
		Millis:    2 * tokens,
	}
	if kind == load.Service {
		r.IdempotencyKey = mark
	}
	return r
}

// traffic is a load that runs until it is stopped.
type traffic struct {
	results *results
	cancel  context.CancelFunc
	done    chan struct{}
}

// startTraffic starts callers that send through the given routers, or through
// all if none is given, until the traffic is stopped. A caller pauses for
// pollPause after a request that was not answered.
func (f *fleet) startTraffic(callers int, next func(int, *rand.Rand) load.Request, routers ...int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{results: &results{}, cancel: cancel, done: make(chan struct{})}
	run := load.Run{
		Routers: f.callersAddresses(routers...),
		Callers: callers,
		Seed:    1,
		Next:    next,
		Timeout: testTimeout,
		OnResult: func(r load.Result) {
			tr.results.add(r)
			if r.Verdict != load.Answered {
				time.Sleep(pollPause)
			}
		},
	}
	go func() {
		defer close(tr.done)
		run.Do(ctx)
	}()
	f.t.Cleanup(tr.stop)
	return tr
}

// stop ends the load after the requests in flight and waits for them.
func (tr *traffic) stop() {
	tr.cancel()
	<-tr.done
}

// awaitAnswered waits until a number of further requests were answered.
func (tr *traffic) awaitAnswered(f *fleet, answers int) {
	f.t.Helper()
	want := tr.results.countVerdict(load.Answered) + answers
	answered := func() bool { return tr.results.countVerdict(load.Answered) >= want }
	if !waitFor(testTimeout, answered) {
		f.t.Fatalf("%d of %d requests were answered; all results: %v", tr.results.countVerdict(load.Answered), want, tr.results)
	}
}

// awaitResults waits until a number of further results match.
func (tr *traffic) awaitResults(f *fleet, what string, count int, matches func(load.Result) bool) {
	f.t.Helper()
	want := tr.results.count(matches) + count
	f.eventually(fmt.Sprintf("%d more results are %s", count, what), func() bool {
		return tr.results.count(matches) >= want
	})
}
