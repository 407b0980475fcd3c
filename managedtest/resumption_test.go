package managedtest

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// resumedStreams is how many streams a resumption has to continue, in the order in which they
	// break: one each breakInterval.
	resumedStreams = 6
	breakInterval  = 30 * time.Millisecond
	// breakEvents is how many events of a stream arrive before it breaks, one each breakPause.
	breakEvents = 4
	breakPause  = 150 * time.Millisecond
	// shortFault is how long a passing fault lasts.
	shortFault = 300 * time.Millisecond
	// beforeBreak is the time from the beginning of the first stream until shortly before it breaks,
	// and amidBreaks until about half of the streams have broken.
	beforeBreak = breakEvents*breakPause + breakPause/2
	amidBreaks  = (breakEvents+1)*breakPause + resumedStreams/2*breakInterval
)

// resumption is a situation in which streams break. In each, another target that is sound has
// room for them in time.
type resumption struct {
	name string
	// breaks holds the faults of the target that breaks streams, besides BreakAfterEvents.
	breaks managed.ReplicaFaults
	// next are the targets that streams may be resumed on.
	next []managed.ReplicaOptions
	// attempts is the route's number of attempts; zero: 2.
	attempts int
	// retrySlack is the slack of the retry budget; zero: unlimitedSlack.
	retrySlack float64
	// during is called once the streams run and all targets are known; may be nil.
	during func(f *fleet, begun time.Time)
	// occurred reports whether the situation that the name states occurred; nil: it always does.
	occurred func(f *fleet) bool
}

// nextReplica describes a replica that resumes streams, with faults.
func nextReplica(id string, faults managed.ReplicaFaults) managed.ReplicaOptions {
	options := genReplica(id)
	options.Slots = 64
	options.ReplicaFaults = faults
	return options
}

// soundReplica describes one without faults.
func soundReplica() managed.ReplicaOptions { return nextReplica("sound", managed.ReplicaFaults{}) }

// withAddress changes the address that a replica registers.
func withAddress(options managed.ReplicaOptions, address func() (string, error)) managed.ReplicaOptions {
	options.Advertise = func(string) (string, error) { return address() }
	return options
}

// closedAddress returns an address where nothing listens.
func closedAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// losingAddress returns an address where connections are closed once a request has begun to arrive.
func losingAddress(t *testing.T) func() (string, error) {
	return func() (string, error) {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.ReadFull(conn, make([]byte, 1))
					_ = conn.Close()
				}()
			}
		}()
		return listener.Addr().String(), nil
	}
}

// anyRefused reports whether the replica refused a request.
func anyRefused(replica string) func(*fleet) bool {
	return func(f *fleet) bool {
		return slices.ContainsFunc(f.journal.Arrivals(replica), func(a managed.Arrival) bool { return a.Refused })
	}
}

// anyRun reports whether the replica ran a request.
func anyRun(replica string) func(*fleet) bool {
	return func(f *fleet) bool {
		return slices.ContainsFunc(f.journal.Runs(""), func(r managed.Run) bool { return r.Replica == replica })
	}
}

// anyLogged reports whether a router logged a text.
func anyLogged(text string) func(*fleet) bool {
	return func(f *fleet) bool {
		return slices.ContainsFunc(f.logs, func(l *logBuffer) bool { return l.contains(text) })
	}
}

// anyResumedLate reports whether a stream was resumed long after others, or never.
func anyResumedLate(f *fleet) bool {
	runs := f.journal.Runs("")
	if len(runs) < 2*resumedStreams {
		return true
	}
	return runs[len(runs)-1].StartedAt.Sub(runs[resumedStreams].StartedAt) > resumedStreams*breakInterval+shortFault
}

// sleepUntil waits until a time has passed since begun.
func sleepUntil(begun time.Time, d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }

