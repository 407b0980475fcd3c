package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/speed"
)

// Targets may report with each response how long work takes there at the moment. Their scheduler
// estimates from that, and from the times of runs, how fast each of them is; see package speed.
// Targets that report no speed are treated as if none did.

const (
	// usualInterval is how often the usual time of a pool is computed.
	usualInterval = 100 * time.Millisecond
	// equalEndMargin is the factor on the earliest predicted end up to which a target counts as
	// equally good. The mean of some tens of runs varies by as much.
	equalEndMargin = 1.15
	// slowPassing is the passing factor from which on no request waits inside a target.
	slowPassing = 1.25
	// hopelessPart is the fraction of the time left to the objective beyond which a predicted start
	// counts as late.
	hopelessPart = 0.9
	// slotRunWeight is the weight of a run at a target that counts in slots for its speed. It is
	// low because requests differ in size.
	slotRunWeight = 0.5
)

// poolSpeed holds what the speed estimates of a shard's targets share.
type poolSpeed struct {
	pool    *speed.Pool
	usualAt Instant
	// usualService is the median of the mean service times of the targets with readings; for
	// pools that count in slots.
	usualService time.Duration
	// estimates is reused by updateUsual.
	estimates []*speed.Estimate
}

// targetReading records what a target reported with a response, age before now.
func (m *Machine) targetReading(t *target, reading speed.Reading, age time.Duration) {
	if t == nil || !reading.HasSpeed() || m.opts.IgnoreReadings || !t.isCurrent() {
		return
	}
	if t.engine != nil && m.opts.Tokens.NoSpeed {
		return
	}
	s := t.shard
	if s.speed == nil {
		s.speed = &poolSpeed{pool: speed.NewPool(), usualAt: m.now}
	}
	if t.speed == nil {
		m.setSpeed(t, speed.NewEstimate(s.speed.pool))
	}
	if !t.speed.Read(m.now-max(0, age), reading) {
		return
	}
	m.counters.ReadingsUsed++
	if m.now >= s.speed.usualAt+usualInterval {
		s.updateUsual(m.now)
	}
}

// setSpeed sets or, with nil, discards the speed estimate of a target.
func (m *Machine) setSpeed(t *target, estimate *speed.Estimate) {
	t.speed = estimate
	if t.engine != nil {
		t.engine.SetSpeed(m.now, estimate)
	}
}

// updateUsual computes the usual time of the shard's pool.
func (s *shard) updateUsual(now Instant) {
	p := s.speed
	p.usualAt = now
	p.estimates = p.estimates[:0]
	var services []time.Duration
	for _, t := range s.targets {
		if t.speed == nil {
			continue
		}
		p.estimates = append(p.estimates, t.speed)
		if service := t.window.MeanService(); service > 0 {
			services = append(services, service)
		}
	}
	p.pool.SetUsual(p.estimates)
	p.usualService = median(services)
}

// markSpeed records the time from which a run uses its slot, for Machine.learnRun.
func (g *grant) markSpeed(now Instant) {
	g.speedMark = nil
	if t := g.target; t.speed != nil && t.engine == nil {
		mark := t.speed.Mark(now)
		g.speedMark = &mark
		g.heldBefore = t.window.Held() - 1
	}
}

// learnRun updates the speed of a target that counts in slots from a complete run.
func (m *Machine) learnRun(g *grant, used time.Duration) {
	t := g.target
	if t.speed == nil || g.speedMark == nil || t.shard.speed.usualService <= 0 {
		return
	}
	t.speed.Learn(m.now, speed.Run{
		Since:    *g.speedMark,
		Took:     used.Seconds(),
		Expected: t.shard.speed.usualService.Seconds(),
		Running:  g.heldBefore,
		Slots:    t.window.Slots(),
		Weight:   slotRunWeight,
	})
}

// limitWaiting returns how many more grants a target that counts in slots may hold. While it is
// slower than usual, none waits there for a slot: another target may end it sooner.
func (t *target) limitWaiting(now Instant, free int) int {
	inSlots := max(0, t.window.Slots()-t.window.Held())
	if t.speed == nil || free <= inSlots || t.speed.Passing(now) < slowPassing {
		return free
	}
	return inSlots
}

// predictEnd returns how long after now a run of the given service time would end that is granted
// to a target that counts in slots and is used as given. A target without readings counts as usual.
func (t *target) predictEnd(now Instant, service time.Duration, utilisation float64) time.Duration {
	slots := t.window.Slots()
	used := utilisation * float64(slots)
	work := service.Seconds() * (1 + max(0, used+1-float64(slots))/float64(slots))
	if t.speed == nil {
		return toDuration(work)
	}
	return toDuration(t.speed.Stretch(now, work*t.speed.Fill(int(used), slots)))
}

