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

// entries returns the journals of all targets, each in its own order.
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

// awaitQuiet waits until no target runs or queues anything, so that what a
// late request may still start has started.
func (f *fleet) awaitQuiet() {
	f.t.Helper()
	for name, process := range f.targets {
		f.eventually(name+" is idle", func() bool {
			var now targets.Load
			err := get("http://"+process.Address+"/load", &now)
			return err == nil && now.Running+now.Queued == 0
		})
	}
}

// started says whether an entry is a run's beginning.
func started(e journal.Entry) bool { return e.Event == journal.Started }

// results collects what callers saw. It is safe for concurrent use.
type results struct {
	mu  sync.Mutex
	all []load.Result
}

func (r *results) add(one load.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

func (r *results) list() []load.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]load.Result(nil), r.all...)
}

func (r *results) count(holds func(load.Result) bool) int {
	n := 0
	for _, one := range r.list() {
		if holds(one) {
			n++
		}
	}
	return n
}

func (r *results) verdicts(v load.Verdict) int {
	return r.count(func(one load.Result) bool { return one.Verdict == v })
}

// String counts the verdicts, and the refusals by code.
func (r *results) String() string {
	counts := make(map[string]int)
	for _, one := range r.list() {
		name := one.Verdict.String()
		if one.Verdict == load.Refused {
			name = fmt.Sprintf("refused %d ran=%s", one.Code, one.Ran)
		}
		counts[name]++
	}
	return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(counts), "map["), "]")
}

const ranNo = "no"

func notRun(r load.Result) bool { return r.Verdict == load.Refused && r.Ran == ranNo }

// judgeNotRun fails for every request that was refused as not run and that a
// target started. It returns how many were refused so.
func (f *fleet) judgeNotRun(all []load.Result) int {
	f.t.Helper()
	starts := make(map[string]string)
	for _, e := range f.entries() {
		if started(e) {
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
			f.t.Errorf("a refusal with code %d of %s names no request", r.Code, r.Request.Mark)
		}
		if ran, found := starts[r.RequestID]; found {
			f.t.Errorf("request %s (%s) was told %d, not run, but %s started it", r.RequestID, r.Request.Mark, r.Code, ran)
		}
	}
	return refused
}

// judgeOnce fails for every Idempotency-Key that was started more than once,
// over all targets. It returns the starts by key.
func (f *fleet) judgeOnce() map[string]int {
	f.t.Helper()
	starts := make(map[string]int)
	for _, e := range f.entries() {
		if started(e) && e.IdempotencyKey != "" {
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

// judgeWhole fails for every answer that looked whole and was not, or was
// another request's.
func (f *fleet) judgeWhole(all []load.Result) {
	f.t.Helper()
	for _, r := range all {
		if r.Verdict == load.Wrong {
			f.t.Errorf("request %s (%s) got a wrong answer: %s", r.RequestID, r.Request.Mark, r.Detail)
		}
	}
}

// judge is every judge that holds for any load.
func (f *fleet) judge(all []load.Result) {
	f.t.Helper()
	f.awaitQuiet()
	f.judgeNotRun(all)
	f.judgeOnce()
	f.judgeWhole(all)
}

// mixed makes a third of each kind of request; service calls are
// non-idempotent. Marks begin with prefix.
func mixed(prefix string) func(int, *rand.Rand) load.Request {
	return func(n int, random *rand.Rand) load.Request {
		return request(load.Kind(n%3), []string{"bakery", "school"}[random.IntN(2)], fmt.Sprintf("%s-%d", prefix, n), 1+random.IntN(20))
	}
}

// request makes one request that takes a target some tokens of work.
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

// traffic is a load that runs until stop.
type traffic struct {
	results *results
	cancel  context.CancelFunc
	done    chan struct{}
}

// startTraffic lets callers send through the routers named (all if none) until
// stop. A refused caller pauses shortly.
func (f *fleet) startTraffic(callers int, next func(int, *rand.Rand) load.Request, routers ...int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{results: &results{}, cancel: cancel, done: make(chan struct{})}
	run := load.Run{
		Routers: f.callers(routers...),
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

// more waits until so many more requests were answered.
func (tr *traffic) more(f *fleet, answers int) {
	f.t.Helper()
	want := tr.results.verdicts(load.Answered) + answers
	answered := func() bool { return tr.results.verdicts(load.Answered) >= want }
	if !waitFor(testTimeout, answered) {
		f.t.Fatalf("%d of %d requests were answered; all results: %v", tr.results.verdicts(load.Answered), want, tr.results)
	}
}

// until waits until so many more results hold something.
func (tr *traffic) until(f *fleet, what string, count int, holds func(load.Result) bool) {
	f.t.Helper()
	want := tr.results.count(holds) + count
	f.eventually(fmt.Sprintf("%d more results are %s", count, what), func() bool {
		return tr.results.count(holds) >= want
	})
}