// resumptions returns all situations.
func resumptions(t *testing.T) []resumption {
	sound := soundReplica()
	refusing := managed.ReplicaFaults{Refuse: true}
	busy := soundReplica()
	busy.Slots, busy.Pause = 1, 15*time.Millisecond
	queued := busy
	queued.Pause = 100 * time.Millisecond
	return []resumption{
		{name: "next is sound", next: []managed.ReplicaOptions{sound}},
		{name: "broken by reset", breaks: managed.ReplicaFaults{BreakByReset: true}, next: []managed.ReplicaOptions{sound}},
		{
			name:     "next refuses",
			next:     []managed.ReplicaOptions{nextReplica("refuses", refusing), sound},
			occurred: anyRefused("refuses"),
		},
		{
			name:     "two refuse",
			next:     []managed.ReplicaOptions{nextReplica("refuses", refusing), nextReplica("refuses too", refusing), sound},
			occurred: anyRefused("refuses"),
		},
		{
			name:     "next refuses and asks for a delay",
			next:     []managed.ReplicaOptions{nextReplica("refuses", managed.ReplicaFaults{Refuse: true, RetryAfter: shortFault}), sound},
			occurred: anyRefused("refuses"),
		},
		{
			name:     "next refuses every other request",
			next:     []managed.ReplicaOptions{nextReplica("refuses", managed.ReplicaFaults{RefuseEvery: 2}), sound},
			occurred: anyRefused("refuses"),
		},
		{
			name: "only other target refuses for a moment",
			next: []managed.ReplicaOptions{nextReplica("refuses", refusing)},
			during: func(f *fleet, begun time.Time) {
				f.eventually(testTimeout, "a request is refused", func() bool { return anyRefused("refuses")(f) })
				time.Sleep(shortFault)
				f.replicas[1].SetFaults(managed.ReplicaFaults{})
			},
			occurred: anyRefused("refuses"),
		},
		{
			name:     "next is another replica",
			next:     []managed.ReplicaOptions{withAddress(nextReplica("misdirected", managed.ReplicaFaults{}), otherReplica(t)), sound},
			occurred: anyLogged("target=misdirected"),
		},
		{
			name:     "next is unreachable",
			next:     []managed.ReplicaOptions{withAddress(nextReplica("unreachable", managed.ReplicaFaults{}), closedAddress), sound},
			occurred: anyLogged("target=unreachable"),
		},
		{
			name: "two are unreachable",
			next: []managed.ReplicaOptions{
				withAddress(nextReplica("unreachable", managed.ReplicaFaults{}), closedAddress),
				withAddress(nextReplica("unreachable too", managed.ReplicaFaults{}), closedAddress),
				sound,
			},
			occurred: anyLogged("target=unreachable"),
		},
		{name: "next has one slot", next: []managed.ReplicaOptions{busy}},
		{name: "next has one slot, for a time beyond the objective", next: []managed.ReplicaOptions{queued}},
		{
			name: "router shuts down",
			next: []managed.ReplicaOptions{sound},
			during: func(f *fleet, _ time.Time) {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				f.t.Cleanup(cancel)
				go func() { _ = f.routers[0].Shutdown(ctx) }() // ends once the streams have ended
			},
		},
		{
			name:     "next breaks too",
			attempts: 3,
			next:     []managed.ReplicaOptions{nextReplica("breaks too", managed.ReplicaFaults{BreakResumed: true}), sound},
			occurred: anyRun("breaks too"),
		},
		{
			name:     "next breaks too, by reset",
			attempts: 3,
			next:     []managed.ReplicaOptions{nextReplica("breaks too", managed.ReplicaFaults{BreakResumed: true, BreakByReset: true}), sound},
			occurred: anyRun("breaks too"),
		},
		{
			name:     "next closes the connection without an answer",
			attempts: 3,
			next:     []managed.ReplicaOptions{withAddress(nextReplica("loses", managed.ReplicaFaults{}), losingAddress(t)), sound},
			occurred: anyLogged("target=loses"),
		},
		{
			name: "entry of the broken target removed",
			next: []managed.ReplicaOptions{sound},
			during: func(f *fleet, begun time.Time) {
				f.replicas[0].Close()
			},
		},
		{
			name: "entry of a next target removed meanwhile",
			next: []managed.ReplicaOptions{nextReplica("removed", managed.ReplicaFaults{}), nextReplica("removed too", managed.ReplicaFaults{}), sound},
			during: func(f *fleet, begun time.Time) {
				sleepUntil(begun, amidBreaks)
				f.replicas[1].Close()
				f.replicas[2].Close()
			},
			occurred: func(f *fleet) bool { return anyRun("removed")(f) || anyRun("removed too")(f) },
		},
		{
			name: "a next target leaves meanwhile",
			next: []managed.ReplicaOptions{nextReplica("leaves", managed.ReplicaFaults{}), nextReplica("leaves too", managed.ReplicaFaults{}), sound},
			during: func(f *fleet, begun time.Time) {
				sleepUntil(begun, amidBreaks)
				f.replicas[1].StartLeaving()
				f.replicas[2].StartLeaving()
			},
			occurred: func(f *fleet) bool { return anyRun("leaves")(f) || anyRun("leaves too")(f) },
		},
		{
			name:   "store refuses",
			next:   []managed.ReplicaOptions{sound},
			during: func(f *fleet, _ time.Time) { f.store.SetFault(managed.Refusing) },
		},
		{
			name:   "store is unresponsive",
			next:   []managed.ReplicaOptions{sound},
			during: func(f *fleet, _ time.Time) { f.store.SetFault(managed.Unresponsive) },
		},
		{
			name: "unreachable while the store is away",
			next: []managed.ReplicaOptions{withAddress(nextReplica("unreachable", managed.ReplicaFaults{}), closedAddress), sound},
			during: func(f *fleet, _ time.Time) {
				f.store.SetFault(managed.Unresponsive)
			},
			occurred: anyLogged("target=unreachable"),
		},
		{
			name:       "retry budget empty for a moment",
			retrySlack: defaultSlack,
			next:       []managed.ReplicaOptions{sound},
			occurred:   anyResumedLate,
		},
	}
}