// slotChoice is a possible target for a ticket of a pool that counts in slots.
type slotChoice struct {
	target *target
	// end is the predicted time from now until the run ends.
	end         time.Duration
	utilisation float64
}

// chooseBySpeed returns the target of a class with room at which a run is predicted to end first.
// Among those with about the same end it prefers one that probably has the prefix in its cache,
// then the least loaded.
func (m *Machine) chooseBySpeed(s *shard, c *class, prefix uint64) *target {
	choices := m.listSlotChoices(s, c)
	if len(choices) == 0 {
		return nil
	}
	earliest, leastLoaded := choices[0].end, choices[0]
	for _, choice := range choices[1:] {
		earliest = min(earliest, choice.end)
		if choice.utilisation < leastLoaded.utilisation {
			leastLoaded = choice
		}
	}
	latest := scale(equalEndMargin, earliest)
	best := leastLoadedUntil(choices, latest)
	if best.utilisation > leastLoaded.utilisation {
		m.counters.GrantsMovedBySpeed++
	}
	if prefix == 0 || m.opts.IgnorePrefixes || best.target.prefixes.has(prefix) {
		return best.target
	}
	for _, choice := range choices {
		if choice.target.prefixes.has(prefix) && choice.end <= latest && choice.utilisation < best.utilisation+equalUtilisationMargin {
			return choice.target
		}
	}
	return best.target
}

// listSlotChoices lists the targets of a class with room. The next call reuses the slice.
func (m *Machine) listSlotChoices(s *shard, c *class) []slotChoice {
	service := s.speed.usualService
	if service <= 0 {
		service = m.typicalService(s.id.Pool)
	}
	choices := m.sched.slotChoices[:0]
	for _, t := range c.targets {
		if m.hasRoomFor(c, t) {
			utilisation := t.window.Utilisation(m.now)
			choices = append(choices, slotChoice{target: t, end: t.predictEnd(m.now, service, utilisation), utilisation: utilisation})
		}
	}
	m.sched.slotChoices = choices
	return choices
}

// leastLoadedUntil returns the least loaded choice of those that end by the given time.
func leastLoadedUntil(choices []slotChoice, latest time.Duration) slotChoice {
	var best slotChoice
	for _, choice := range choices {
		if choice.end <= latest && (best.target == nil || choice.utilisation < best.utilisation) {
			best = choice
		}
	}
	return best
}

// isTooSlow reports whether no target of a shard can meet the objective of a ticket now, because
// all of them are slower than they usually are. If they usually cannot meet it either, the ticket
// is served as well as possible: refusing it would not help its caller.
func (m *Machine) isTooSlow(s *shard, objective time.Duration) bool {
	if s.speed == nil || s.speed.usualService <= 0 || m.topo.decl.Pools[s.id.Pool].Kind != config.KindService {
		return false
	}
	service := s.speed.usualService.Seconds()
	usuallyInTime := false
	for _, t := range s.targets {
		if t.speed == nil || toDuration(t.speed.Stretch(m.now, service)) <= objective {
			return false
		}
		usuallyInTime = usuallyInTime || toDuration(t.speed.Lasting(m.now)*service) <= objective
	}
	return usuallyInTime
}

// isHopeless reports whether a ticket of a pool that counts in tokens would be late at the best of the
// targets with room, although it could have been in time at an idle target of the usual speed.
func (m *Machine) isHopeless(q *queuedTicket, p placement) bool {
	if q.shard.speed == nil || q.objective <= 0 || q.ticket.Again || q.ticket.Continues || q.neverInTime {
		return false
	}
	return p.start > scale(hopelessPart, q.objective-m.now)
}

// mustDefer reports whether a ticket of a pool of services would be late at a target, the best one
// with room, so that tickets which can be in time go first.
func (m *Machine) mustDefer(q *queuedTicket, t *target) bool {
	s := q.shard
	if s.speed == nil || s.speed.usualService <= 0 || q.ticket.Objective <= 0 || q.rank == rankDeferred {
		return false
	}
	if m.topo.decl.Pools[s.id.Pool].Kind != config.KindService {
		return false
	}
	return t.predictEnd(m.now, s.speed.usualService, t.window.Utilisation(m.now)) > scale(hopelessPart, q.objective-m.now)
}

// isUsuallyInTime reports whether an idle target could serve a ticket of a pool that counts in tokens
// in time, without the passing slowness of the targets.
func (m *Machine) isUsuallyInTime(q *queuedTicket) bool {
	for _, c := range m.listCandidates(q.shard.targets, q.task) {
		if c.target.engine.PredictIdleLasting(m.now, q.task, c.reads) <= scale(m.opts.Tokens.TimelyPart, q.objective-m.now) {
			return true
		}
	}
	return false
}

// median returns the median of durations; zero if there are none. It sorts them.
func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}
