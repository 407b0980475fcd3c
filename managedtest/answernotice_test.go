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
	// maxNoticeDelay is how long a router may take to act on what a target announces in an
	// answer.
	maxNoticeDelay = 500 * time.Millisecond
	// loadTime is how long the load continues after the targets have changed.
	loadTime = 4 * time.Second
	// sendersPerRouter is the number of senders at each router. Each sends one request
	// after another.
	sendersPerRouter = 3
)

// sendLog records the answers that each router passed on.
type sendLog struct {
	mu sync.Mutex
	// router maps a request's ID to the index of the router that it was sent to.
	router map[string]int
	// leavingAnsweredAt maps a router to the time at which it first passed on an answer that
	// announces that its target leaves.
	leavingAnsweredAt map[int]time.Time
	// byStatus counts the answers by status, and incomplete those that ended early.
	byStatus   map[int]int
	incomplete int
	// byCode counts the refusals by result code, and firstByCode holds the ID of the first
	// refused request of each code.
	byCode      map[string]int
	firstByCode map[string]string
}

func (l *sendLog) add(router int, got managed.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.router[got.ID] = router
	l.byStatus[got.Status]++
	if !got.Complete {
		l.incomplete++
	}
	if got.Status != http.StatusOK {
		code := got.Header.Get(headerCode)
		if l.byCode[code] == 0 {
			l.firstByCode[code] = got.ID
		}
		l.byCode[code]++
	}
	if _, known := l.leavingAnsweredAt[router]; !known && got.Header.Get(wire.HeaderLeaving) != "" {
		l.leavingAnsweredAt[router] = time.Now()
	}
}

// headerCode is the header that carries the result code of a refusal.
const headerCode = "Walnut-Code"

// logRefusals logs the refusals by result code, the routers' log lines about the first request
// of each code, and their log lines about requests that were refused unread.
func (f *fleet) logRefusals(log *sendLog) {
	f.t.Helper()
	for code, count := range log.byCode {
		id := log.firstByCode[code]
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

// runLoad sends requests through all routers, calls change a little later, and returns a log of
// the answers.
func (f *fleet) runLoad(change func()) *sendLog {
	log := &sendLog{
		router:            make(map[string]int),
		leavingAnsweredAt: make(map[int]time.Time),
		byStatus:          make(map[int]int),
		byCode:            make(map[string]int),
		firstByCode:       make(map[string]string),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var senders sync.WaitGroup
	for n := range f.routers {
		for range sendersPerRouter {
			senders.Go(func() {
				for ctx.Err() == nil {
					log.add(n, f.sendWith(context.Background(), f.routers[n], pathIdempotent, key))
				}
			})
		}
	}
	time.Sleep(maxNoticeDelay)
	change()
	time.Sleep(loadTime)
	cancel()
	senders.Wait()
	return log
}

// opsReplicaForAllSenders describes a replica with more slots than there are senders.
func opsReplicaForAllSenders(id string) managed.ReplicaOptions {
	options := opsReplica(id)
	options.Slots = 4 * sendersPerRouter
	return options
}

// TestNothingIsSentAfterAnAnswerSaysLeaving guards against a router that sends further requests
// to a target after it passed on an answer in which the target announces that it leaves. The
// target's entry in the store does not change.
func TestNothingIsSentAfterAnAnswerSaysLeaving(t *testing.T) {
	for name, fault := range map[string]managed.Fault{"store serves": managed.Healthy, "store refuses": managed.Refusing} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 3, opsReplicaForAllSenders("stays"), opsReplicaForAllSenders("leaves"))
			log := f.runLoad(func() {
				f.store.SetFault(fault)
				f.replicas[1].AnnounceLeaving()
			})
			if len(log.leavingAnsweredAt) == 0 {
				t.Fatal("no answer said that its target leaves")
			}
			late := 0
			for _, arrival := range f.journal.Arrivals("leaves") {
				router := log.router[arrival.ID]
				answeredAt, known := log.leavingAnsweredAt[router]
				if known && arrival.At.After(answeredAt.Add(maxNoticeDelay)) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d requests reached the target after their router had passed on that it leaves", late)
			}
			if unanswered := len(log.router) - log.byStatus[http.StatusOK]; unanswered > 0 || log.incomplete > 0 {
				t.Errorf("%d of %d requests were not answered although the target that stayed had free slots: %v", unanswered, len(log.router), log.byStatus)
				f.logRefusals(log)
			}
		})
	}
}

