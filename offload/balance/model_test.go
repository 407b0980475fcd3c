package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	step = 50 * time.Millisecond
	// servedTime is the processor time of a served request, and heldTime how long it is open.
	servedTime = 0.0005
	heldTime   = 500 * time.Millisecond
)

// modelExecutor is an executor whose lag is the time that new work waits for its processor.
type modelExecutor struct {
	node        string
	cores       float64
	descriptors int
	pacer       *Pacer
	// ownWork is the part of its processor that its own callers use.
	ownWork         float64
	closed, removed bool
	backlog         float64 // seconds of processor time
	lag             time.Duration
	links           map[*modelSource]*modelLink
	nextLink        uint64
	accepted        int // in the last step
}

// modelLink is the link of one source to one executor.
type modelLink struct {
	Demand
	granted  uint64
	maxOpen  int
	ends     []time.Duration
	sentLast bool
}

func (l *modelLink) allowance() int {
	return min(int(l.granted-l.Sent), l.maxOpen-l.Open)
}

// modelSource is an overloaded router that selects perSecond requests for refusal.
type modelSource struct {
	perSecond         float64
	due               float64
	selector          *Selector
	dials             int
	offered, offloads int
	lacked            bool
}

// model is a data centre in virtual time.
type model struct {
	now       time.Duration
	executors []*modelExecutor
	sources   []*modelSource
	random    *rand.Rand
}

// newModel returns a model with executors of the given cores and sources without load.
func newModel(sources int, cores ...float64) *model {
	m := &model{random: rand.New(rand.NewPCG(1, 2))}
	for i, c := range cores {
		e := &modelExecutor{node: fmt.Sprint("vm-", i), cores: c, descriptors: 4100, links: make(map[*modelSource]*modelLink)}
		e.pacer = NewPacer(c, e.descriptors)
		m.executors = append(m.executors, e)
	}
	for i := range sources {
		m.sources = append(m.sources, &modelSource{selector: NewSelector(fmt.Sprint("small-", i))})
	}
	m.membersChanged()
	return m
}

// idle returns n routers with the given cores.
func idle(n int, cores float64) []float64 { return slices.Repeat([]float64{cores}, n) }

func (m *model) membersChanged() {
	var candidates []Candidate
	for _, e := range m.executors {
		if !e.removed {
			candidates = append(candidates, Candidate{e.node, e.cores})
			continue
		}
		clear(e.links)
	}
	for _, s := range m.sources {
		s.selector.SetCandidates(candidates)
	}
}

// run advances the model.
func (m *model) run(duration time.Duration) {
	for end := m.now + duration; m.now < end; m.now += step {
		for _, e := range m.executors {
			e.step(m.now)
		}
		for _, s := range m.sources {
			m.stepSource(s)
		}
	}
}

// step ends requests that are due and grants allowance.
func (e *modelExecutor) step(now time.Duration) {
	e.backlog = max(0, e.backlog+(e.ownWork-1)*e.cores*step.Seconds()+float64(e.accepted)*servedTime)
	e.lag += time.Duration(0.2 * (e.backlog/e.cores*float64(time.Second) - float64(e.lag)))
	e.accepted = 0
	var links []*modelLink
	var demands []Demand
	for _, link := range e.links {
		before := len(link.ends)
		link.ends = slices.DeleteFunc(link.ends, func(end time.Duration) bool { return end <= now })
		link.Open -= before - len(link.ends)
		links = append(links, link)
		demands = append(demands, link.Demand)
	}
	for i, grant := range e.pacer.Step(now, Load{Lag: e.lag, Closed: e.closed}, demands) {
		links[i].granted += uint64(grant.More)
		links[i].maxOpen = grant.MaxOpen
	}
}

// stepSource dials the executors that the selector wants and sends the requests of one step.
func (m *model) stepSource(s *modelSource) {
	if s.perSecond == 0 {
		return
	}
	wanted := s.selector.Executors(m.now)
	var links []*modelLink
	var executors []*modelExecutor
	for _, e := range m.executors {
		if !slices.Contains(wanted, e.node) {
			continue
		}
		link := e.links[s]
		if link == nil {
			e.nextLink++
			link = &modelLink{Demand: Demand{Link: e.nextLink}}
			e.links[s] = link
			s.dials++
		}
		if s.selector.Observe(m.now, e.node, link.sentLast || link.allowance() > 0, s.lacked) {
			delete(e.links, s)
			continue
		}
		link.sentLast = false
		links, executors = append(links, link), append(executors, e)
	}
	s.lacked = false
	for s.due += s.perSecond * step.Seconds(); s.due >= 1; s.due-- {
		s.offered++
		i := Choose(len(links), func(i int) int { return links[i].allowance() }, m.random.IntN)
		if i < 0 {
			s.lacked = true
			s.selector.Lacked(m.now)
			if len(links) > 0 {
				links[m.random.IntN(len(links))].Wanted++
			}
			continue
		}
		links[i].Sent++
		links[i].Wanted++
		links[i].Open++
		links[i].sentLast = true
		links[i].ends = append(links[i].ends, m.now+heldTime)
		executors[i].accepted++
		s.offloads++
	}
}

// offloadedPart returns the part of the offered requests that is offloaded in the given time.
func (m *model) offloadedPart(sources []*modelSource, duration time.Duration) float64 {
	for _, s := range sources {
		s.offered, s.offloads = 0, 0
	}
	m.run(duration)
	offered, offloads := 0, 0
	for _, s := range sources {
		offered += s.offered
		offloads += s.offloads
	}
	return float64(offloads) / float64(max(1, offered))
}

// checkPart checks that at least a part of the requests is offloaded.
func (m *model) checkPart(t *testing.T, what string, least float64, duration time.Duration, sources ...*modelSource) {
	t.Helper()
	if part := m.offloadedPart(sources, duration); part < least {
		t.Errorf("%s: %.2f of the requests were offloaded, want %.2f", what, part, least)
	}
}

// checkLag checks that no executor is late.
func (m *model) checkLag(t *testing.T, limit time.Duration) {
	t.Helper()
	for _, e := range m.executors {
		if e.lag > limit {
			t.Errorf("executor %s has a lag of %s", e.node, e.lag)
		}
	}
}
