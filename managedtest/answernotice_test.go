package managedtest

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// noticeTime is how long a router may take from an answer that says something of its
	// target until nothing that is against it reaches the target.
	noticeTime = 500 * time.Millisecond
	// loadTime is how long the load goes on after the targets have changed.
	loadTime = 4 * time.Second
	// sendersEach is how many requests are under way at each router.
	sendersEach = 3
)

// sendLog notes the answers that each router passed on.
type sendLog struct {
	mu sync.Mutex
	// router maps the id of a request to the index of the router that it was sent to.
	router map[string]int
	// leaving maps a router to when it first passed on an answer that says that its target
	// leaves.
	leaving map[int]time.Time
	// byStatus counts the answers, and notWhole those that ended early.
	byStatus map[int]int
	notWhole int
	// byCode counts the refusals by result code, and firstOf holds the first request of each.
	byCode  map[string]int
	firstOf map[string]string
}

func (l *sendLog) add(router int, got managed.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.router[got.ID] = router
	l.byStatus[got.Status]++
	if !got.Complete {
		l.notWhole++
	}
	if got.Status != http.StatusOK {
		code := got.Header.Get(headerCode)
		if l.byCode[code] == 0 {
			l.firstOf[code] = got.ID
		}
		l.byCode[code]++
	}
	if _, known := l.leaving[router]; !known && got.Header.Get(wire.HeaderLeaving) != "" {
		l.leaving[router] = time.Now()
	}
}

// headerCode names the result code of a refusal.
const headerCode = "Walnut-Code"

// explain logs the refusals by result code, and what the routers logged of the first of each.
func (f *fleet) explain(log *sendLog) {
	f.t.Helper()
	for code, count := range log.byCode {
		id := log.firstOf[code]
		f.t.Logf("code %q: %d requests, the first of them %s at router %d", code, count, id, log.router[id])
		for n, routerLog := range f.logs {
			for _, line := range routerLog.linesWith("request=" + id + " ") {
				f.t.Logf("router %d: %s", n, line)
			}
		}
	}
	for n, routerLog := range f.logs {
		for _, line := range routerLog.linesWith("unread") {
			f.t.Logf("router %d: %s", n, line)
		}
	}
}

// load sends requests through all routers, changes the targets a little later, and returns what
// came of the requests.
func (f *fleet) load(change func()) *sendLog {
	log := &sendLog{
		router:   make(map[string]int),
		leaving:  make(map[int]time.Time),
		byStatus: make(map[int]int),
		byCode:   make(map[string]int),
		firstOf:  make(map[string]string),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var senders sync.WaitGroup
	for n := range f.routers {
		for range sendersEach {
			senders.Go(func() {
				for ctx.Err() == nil {
					log.add(n, f.sendWith(context.Background(), f.routers[n], pathSafe, key))
				}
			})
		}
	}
	time.Sleep(noticeTime)
	change()
	time.Sleep(loadTime)
	cancel()
	senders.Wait()
	return log
}

// wide is a target that has room for all senders.
func wide(id string) managed.ReplicaOptions {
	options := ops(id)
	options.Slots = 4 * sendersEach
	return options
}

// TestNothingIsSentAfterAnAnswerSaysLeaving: a router that has passed on an answer in which a
// target says that it leaves sends it nothing more, though the target's entry does not change.
func TestNothingIsSentAfterAnAnswerSaysLeaving(t *testing.T) {
	for name, fault := range map[string]managed.Fault{"store serves": managed.Healthy, "store refuses": managed.Refusing} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 3, wide("stays"), wide("leaves"))
			log := f.load(func() {
				f.store.SetFault(fault)
				f.replicas[1].AnnounceLeaving()
			})
			if len(log.leaving) == 0 {
				t.Fatal("no answer said that its target leaves")
			}
			late := 0
			for _, arrival := range f.journal.Arrivals("leaves") {
				router := log.router[arrival.ID]
				heard, known := log.leaving[router]
				if known && arrival.At.After(heard.Add(noticeTime)) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d requests reached the target after their router had passed on that it leaves", late)
			}
			if others := len(log.router) - log.byStatus[http.StatusOK]; others > 0 || log.notWhole > 0 {
				t.Errorf("%d of %d requests were not answered while a target with room stayed: %v", others, len(log.router), log.byStatus)
				f.explain(log)
			}
		})
	}
}

// TestRetryAfterOfATargetIsKept: a target that turns requests of a router away and asks it to
// come back later gets nothing from that router until then.
func TestRetryAfterOfATargetIsKept(t *testing.T) {
	const retryAfter = 3 * time.Second
	for _, every := range []int{1, 4, 8} {
		t.Run("one in "+strconv.Itoa(every), func(t *testing.T) {
			f := startFleet(t, 3, wide("serves"), wide("sheds"))
			log := f.load(func() {
				f.replicas[1].SetFaults(managed.ReplicaFaults{RefuseEvery: every, RetryAfter: retryAfter})
			})
			worst := 0
			arrivals := f.journal.Arrivals("sheds")
			for _, refused := range arrivals {
				if refused.RetryAfter == 0 {
					continue
				}
				inTime := 0
				for _, other := range arrivals {
					since := other.At.Sub(refused.At)
					if log.router[other.ID] == log.router[refused.ID] && since > noticeTime && since < retryAfter {
						inTime++
					}
				}
				worst = max(worst, inTime)
			}
			if worst > 0 {
				t.Errorf("%d requests of one router reached the target within the time that it had asked for", worst)
			}
			if others := len(log.router) - log.byStatus[http.StatusOK]; others > 0 {
				t.Errorf("%d of %d requests were not answered while another target had room: %v", others, len(log.router), log.byStatus)
				f.explain(log)
			}
		})
	}
}

// TestAllTargetsAskForLater: once all targets have asked a router to come back later, its
// callers are refused at once and told when to come back, and the targets get nothing.
func TestAllTargetsAskForLater(t *testing.T) {
	const retryAfter = 3 * time.Second
	faults := managed.ReplicaFaults{Refuse: true, RetryAfter: retryAfter}
	f := startFleet(t, 1, wide("a"), wide("b"))
	refusing := time.Now()
	log := f.load(func() {
		refusing = time.Now()
		for _, r := range f.replicas {
			r.SetFaults(faults)
		}
	})
	for _, id := range []string{"a", "b"} {
		within := 0
		for _, arrival := range f.journal.Arrivals(id) {
			if since := arrival.At.Sub(refusing); since > noticeTime && since < retryAfter {
				within++
			}
		}
		if within > 0 {
			t.Errorf("%d requests reached %s within the time that it had asked for", within, id)
		}
	}
	if log.byStatus[http.StatusServiceUnavailable] == 0 {
		t.Errorf("no request was refused: %v", log.byStatus)
	}
	sent := time.Now()
	got := f.send(f.routers[0], pathSafe)
	if took := time.Since(sent); got.Status != http.StatusServiceUnavailable || took > noticeTime {
		t.Errorf("status %d after %s", got.Status, took)
	}
	seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 || seconds > retryAfter.Seconds() {
		t.Errorf("Retry-After %q", got.Header.Get("Retry-After"))
	}
}