// TestRetryAfterOfATargetIsHonoured guards against a router that sends requests to a target
// before the Retry-After of the target's refusal of an earlier request is over.
func TestRetryAfterOfATargetIsHonoured(t *testing.T) {
	const retryAfter = 3 * time.Second
	for _, every := range []int{1, 4, 8} {
		t.Run("one in "+strconv.Itoa(every), func(t *testing.T) {
			f := startSettledFleet(t, defaultSlack, 3, opsReplicaForAllSenders("serves"), opsReplicaForAllSenders("sheds"))
			log := f.runLoad(func() {
				f.replicas[1].SetFaults(managed.ReplicaFaults{RefuseEvery: every, RetryAfter: retryAfter})
			})
			maxTooEarly := 0
			arrivals := f.journal.Arrivals("sheds")
			for _, refused := range arrivals {
				if refused.RetryAfter == 0 {
					continue
				}
				tooEarly := 0
				for _, other := range arrivals {
					since := other.At.Sub(refused.At)
					if log.router[other.ID] == log.router[refused.ID] && since > maxNoticeDelay && since < retryAfter {
						tooEarly++
					}
				}
				maxTooEarly = max(maxTooEarly, tooEarly)
			}
			if maxTooEarly > 0 {
				t.Errorf("%d requests of one router reached the target before the end of its Retry-After", maxTooEarly)
			}
			if unanswered := len(log.router) - log.byStatus[http.StatusOK]; unanswered > 0 {
				t.Errorf("%d of %d requests were not answered although the other target had free slots: %v", unanswered, len(log.router), log.byStatus)
				f.logRefusals(log)
			}
		})
	}
}

// TestRequestsAreRefusedWhileAllTargetsAskToRetryLater requires that, once all targets have
// refused requests of a router with a Retry-After, the router refuses its callers immediately
// with a Retry-After and sends the targets no requests meanwhile.
func TestRequestsAreRefusedWhileAllTargetsAskToRetryLater(t *testing.T) {
	const retryAfter = 3 * time.Second
	faults := managed.ReplicaFaults{Refuse: true, RetryAfter: retryAfter}
	f := startFleet(t, 1, opsReplicaForAllSenders("a"), opsReplicaForAllSenders("b"))
	refusingSince := time.Now()
	log := f.runLoad(func() {
		refusingSince = time.Now()
		for _, r := range f.replicas {
			r.SetFaults(faults)
		}
	})
	for _, id := range []string{"a", "b"} {
		tooEarly := 0
		for _, arrival := range f.journal.Arrivals(id) {
			if since := arrival.At.Sub(refusingSince); since > maxNoticeDelay && since < retryAfter {
				tooEarly++
			}
		}
		if tooEarly > 0 {
			t.Errorf("%d requests reached %s before the end of its Retry-After", tooEarly, id)
		}
	}
	if log.byStatus[http.StatusServiceUnavailable] == 0 {
		t.Errorf("no request was refused: %v", log.byStatus)
	}
	sent := time.Now()
	got := f.send(f.routers[0], pathIdempotent)
	if took := time.Since(sent); got.Status != http.StatusServiceUnavailable || took > maxNoticeDelay {
		t.Errorf("status %d after %s", got.Status, took)
	}
	seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 || seconds > retryAfter.Seconds() {
		t.Errorf("Retry-After %q", got.Header.Get("Retry-After"))
	}
}
