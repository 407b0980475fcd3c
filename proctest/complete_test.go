package proctest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// longStreams returns a generator of streams that take the engines about a
// quarter of a second at 10 ms a token.
func longStreams(prefix string) func(int, *rand.Rand) load.Request {
	return func(n int, random *rand.Rand) load.Request {
		workspace := []string{"bakery", "school"}[random.IntN(2)]
		return request(load.Stream, workspace, fmt.Sprintf("%s-%d", prefix, n), 20+random.IntN(10))
	}
}

// TestAnswersCompleteWhenRoutersDie kills one router after another in the middle
// of streams. Its callers must see broken streams, never streams that end
// cleanly too early, and must be answered by the other routers.
func TestAnswersCompleteWhenRoutersDie(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{tokenTime: 10 * time.Millisecond})
	l := f.startRetryingLoad(12, longStreams("dies"))
	l.awaitAnswered(12)
	for n := range routerCount {
		broken := l.attempts.countVerdict(load.Broken)
		f.note("kill %s", routerName(n))
		f.routers[n].Kill()
		f.eventually("callers saw broken streams", func() bool { return l.attempts.countVerdict(load.Broken) > broken })
		l.awaitAnswered(12)
		f.restart(n)
		f.awaitVersion(n)
		l.awaitAnswered(12)
	}
	l.stopAndCheck()
}

// TestAnswersCompleteWhenTheSchedulerFreezes freezes the scheduling router under
// load until another router has taken over, and thaws it.
func TestAnswersCompleteWhenTheSchedulerFreezes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	l := f.startRetryingLoad(12, mixedRequests("freeze"))
	l.awaitAnswered(30)
	frozen := f.scheduler(enginePool, 0, 1, 2)
	if frozen < 0 {
		t.Fatal("no single scheduler")
	}
	f.note("freeze %s, which schedules", routerName(frozen))
	f.must(f.routers[frozen].Freeze())
	others := otherRouters(frozen)
	f.eventually("another router schedules", func() bool { return f.scheduler(enginePool, others...) >= 0 })
	l.awaitAnsweredAt(30, f.callersAddresses(others...)...)
	f.note("thaw %s", routerName(frozen))
	f.must(f.routers[frozen].Thaw())
	f.eventually("one router schedules again", func() bool { return f.scheduler(enginePool, 0, 1, 2) >= 0 })
	l.awaitAnswered(30)
	l.stopAndCheck()
}

// TestAnswersCompleteWhenTheSchedulerDies kills the scheduling router under
// load, twice.
func TestAnswersCompleteWhenTheSchedulerDies(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	l := f.startRetryingLoad(12, mixedRequests("scheduler"))
	for range 2 {
		l.awaitAnswered(30)
		killed := f.scheduler(enginePool, 0, 1, 2)
		f.note("kill %s, which schedules", routerName(max(killed, 0)))
		f.routers[max(killed, 0)].Kill()
		l.awaitAnswered(30)
		f.restart(max(killed, 0))
		f.awaitVersion(max(killed, 0))
		f.eventually("one router schedules", func() bool { return f.scheduler(enginePool, 0, 1, 2) >= 0 })
	}
	l.stopAndCheck()
}

// TestAnswersCompleteWhenAStreamBreaks breaks streams at targets that can
// resume. The caller must get the complete answer through a resumed run.
func TestAnswersCompleteWhenAStreamBreaks(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	all := &results{}
	for n := range 10 {
		f.forEachEngine(func(name string) { f.setTargetFaults(name, engine.Faults{BreakAfterTokens: 7, Times: 1}) })
		all.add(<-f.sendAsync(n%routerCount, request(load.Stream, "bakery", fmt.Sprintf("resumed-%d", n), 20)))
	}
	t.Logf("%v", all)
	if answered := all.countVerdict(load.Answered); answered != 10 {
		t.Errorf("%d of 10 broken streams were answered completely", answered)
	}
	resumed := 0
	for _, e := range f.entries() {
		if e.Event == journal.Resumed {
			resumed++
		}
	}
	if resumed == 0 {
		t.Error("no target resumed a stream")
	}
	f.checkResults(all.list())
}

