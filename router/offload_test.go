package router

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/offload/balance"
	"github.com/walnutcove/walnutcove/offload/link"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/store"
)

// fakeLink is both ends of a link. It takes requests while it has allowance.
type fakeLink struct {
	allowance, maxOpen, open int
	sent, wanted             uint64
	answers                  []offload.Answer
	silent                   bool
	done                     chan struct{}
	err                      error // why the link ended
	// counted is called after the open requests were counted.
	counted func()
}

func newFakeLink(allowance int) *fakeLink {
	return &fakeLink{allowance: allowance, done: make(chan struct{}), err: net.ErrClosed}
}

func (l *fakeLink) Offer(_ offload.Request, answer offload.Answer) (offload.Sent, link.Refusal) {
	if l.allowance == 0 {
		return nil, link.RefusedNoAllowance
	}
	l.allowance--
	l.open++
	l.answers = append(l.answers, answer)
	return fakeSent{}, ""
}

// end ends the oldest open request.
func (l *fakeLink) end(outcome offload.Outcome) {
	l.open--
	l.answers[0].End(outcome, offload.Loss{})
	l.answers = l.answers[1:]
}

func (l *fakeLink) Allowance() int                { return l.allowance }
func (l *fakeLink) NoteWanted(n int)              { l.wanted += uint64(n) }
func (l *fakeLink) HeldBytes() int64              { return 0 }
func (l *fakeLink) Done() <-chan struct{}         { return l.done }
func (l *fakeLink) Silent() bool                  { return l.silent }
func (l *fakeLink) Drain()                        {}
func (l *fakeLink) Err() error                    { return l.err }
func (l *fakeLink) Demand() (sent, wanted uint64) { return l.sent, l.wanted }

func (l *fakeLink) OpenRequests() int {
	open := l.open
	if l.counted != nil {
		l.counted()
	}
	return open
}

func (l *fakeLink) CloseIdle() bool {
	if l.open > 0 {
		return false
	}
	close(l.done)
	return true
}

func (l *fakeLink) SetAllowance(more, maxOpen int) {
	l.allowance += more
	l.maxOpen = maxOpen
}

func (l *fakeLink) Close() error {
	close(l.done)
	return nil
}

type fakeSent struct{}

func (fakeSent) Taken(int)    {}
func (fakeSent) Cancel()      {}
func (fakeSent) Silent() bool { return false }

// fakeAnswer keeps how a request ended.
type fakeAnswer struct{ outcome *offload.Outcome }

func (fakeAnswer) Write([]byte)                                  {}
func (a fakeAnswer) End(outcome offload.Outcome, _ offload.Loss) { *a.outcome = outcome }

// testSource is a source whose steps the test makes, with executors a, b and c.
type testSource struct {
	*offloadSource
	t     *testing.T
	now   time.Duration
	links map[string]*fakeLink
}

func newTestSource(t *testing.T) *testSource {
	s := &testSource{t: t, links: make(map[string]*fakeLink)}
	candidates := func() []balance.Candidate {
		return []balance.Candidate{{Node: "a", Cores: 1}, {Node: "b", Cores: 1}, {Node: "c", Cores: 1}}
	}
	dial := func(_ context.Context, node string) (sendingLink, error) { return s.links[node], nil }
	for _, node := range []string{"a", "b", "c"} {
		s.links[node] = newFakeLink(100)
	}
	s.offloadSource = newOffloadSource("self", slog.New(slog.DiscardHandler), candidates, dial)
	return s
}

func (s *testSource) send() offload.Sent {
	return s.Send(offload.Request{Raw: []byte("GET / HTTP/1.1\r\n\r\n")}, fakeAnswer{new(offload.Outcome)})
}

// advance makes the steps of a time.
func (s *testSource) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += offloadInterval
		s.step(s.t.Context(), s.now)
		for len(s.dialing) > 0 {
			s.addDialed(<-s.dialed, s.now)
		}
		s.step(s.t.Context(), s.now)
	}
}

// used returns the executors for new requests.
func (s *testSource) used() []string {
	var nodes []string
	for _, l := range *s.usable.Load() {
		nodes = append(nodes, l.node)
	}
	return nodes
}

