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
	// maxResendTime limits how long a caller resends one request.
	maxResendTime = 60 * time.Second
	// attemptTimeout is how long a caller waits for a router that does not
	// answer, for example because it is frozen, before it tries another one.
	attemptTimeout = 4 * time.Second
)

// shouldResend reports whether a caller should send a request again: if the
// answer broke off, if no router was reached, and after every refusal but
// result.RecordUnknown. A non-idempotent request that may have run is sent again
// with its key, which must be safe.
func shouldResend(r load.Result) bool {
	switch r.Verdict {
	case load.Broken, load.Unreachable:
		return true
	case load.Refused:
		return r.Code != int(result.RecordUnknown)
	default:
		return false
	}
}

// sendUntilAnswered sends a request until it should not be sent again or
// maxResendTime is over, each time to the next router. It adds the result of each
// attempt to seen and returns the last one.
func (f *fleet) sendUntilAnswered(client *load.Client, r load.Request, first int, seen *results) load.Result {
	routers := f.callersAddresses()
	deadline := time.Now().Add(maxResendTime)
	for try := 0; ; try++ {
		got := client.Send(routers[(first+try)%len(routers)], r)
		seen.add(got)
		if !shouldResend(got) || time.Now().After(deadline) {
			return got
		}
		time.Sleep(pollPause)
	}
}

// retryingLoad is a set of callers that each send one request after another,
// and resend each until it is answered.
type retryingLoad struct {
	f *fleet
	// attempts holds the result of every attempt, outcomes the last result of
	// each request.
	attempts results
	outcomes results
	stop     chan struct{}
	once     sync.Once
	done     sync.WaitGroup
}

// startRetryingLoad starts callers, which go on until the load is finished.
func (f *fleet) startRetryingLoad(callers int, next func(int, *rand.Rand) load.Request) *retryingLoad {
	l := &retryingLoad{f: f, stop: make(chan struct{})}
	for caller := range callers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			l.call(caller, callers, next)
		}()
	}
	f.t.Cleanup(l.finish)
	return l
}

func (l *retryingLoad) call(caller, callers int, next func(int, *rand.Rand) load.Request) {
	client := load.NewClient(attemptTimeout)
	defer client.Close()
	random := rand.New(rand.NewPCG(uint64(caller), 1))
	for n := caller; ; n += callers {
		select {
		case <-l.stop:
			return
		default:
			l.outcomes.add(l.f.sendUntilAnswered(client, next(n, random), random.IntN(routerCount), &l.attempts))
		}
	}
}

// finish stops the callers and waits until each has finished its request.
func (l *retryingLoad) finish() {
	l.once.Do(func() { close(l.stop) })
	l.done.Wait()
}

// awaitAnswered waits until a number of further requests were answered.
func (l *retryingLoad) awaitAnswered(answers int) {
	l.f.t.Helper()
	want := l.outcomes.countVerdict(load.Answered) + answers
	if !waitFor(testTimeout, func() bool { return l.outcomes.countVerdict(load.Answered) >= want }) {
		l.f.t.Fatalf("%d of %d requests were answered; all attempts: %v", l.outcomes.countVerdict(load.Answered), want, &l.attempts)
	}
}

// stopAndCheck finishes the load and checks its results. No request may be lost:
// an idempotent one must have been answered in the end, a non-idempotent one may
// instead have been refused because it may have run. None may have run twice,
// got another request's answer, or been falsely refused as "not run".
func (l *retryingLoad) stopAndCheck() {
	l.f.t.Helper()
	l.finish()
	for _, r := range l.outcomes.list() {
		toldUnknown := r.Request.IdempotencyKey != "" && r.Verdict == load.Refused && r.Code == int(result.RecordUnknown)
		if r.Verdict != load.Answered && !toldUnknown {
			l.f.t.Errorf("request %s was lost: %s, code %d: %s", r.Request.Mark, r.Verdict, r.Code, r.Detail)
		}
	}
	l.f.checkResults(l.attempts.list())
	l.f.checkAnsweredRan(l.outcomes.list())
	l.f.t.Logf("attempts: %v", &l.attempts)
	l.f.t.Logf("outcomes: %v", &l.outcomes)
}

// checkAnsweredRan fails for every non-idempotent request that was answered but
// was not started exactly once.
func (f *fleet) checkAnsweredRan(all []load.Result) {
	f.t.Helper()
	starts := f.checkAtMostOnce()
	for _, r := range all {
		key := r.Request.IdempotencyKey
		if r.Verdict == load.Answered && key != "" && starts[key] != 1 {
			f.t.Errorf("request %s was answered, but ran %d times", key, starts[key])
		}
	}
}

// serviceRequests returns a generator of service calls, which are
// non-idempotent.
func serviceRequests(prefix string, tokens int) func(int, *rand.Rand) load.Request {
	return func(n int, _ *rand.Rand) load.Request {
		return request(load.Service, "bakery", fmt.Sprintf("%s-%d", prefix, n), tokens)
	}
}
