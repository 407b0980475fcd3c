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

// longStreams makes streams that take the engines a quarter of a second.
func longStreams(prefix string) func(int, *rand.Rand) load.Request {
	return func(n int, random *rand.Rand) load.Request {
		workspace := []string{"bakery", "school"}[random.IntN(2)]
		return request(load.Stream, workspace, fmt.Sprintf("%s-%d", prefix, n), 20+random.IntN(10))
	}
}

// TestWholeWhenRoutersDie kills one router after another in the middle of
// streams. Its callers see broken streams, never clean ends, and are answered
// by the other routers.
func TestWholeWhenRoutersDie(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{step: 10 * time.Millisecond})
	l := f.startPersistent(12, longStreams("dies"))
	l.more(12)
	for n := range routerCount {
		broken := l.sent.verdicts(load.Broken)
		f.note("kill %s", routerName(n))
		f.routers[n].Kill()
		f.eventually("callers saw broken streams", func() bool { return l.sent.verdicts(load.Broken) > broken })
		l.more(12)
		f.restart(n)
		f.awaitVersion(n)
		l.more(12)
	}
	l.judge()
}

// TestWholeWhenTheSchedulerFreezes freezes the scheduling router under load,
// for longer than its absence takes to be noticed, and thaws it.
func TestWholeWhenTheSchedulerFreezes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	l := f.startPersistent(12, mixed("freeze"))
	l.more(30)
	frozen := f.scheduler(enginePool, 0, 1, 2)
	if frozen < 0 {
		t.Fatal("no single scheduler")
	}
	f.note("freeze %s, which schedules", routerName(frozen))
	f.must(f.routers[frozen].Freeze())
	others := others(frozen)
	f.eventually("another router schedules", func() bool { return f.scheduler(enginePool, others...) >= 0 })
	l.moreAt(30, f.callers(others...)...)
	f.note("thaw %s", routerName(frozen))
	f.must(f.routers[frozen].Thaw())
	f.eventually("one router schedules again", func() bool { return f.scheduler(enginePool, 0, 1, 2) >= 0 })
	l.more(30)
	l.judge()
}

// TestWholeWhenTheSchedulerDies kills the scheduling router under load.
func TestWholeWhenTheSchedulerDies(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	l := f.startPersistent(12, mixed("scheduler"))
	for range 2 {
		l.more(30)
		victim := f.scheduler(enginePool, 0, 1, 2)
		f.note("kill %s, which schedules", routerName(max(victim, 0)))
		f.routers[max(victim, 0)].Kill()
		l.more(30)
		f.restart(max(victim, 0))
		f.awaitVersion(max(victim, 0))
		f.eventually("one router schedules", func() bool { return f.scheduler(enginePool, 0, 1, 2) >= 0 })
	}
	l.judge()
}

// TestWholeWhenAStreamBreaks breaks streams at a target that can resume: the
// caller gets the whole answer, by a resumed run.
func TestWholeWhenAStreamBreaks(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	all := &results{}
	for n := range 10 {
		f.everyEngine(func(name string) { f.targetFaults(name, engine.Faults{BreakAfterTokens: 7, Times: 1}) })
		all.add(<-f.send(n%routerCount, request(load.Stream, "bakery", fmt.Sprintf("resumed-%d", n), 20)))
	}
	t.Logf("%v", all)
	if answered := all.verdicts(load.Answered); answered != 10 {
		t.Errorf("%d of 10 broken streams were answered whole", answered)
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
	f.judge(all.list())
}

// TestWholeWhenAStreamCannotBeResumed breaks streams at targets that cannot
// resume. The caller sees a break.
func TestWholeWhenAStreamCannotBeResumed(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{notResuming: true})
	f.everyEngine(func(name string) { f.targetFaults(name, engine.Faults{BreakAfterTokens: 7}) })
	got := <-f.send(0, request(load.Stream, "bakery", "unresumed", 50))
	if got.Verdict != load.Broken {
		t.Errorf("the caller of a stream that broke saw: %s, code %d %s", got.Verdict, got.Code, got.Detail)
	}
	f.judge([]load.Result{got})
}

// TestWholeWhenTheWayToTheTargetIsCut cuts the way to a target that can resume,
// for good, while its stream reaches the caller. The caller sees a break.
func TestWholeWhenTheWayToTheTargetIsCut(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{step: 20 * time.Millisecond})
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

// openStream sends a request and returns the body of its answer, once its
// head has come.
func (f *fleet) openStream(router int, r load.Request) io.ReadCloser {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"mark:%s"}]}`,
		model, r.MaxTokens, r.Mark)
	call, err := http.NewRequest(http.MethodPost, "http://"+f.callers(router)[0]+engine.PathChat, strings.NewReader(body))
	f.must(err)
	call.Header.Set("Authorization", "Bearer "+r.Key)
	answer, err := control.Do(call)
	f.must(err)
	if answer.StatusCode != http.StatusOK {
		f.t.Fatalf("the stream was answered %s", answer.Status)
	}
	return answer.Body
}

// TestWholeBesideCallersThatGoAway lets impatient callers go away in the middle
// of their answers. Everybody else's answers stay whole and their own.
func TestWholeBesideCallersThatGoAway(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	l := f.startPersistent(12, mixed("patient"))
	impatient := load.NewClient(8 * time.Millisecond)
	defer impatient.Close()
	left := &results{}
	for n := range 150 {
		left.add(impatient.Send(f.callers()[n%routerCount], request(load.Stream, "school", fmt.Sprintf("leaves-%d", n), 20)))
	}
	if left.verdicts(load.Broken) == 0 {
		t.Error("no caller went away")
	}
	t.Logf("impatient: %v", left)
	l.more(10)
	l.judge()
}

// others are the routers but one.
func others(but int) []int {
	var names []int
	for n := range routerCount {
		if n != but {
			names = append(names, n)
		}
	}
	return names
}

// moreAt waits until so many more requests were answered by some routers.
func (l *persistentLoad) moreAt(answers int, routers ...string) {
	l.f.t.Helper()
	at := func(r load.Result) bool {
		for _, address := range routers {
			if r.Router == address && r.Verdict == load.Answered {
				return true
			}
		}
		return false
	}
	want := l.sent.count(at) + answers
	l.f.eventually(fmt.Sprintf("%d more requests are answered at %v", answers, routers), func() bool {
		return l.sent.count(at) >= want
	})
}