// begin makes the source dial its executors, and returns one of them.
func (s *testSource) begin() (node string, l *fakeLink) {
	s.t.Helper()
	if s.send() != nil {
		s.t.Fatal("a request was sent without a link")
	}
	s.advance(offloadInterval)
	if used := s.used(); len(used) != 2 {
		s.t.Fatalf("executors %v after the first refusal", used)
	}
	node = s.used()[0]
	return node, s.links[node]
}

// TestNothingIsDialledWithoutShedding guards against links, and traffic, of routers that do not
// shed, and against requests that wait for a dial.
func TestNothingIsDialledWithoutShedding(t *testing.T) {
	s := newTestSource(t)
	if s.advance(time.Second); len(s.used()) > 0 {
		t.Errorf("executors %v before a request was offered", s.used())
	}
	s.begin()
	if s.send() == nil {
		t.Error("a request was refused although there is allowance")
	}
}

// TestFailedExecutorIsNotUsed guards against requests for an executor that declines them, has ended
// the link or grants nothing.
func TestFailedExecutorIsNotUsed(t *testing.T) {
	failures := map[string]func(*fakeLink, *testSource){
		"declined":   func(l *fakeLink, _ *testSource) { l.end(offload.Declined) },
		"link ended": func(l *fakeLink, _ *testSource) { close(l.done) },
		"no allowance": func(_ *fakeLink, s *testSource) {
			for _, l := range s.links {
				l.allowance = 0
			}
			for range 30 {
				s.send()
				s.advance(offloadInterval)
			}
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			s := newTestSource(t)
			_, l := s.begin()
			for len(l.answers) == 0 {
				s.send()
			}
			node := s.used()[slices.IndexFunc(s.used(), func(node string) bool { return s.links[node] == l })]
			fail(l, s)
			if s.advance(offloadInterval); slices.Contains(s.used(), node) {
				t.Errorf("executor %s is still used", node)
			}
		})
	}
}

// TestSilentExecutorIsNotUsed guards against new requests for an executor that is silent, against open
// ones that end with its link, and against an executor that goes on and is not used again.
func TestSilentExecutorIsNotUsed(t *testing.T) {
	s := newTestSource(t)
	node, silent := s.begin()
	silent.allowance, silent.open, silent.silent = 0, 1, true
	s.advance(offloadInterval)
	if used := s.used(); slices.Contains(used, node) || len(used) != 1 {
		t.Errorf("executors %v while %s is silent", used, node)
	}
	s.links[s.used()[0]].allowance = 0
	s.send()
	s.advance(offloadInterval)
	if used := s.used(); slices.Contains(used, node) || len(used) != 2 {
		t.Errorf("executors %v while %s is silent", used, node)
	}
	s.advance(20 * time.Second)
	select {
	case <-silent.done:
		t.Error("the link was closed while a request was open")
	default:
	}
	if slices.Contains(s.used(), node) {
		t.Errorf("executors %v while %s is still silent", s.used(), node)
	}
	silent.silent = false
	s.advance(8 * time.Second)
	if !slices.Contains(s.used(), node) {
		t.Errorf("executors %v after %s went on", s.used(), node)
	}
}

// TestFailedRequestExcludesNoExecutor guards against executors that are not used because callers
// went away or targets failed.
func TestFailedRequestExcludesNoExecutor(t *testing.T) {
	for outcome, isCancelled := range map[offload.Outcome]bool{offload.Broken: false, offload.Declined: true} {
		s := newTestSource(t)
		s.begin()
		sent := s.send()
		if isCancelled {
			sent.Cancel()
		}
		for _, l := range s.links {
			if len(l.answers) > 0 {
				l.end(outcome)
			}
		}
		if s.advance(offloadInterval); len(s.used()) != 2 {
			t.Errorf("%v, cancelled %v: executors %v", outcome, isCancelled, s.used())
		}
	}
}

// TestIdleLinkExcludesNoExecutor guards against executors that are not used because links to them
// were not needed for a while.
func TestIdleLinkExcludesNoExecutor(t *testing.T) {
	s := newTestSource(t)
	node, l := s.begin()
	l.err = link.ErrIdle
	close(l.done)
	if s.advance(offloadInterval); len(s.used()) != 1 || !s.selector.Usable(s.now, node) {
		t.Errorf("executors %v, and %s is excluded", s.used(), node)
	}
}