// otherReplica returns the address of a replica with another ID, which is not registered.
func otherReplica(t *testing.T) func() (string, error) {
	return func() (string, error) {
		address := ""
		options := genReplica("other")
		options.Advertise = func(listens string) (string, error) {
			address = listens
			return listens, nil
		}
		store := managed.StartStore()
		t.Cleanup(store.Close)
		r, err := managed.StartReplica(store, &managed.Journal{}, options)
		if err != nil {
			return "", err
		}
		t.Cleanup(r.Close)
		return address, nil
	}
}

// TestBrokenStreamReachesSoundTarget guards against cutting streams that a target broke off while
// another one is sound and has room for them in time.
func TestBrokenStreamReachesSoundTarget(t *testing.T) {
	for _, situation := range resumptions(t) {
		t.Run(situation.name, func(t *testing.T) {
			t.Parallel()
			f := situation.start(t)
			streams := situation.play(f)
			f.checkResumed(streams, situation.maxRuns())
			if situation.occurred != nil && !situation.occurred(f) {
				t.Error("the situation did not occur")
			}
		})
	}
}

// start starts two routers and the target that breaks streams.
func (s resumption) start(t *testing.T) *fleet {
	t.Helper()
	breaking := nextReplica("breaks", s.breaks)
	breaking.BreakAfterEvents, breaking.Pause = breakEvents, breakPause
	f := startSettledFleet(t, cmp.Or(s.retrySlack, unlimitedSlack), 1, breaking)
	f.publishConfig(func(c *wire.Config) { c.Routes[2].Attempts = s.maxRuns() })
	f.awaitVersion()
	return f
}

// play sends streams, adds the next targets before these break, and returns the answers.
func (s resumption) play(f *fleet) []managed.Answer {
	f.t.Helper()
	streams := make([]managed.Answer, resumedStreams)
	var callers sync.WaitGroup
	begun := time.Now()
	for n := range streams {
		callers.Go(func() {
			time.Sleep(time.Duration(n) * breakInterval)
			streams[n] = f.send(f.routers[0], pathStream)
		})
	}
	f.eventually(testTimeout, "the streams run", func() bool { return len(f.journal.Runs("")) == resumedStreams })
	for _, options := range s.next {
		f.addReplica(options)
	}
	for _, options := range s.next {
		f.awaitTarget(options.ID, false)
	}
	if time.Since(begun) > beforeBreak {
		f.t.Error("the next targets were known too late")
	}
	if s.during != nil {
		s.during(f, begun)
	}
	callers.Wait()
	return streams
}

// maxRuns returns the number of targets that may run a stream.
func (s resumption) maxRuns() int {
	return cmp.Or(s.attempts, managed.DemoConfig(0).Routes[2].Attempts)
}

