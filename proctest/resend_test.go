package proctest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// resendLimit bounds how long a caller goes on with one request.
	resendLimit = 60 * time.Second
	// resendAfter is how long a caller waits for a router that says nothing,
	// for example because it is frozen, before it turns to another.
	resendAfter = 4 * time.Second
)

// mayResend says whether a caller should send a request again: it broke, no
// router was reached, or the refusal says so. A request that may have run and
// is non-idempotent is sent again with its key, which must be safe.
func mayResend(r load.Result) bool {
	switch r.Verdict {
	case load.Broken, load.Unreachable:
		return true
	case load.Refused:
		return r.Code != int(result.RecordUnknown)
	default:
		return false
	}
}

// persist sends a request until it is answered, each time to another router,
// and returns what became of it at last.
func (f *fleet) persist(client *load.Client, r load.Request, first int, seen *results) load.Result {
	routers := f.callers()
	deadline := time.Now().Add(resendLimit)
	for try := 0; ; try++ {
		got := client.Send(routers[(first+try)%len(routers)], r)
		seen.add(got)
		if !mayResend(got) || time.Now().After(deadline) {
			return got
		}
		time.Sleep(pollPause)
	}
}

// persistentLoad is callers that each persist with one request after another.
type persistentLoad struct {
	f *fleet
	// sent is every sending, last is what became of each request at last.
	sent results
	last results
	stop chan struct{}
	once sync.Once
	done sync.WaitGroup
}

// startPersistent lets callers persist with requests until stopped.
func (f *fleet) startPersistent(callers int, next func(int, *rand.Rand) load.Request) *persistentLoad {
	l := &persistentLoad{f: f, stop: make(chan struct{})}
	for caller := range callers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			l.call(caller, callers, next)
		}()
	}
	f.t.Cleanup(l.end)
	return l
}

func (l *persistentLoad) call(caller, callers int, next func(int, *rand.Rand) load.Request) {
	client := load.NewClient(resendAfter)
	defer client.Close()
	random := rand.New(rand.NewPCG(uint64(caller), 1))
	for n := caller; ; n += callers {
		select {
		case <-l.stop:
			return
		default:
			l.last.add(l.f.persist(client, next(n, random), random.IntN(routerCount), &l.sent))
		}
	}
}

// end lets every caller come to the end of its request.
func (l *persistentLoad) end() {
	l.once.Do(func() { close(l.stop) })
	l.done.Wait()
}

// more waits until so many more requests were answered.
func (l *persistentLoad) more(answers int) {
	l.f.t.Helper()
	want := l.last.verdicts(load.Answered) + answers
	if !waitFor(testTimeout, func() bool { return l.last.verdicts(load.Answered) >= want }) {
		l.f.t.Fatalf("%d of %d requests were answered; all sendings: %v", l.last.verdicts(load.Answered), want, &l.sent)
	}
}

// judge ends the load and judges it: no request lost (an idempotent one must
// have been answered in the end, a non-idempotent one may have been told that
// it may have run), none doubled, none crossed, none falsely "not run".
func (l *persistentLoad) judge() {
	l.f.t.Helper()
	l.end()
	for _, r := range l.last.list() {
		toldUnknown := r.Request.IdempotencyKey != "" && r.Verdict == load.Refused && r.Code == int(result.RecordUnknown)
		if r.Verdict != load.Answered && !toldUnknown {
			l.f.t.Errorf("request %s was lost: %s, code %d: %s", r.Request.Mark, r.Verdict, r.Code, r.Detail)
		}
	}
	l.f.judge(l.sent.list())
	l.f.judgeAnsweredRan(l.last.list())
	l.f.t.Logf("sendings: %v", &l.sent)
	l.f.t.Logf("at last: %v", &l.last)
}

// judgeAnsweredRan fails for every non-idempotent request that was answered
// and that no target started.
func (f *fleet) judgeAnsweredRan(all []load.Result) {
	f.t.Helper()
	starts := f.judgeOnce()
	for _, r := range all {
		key := r.Request.IdempotencyKey
		if r.Verdict == load.Answered && key != "" && starts[key] != 1 {
			f.t.Errorf("request %s was answered and ran %d times", key, starts[key])
		}
	}
}

// services makes non-idempotent requests only.
func services(prefix string, tokens int) func(int, *rand.Rand) load.Request {
	return func(n int, _ *rand.Rand) load.Request {
		return request(load.Service, "bakery", fmt.Sprintf("%s-%d", prefix, n), tokens)
	}
}