// TestUnwantedLinkIsClosedWithoutRequests guards against a request that is sent while the link to an
// excluded executor is about to be closed, and breaks.
func TestUnwantedLinkIsClosedWithoutRequests(t *testing.T) {
	s := newTestSource(t)
	_, l := s.begin()
	for len(l.answers) == 0 {
		s.send()
	}
	l.end(offload.Declined)
	l.counted = func() {
		l.counted = nil
		l.Offer(offload.Request{}, fakeAnswer{new(offload.Outcome)})
	}
	s.advance(offloadInterval)
	select {
	case <-l.done:
		if l.open > 0 {
			t.Error("the link was closed while a request was open")
		}
	default:
		t.Error("the link was not closed")
	}
}

// TestLateSourceOffersLess guards against copying that keeps a router late although it sheds all. A source that is still late
// without offers offers a tenth; see balance.Limiter.
func TestLateSourceOffersLess(t *testing.T) {
	const leastOffered = 0.1
	s := newTestSource(t)
	s.begin()
	for range 12 {
		s.measured(2*shedTargetLag, true)
	}
	for range 100 {
		if s.send() != nil {
			t.Fatal("a request was offered")
		}
	}
	for range 100 {
		s.measured(2*shedTargetLag, true)
		if got := s.offeredFraction(); got > leastOffered {
			t.Fatalf("a fraction of %v is offered", got)
		}
	}
}

// newTestExecutor returns an executor of one core with version 5 of the configuration.
func newTestExecutor(load *balance.Load, draining *bool) *offloadExecutor {
	return &offloadExecutor{
		log:          slog.New(slog.DiscardHandler),
		pacer:        balance.NewPacer(1, 0),
		maxServed:    1,
		load:         func() balance.Load { return *load },
		isDraining:   func() bool { return *draining },
		configNumber: func() uint64 { return 5 },
		serve:        func(net.Conn, time.Duration, string) {},
		links:        make(map[uint64]*acceptedLink),
		added:        make(chan struct{}, 1),
		requests:     link.NewBudget(requestBudgetBytes),
	}
}