// checkResumed checks that all streams are whole, each event once, and that none ran on more
// targets than its route allows.
func (f *fleet) checkResumed(streams []managed.Answer, maxRuns int) {
	f.t.Helper()
	cut, example := 0, ""
	for _, got := range streams {
		if runs := f.journal.Runs(got.ID); len(runs) > maxRuns {
			f.t.Errorf("%s ran %d times, its route allows %d", got.ID, len(runs), maxRuns)
		}
		if !isWhole(pathStream, got) {
			cut++
			example = got.ID
		}
	}
	if cut > 0 {
		f.t.Errorf("%d of %d streams were cut, as %s:\n%s", cut, len(streams), example, f.logOf(example))
	}
}

// TestResumptionKeepsToAttempts guards against resuming a stream on more targets than its route
// allows.
func TestResumptionKeepsToAttempts(t *testing.T) {
	breaksToo := managed.ReplicaFaults{BreakResumed: true}
	s := resumption{next: []managed.ReplicaOptions{nextReplica("breaks too", breaksToo), nextReplica("breaks as well", breaksToo), soundReplica()}}
	f := s.start(t)
	for _, got := range s.play(f) {
		runs := f.journal.Runs(got.ID)
		isSecondSound := len(runs) == 2 && runs[1].Replica == "sound"
		if len(runs) != 2 || isWhole(pathStream, got) != isSecondSound {
			t.Errorf("complete %v, runs %+v", got.Complete, runs)
		}
	}
}

// maxRefusals is how many times a target that refuses all requests may be asked to resume one stream.
const maxRefusals = 20

// TestResumptionEndsInTime guards against attempts to resume a stream that go on after its
// caller's deadline, or reach a target that refuses them at a high rate.
func TestResumptionEndsInTime(t *testing.T) {
	f := resumption{}.start(t)
	f.addReplica(nextReplica("refuses", managed.ReplicaFaults{Refuse: true}))
	f.awaitTarget("refuses", false)
	f.caller.Deadline = 2 * time.Second
	f.eventually(testTimeout, "a stream breaks", func() bool {
		sent := time.Now()
		got := f.send(f.routers[0], pathStream)
		took := time.Since(sent)
		if took > f.caller.Deadline+endMargin {
			t.Errorf("ended after %s, its limit is %s", took, f.caller.Deadline)
		}
		return got.Status == http.StatusOK && !got.Complete
	})
	ended := time.Now()
	time.Sleep(2 * goneDelay)
	arrivals := f.journal.Arrivals("refuses")
	if len(arrivals) > maxRefusals {
		t.Errorf("%d attempts to resume reached a target that refused each", len(arrivals))
	}
	f.checkNoneAfter(arrivals, ended)
}

// goneDelay is how long after the end of a caller's connection its request may still reach targets.
const goneDelay = 500 * time.Millisecond

// checkNoneAfter checks that no request arrived long after its caller's connection had ended.
func (f *fleet) checkNoneAfter(arrivals []managed.Arrival, ended time.Time) {
	f.t.Helper()
	for _, arrival := range arrivals {
		if late := arrival.At.Sub(ended); late > goneDelay {
			f.t.Errorf("%s reached %s %s after its caller's connection had ended", arrival.ID, arrival.Replica, late)
		}
	}
}

// TestResumptionEndsWhenItsCallerDisconnects guards against attempts to resume a stream whose
// caller has disconnected meanwhile.
func TestResumptionEndsWhenItsCallerDisconnects(t *testing.T) {
	f := resumption{}.start(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan managed.Answer)
	go func() { done <- f.sendWith(ctx, f.routers[0], pathStream, key) }()
	f.eventually(testTimeout, "the stream runs", func() bool { return len(f.journal.Runs("")) == 1 })
	f.addReplica(nextReplica("refuses", managed.ReplicaFaults{Refuse: true}))
	f.eventually(testTimeout, "a target refuses to resume it", func() bool { return anyRefused("refuses")(f) })
	cancel()
	ended := time.Now()
	<-done
	time.Sleep(3 * goneDelay)
	f.checkNoneAfter(f.journal.Arrivals("refuses"), ended)
}