// TestBrokenStreamThatCannotBeResumedEndsBroken breaks a stream at targets that
// cannot resume. The caller must see a broken stream.
func TestBrokenStreamThatCannotBeResumedEndsBroken(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{notResuming: true})
	f.forEachEngine(func(name string) { f.setTargetFaults(name, engine.Faults{BreakAfterTokens: 7}) })
	got := <-f.sendAsync(0, request(load.Stream, "bakery", "unresumed", 50))
	if got.Verdict != load.Broken {
		t.Errorf("the caller of a stream that broke saw: %s, code %d %s", got.Verdict, got.Code, got.Detail)
	}
	f.checkResults([]load.Result{got})
}

// TestStreamEndsBrokenWhenItsTargetIsCutOff cuts off all targets for good while a
// stream reaches the caller. The targets can resume streams, but no router can
// reach them. The caller must see a broken stream.
func TestStreamEndsBrokenWhenItsTargetIsCutOff(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{tokenTime: 20 * time.Millisecond})
	stream := f.openStream(0, request(load.Stream, "bakery", "cut", 100))
	defer stream.Close()
	part := make([]byte, 16)
	_, err := io.ReadFull(stream, part)
	f.must(err)
	f.cutTargets()
	if rest, err := io.ReadAll(stream); err == nil {
		t.Errorf("a cut stream ended cleanly after %d bytes", len(rest))
	}
}

// openStream sends a request and returns the body of its answer once the headers
// of the answer have arrived.
func (f *fleet) openStream(router int, r load.Request) io.ReadCloser {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"mark:%s"}]}`,
		model, r.MaxTokens, r.Mark)
	call, err := http.NewRequest(http.MethodPost, "http://"+f.callersAddresses(router)[0]+engine.PathChat, strings.NewReader(body))
	f.must(err)
	call.Header.Set("Authorization", "Bearer "+r.Key)
	answer, err := httpClient.Do(call)
	f.must(err)
	if answer.StatusCode != http.StatusOK {
		f.t.Fatalf("the stream was answered %s", answer.Status)
	}
	return answer.Body
}

// TestAnswersCompleteBesideCallersThatDisconnect lets impatient callers close
// their connections in the middle of answers. All other callers must still get
// the complete answers to their own requests.
func TestAnswersCompleteBesideCallersThatDisconnect(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	l := f.startRetryingLoad(12, mixedRequests("patient"))
	impatient := load.NewClient(8 * time.Millisecond)
	defer impatient.Close()
	impatientResults := &results{}
	for n := range 150 {
		impatientResults.add(impatient.Send(f.callersAddresses()[n%routerCount], request(load.Stream, "school", fmt.Sprintf("leaves-%d", n), 20)))
	}
	if impatientResults.countVerdict(load.Broken) == 0 {
		t.Error("no caller disconnected early")
	}
	t.Logf("impatient: %v", impatientResults)
	l.awaitAnswered(10)
	l.stopAndCheck()
}

// otherRouters returns all routers but one.
func otherRouters(excluded int) []int {
	var routers []int
	for n := range routerCount {
		if n != excluded {
			routers = append(routers, n)
		}
	}
	return routers
}

// awaitAnsweredAt waits until a number of further requests were answered by the
// routers with the given addresses.
func (l *retryingLoad) awaitAnsweredAt(answers int, routers ...string) {
	l.f.t.Helper()
	at := func(r load.Result) bool {
		for _, address := range routers {
			if r.Router == address && r.Verdict == load.Answered {
				return true
			}
		}
		return false
	}
	want := l.attempts.count(at) + answers
	l.f.eventually(fmt.Sprintf("%d more requests are answered at %v", answers, routers), func() bool {
		return l.attempts.count(at) >= want
	})
}