// TestExecutorDeclines guards against requests that run where they must not: by an older
// configuration than that of the source, or at a router that drains or has no room.
func TestExecutorDeclines(t *testing.T) {
	for name, test := range map[string]struct {
		config   uint64
		draining bool
		served   int64
		want     bool
	}{
		"same configuration":  {config: 5, want: true},
		"newer configuration": {config: 4, want: true},
		"older configuration": {config: 6},
		"draining":            {config: 5, draining: true},
		"no room":             {config: 5, served: 1},
	} {
		e := newTestExecutor(&balance.Load{}, &test.draining)
		e.served.Store(test.served)
		err := e.handle(t.Context(), "source", offload.Request{Config: test.config}, nil)
		if declined := errors.Is(err, link.ErrDeclined); declined == test.want {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestExecutorWithoutRoomGrantsNothing guards against a source that may go on sending to a router
// that sheds or drains.
func TestExecutorWithoutRoomGrantsNothing(t *testing.T) {
	load, draining := balance.Load{}, false
	e := newTestExecutor(&load, &draining)
	l := newFakeLink(0)
	l.wanted = 10
	e.links[1] = &acceptedLink{servedLink: l}
	if e.step(offloadInterval); l.allowance == 0 || l.maxOpen == 0 {
		t.Errorf("allowance %d, up to %d open", l.allowance, l.maxOpen)
	}
	load.Closed = true
	if e.step(2 * offloadInterval); l.maxOpen != 0 {
		t.Errorf("up to %d open at a router that sheds", l.maxOpen)
	}
	close(l.done)
	if e.step(3*offloadInterval) || e.linkCount() != 0 {
		t.Error("the executor goes on without links")
	}
}

// TestDrainWaitsForEndOfLinks guards against a router that stops before the sources have read the ends
// of their responses, or while the requests of one that is silent for up to two seconds are on their
// way, and against one that waits for a source that is frozen for longer.
func TestDrainWaitsForEndOfLinks(t *testing.T) {
	for name, test := range map[string]struct{ endsAfter, least, most time.Duration }{
		"link ends":     {100 * time.Millisecond, 100 * time.Millisecond, time.Second},
		"silent source": {1500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second},
		"frozen source": {0, 2 * time.Second, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load, draining := balance.Load{}, true
			e := newTestExecutor(&load, &draining)
			l := newFakeLink(0)
			e.links[1] = &acceptedLink{servedLink: l}
			if test.endsAfter > 0 {
				time.AfterFunc(test.endsAfter, func() { close(l.done) })
			}
			began := time.Now()
			if err := e.waitServed(t.Context()); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took < test.least || took > test.most {
				t.Errorf("waited for %s", took)
			}
		})
	}
}

// TestHeldRequestsAreCounted guards against request bytes of other routers that no metric shows.
func TestHeldRequestsAreCounted(t *testing.T) {
	load, draining := balance.Load{}, false
	e := newTestExecutor(&load, &draining)
	near, far := net.Pipe()
	release := make(chan struct{})
	serve := func(context.Context, control.NodeID, offload.Request, net.Conn) error {
		<-release
		return link.ErrDeclined
	}
	options := link.Options{Log: e.log, Budget: e.requests}
	executor := link.NewExecutor("source", far, serve, options)
	defer executor.Close()
	source := link.NewSource(near, options)
	defer source.Close()
	executor.SetAllowance(1, 1)
	request := offload.Request{Raw: []byte("GET / HTTP/1.1\r\n\r\n")}
	for deadline := time.Now().Add(testDeadline); executor.OpenRequests() == 0; time.Sleep(time.Millisecond) {
		source.Send(request, fakeAnswer{new(offload.Outcome)})
		if time.Now().After(deadline) {
			t.Fatal("no request is open")
		}
	}
	if held := e.heldBytes(); held != int64(len(request.Raw)) {
		t.Errorf("%d bytes are held", held)
	}
	close(release)
}

// TestExecutorsOfASource guards against executors that are smaller than allowed, of other data
// centres, leaving, not alive, or of unknown size.
func TestExecutorsOfASource(t *testing.T) {
	listed := []store.VM{
		{Name: "self", DataCentre: "x", Cores: 0.4}, {Name: "large", DataCentre: "x", Cores: 0.6},
		{Name: "small", DataCentre: "x", Cores: 0.59}, {Name: "unknown", DataCentre: "x"},
		{Name: "far", DataCentre: "y", Cores: 0.8}, {Name: "dead", DataCentre: "x", Cores: 0.8},
		{Name: "leaving", DataCentre: "x", Cores: 0.8, State: store.VMLeaving},
	}
	alive := []control.NodeID{"far", "large", "leaving", "self", "small", "unknown"}
	for _, test := range []struct {
		executors string
		cores     float64
		want      []string
	}{
		{settings.ExecutorsLarger, 0.4, []string{"large"}},
		{settings.ExecutorsLarger, 0, nil},
		{settings.ExecutorsAny, 0, []string{"large", "small"}},
		{settings.ExecutorsNone, 0.4, nil},
	} {
		rule := executorRule{executors: test.executors, self: "self", dataCentre: "x", cores: test.cores}
		var got []string
		for _, candidate := range rule.candidates(listed, alive) {
			got = append(got, candidate.Node)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%q with %v cores: %v, want %v", test.executors, test.cores, got, test.want)
		}
	}
}

// TestNoExecutorChangesNothing guards against a router that no other one may help being treated as
// late because of its queue of connections, or preparing requests for executors in vain.
func TestNoExecutorChangesNothing(t *testing.T) {
	s := newOffloadSource("a", slog.New(slog.DiscardHandler), nil, nil)
	if s.Available() {
		t.Error("requests are prepared for executors although there are none")
	}
	if s.lacked.Load() != 1 {
		t.Error("no executor is looked for")
	}
	delay := s.acceptDelay(func(time.Time) time.Duration { return time.Second })
	if got := delay(time.Now()); got != 0 {
		t.Errorf("the accept delay counts as %v of lateness", got)
	}
	s.usable.Store(&[]*executorLink{{}})
	if got := delay(time.Now()); got != time.Second || !s.Available() {
		t.Errorf("with an executor, the accept delay counts as %v, want 1 s", got)
	}
}
