package control

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/sched"
)

const (
	// firstBackoff and maxBackoff bound how long a failing target is passed over.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 8 * time.Second
	// maxRunBackoff is the longest where runs fail but load polls are answered.
	maxRunBackoff = 2 * time.Second
	// errorsToBackoff is how many runs in a row must end with a target's error.
	errorsToBackoff = 5
	// hopelessAfter is how long a target must fail before tickets that only it
	// could serve are refused.
	hopelessAfter = 5 * time.Second
	// prefixesKept bounds the prompt beginnings remembered of a target.
	prefixesKept = 512
)

// target is one target at the scheduler of its shard.
type target struct {
	shard *shard
	name  string
	// dataCentre is where it runs.
	dataCentre string
	// start tells the target's starts apart, as far as it is known, and listed is
	// what its declaration said last; zero: not known. What is learned of a target
	// belongs to one start: the next one keeps nothing and has failed nobody.
	start, listed int64
	// hash is the target's key for rendezvous hashing.
	hash   uint64
	window *sched.Window
	// engine models a target that counts its work in tokens; nil for others.
	engine *sched.Engine
	// behind holds the grants made beyond the slots, oldest first: they wait in
	// the target until a run there ends.
	behind []*grant
	// leaving, reportedLeaving and saidLeaving say that it takes nothing new: by its
	// declaration, by its last load report, and by an answer to some node, which holds until
	// its next start.
	leaving, reportedLeaving, saidLeaving bool
	// evacuated says that the target's data centre is being evacuated: it takes nothing new.
	evacuated bool
	// coldUntil is when its cold time ends; see coldLimit.
	coldUntil    Instant
	cold         coldLimit
	failures     int
	failingSince Instant
	downUntil    Instant
	// loadAt is when the last load report came; negative if none did.
	loadAt Instant
	// polledAt is when a load poll was last answered.
	polledAt Instant
	// pollFailed says that the last failure was of a load poll.
	pollFailed bool
	// wasHopeless is what hopeless said last.
	wasHopeless bool
	// unreachable says that a connection to it failed during the current series of failures,
	// and lostRuns counts the runs lost in that series.
	unreachable bool
	lostRuns    int
	// errors counts runs in a row that ended with the target's error.
	errors   int
	prefixes prefixSet
	timer    timer
}

func newTarget(now Instant, s *shard, name string) *target {
	return &target{shard: s, name: name, hash: member.HashOf(name), window: sched.NewWindow(now, 1), loadAt: -1}
}

// startedAnew says whether a declaration is of a later start of the target than the
// one known here. A declaration that lags behind what the target told itself is not.
func (t *target) startedAnew(decl config.Target) bool {
	return t.start != 0 && decl.Start != 0 && decl.Start != t.start && decl.Start != t.listed
}

func (t *target) declare(decl config.Target) {
	if t.start == 0 {
		t.start = decl.Start
	}
	t.listed = decl.Start
	t.leaving = decl.Leaving
	t.evacuated = decl.Evacuated
	t.dataCentre = decl.DataCentre
	t.window.Declare(decl.Slots)
}

// room returns how many grants the target may be given now.
func (t *target) room(now Instant) int {
	if !t.takesWork() || now < t.downUntil {
		return 0
	}
	room := 0
	switch {
	case t.failures > 0:
		room = max(0, 1-t.window.Out()) // one run probes it
	case t.engine != nil:
		room = t.engine.FreeSlots()
	default:
		room = t.window.Room(now)
	}
	if t.isCold(now) {
		return min(room, t.coldRoom(now))
	}
	return room
}

// hopeless says that the target cannot be expected to serve again soon. One
// that may be probed is not hopeless: only a ticket can show that it serves.
func (t *target) hopeless(now Instant) bool {
	failing := t.failures > 1 && now-t.failingSince >= hopelessAfter && now < t.downUntil
	return !t.takesWork() || failing
}

// takesWork reports whether the declaration, the load reports and the answers of the target
// permit new requests.
func (t *target) takesWork() bool {
	return !t.leaving && !t.reportedLeaving && !t.saidLeaving && !t.evacuated
}

// isCurrent says whether the target is listed still, in this start. Runs on earlier
// starts go on being counted on those, and say nothing of the present one.
func (t *target) isCurrent() bool { return t.shard.byName[t.name] == t }

// targetHere returns a target of the shards scheduled here, or nil.
func (m *Machine) targetHere(name string) *target {
	if m.topo == nil {
		return nil
	}
	id, ok := m.topo.shardOf(name)
	if !ok || m.sched.shards[id] == nil {
		return nil
	}
	return m.sched.shards[id].byName[name]
}

func (m *Machine) targetLoad(ev TargetLoad) {
	t := m.targetHere(ev.Target)
	if t == nil {
		return
	}
	t.loadAt = m.now
	t.window.Reported(m.now, ev.Running, ev.Queued, ev.Slots)
	t.polledAt = m.now
	t.prefixes.report(ev.CachedPrefixes)
	m.pollAnswered(t.name, ev.StartID)
	if t.pollFailed {
		m.targetServes(t, "load poll answered")
	}
	t.reportedLeaving = ev.Leaving
	m.noteHopeless(t)
	m.grantAll(t.shard)
}

func (m *Machine) targetUnreachable(ev TargetUnreachable) {
	if t := m.targetHere(ev.Target); t != nil {
		m.targetFailed(t, true, "load poll failed")
		m.pollFailed(t.name)
	}
}

// targetFailed passes a target over for a while, longer each time. When that
// time ends one run probes it.
func (m *Machine) targetFailed(t *target, poll bool, cause string) {
	if !t.isCurrent() {
		return
	}
	if m.now < t.downUntil && !poll {
		return // runs that failed together count once
	}
	m.counters.TargetFailures++
	if t.failures == 0 {
		t.failingSince = m.now
	}
	t.pollFailed = poll
	t.failures = min(t.failures+1, 16)
	longest := maxBackoff
	if !poll && m.now-t.polledAt <= pollFresh {
		longest = maxRunBackoff
	}
	backoff := min(firstBackoff<<(t.failures-1), longest)
	t.downUntil = m.now + m.jitter(backoff)
	m.emit(TargetJudged{Target: t.name, Failing: true, Failures: t.failures, Pause: t.downUntil - m.now, Cause: cause})
	m.timers.set(&t.timer, t, t.downUntil)
	m.noteHopeless(t)
}

// noteHopeless refuses what only this target could serve, once it cannot be
// expected to serve again soon.
func (m *Machine) noteHopeless(t *target) {
	was := t.wasHopeless
	t.wasHopeless = t.hopeless(m.now)
	if t.wasHopeless && !was {
		m.refuseHopeless(t.shard)
	}
}

// fire implements timed: the target may be probed.
func (t *target) fire(m *Machine) {
	m.noteHopeless(t)
	m.grantAll(t.shard)
}

// targetServes takes in that a target serves.
func (m *Machine) targetServes(t *target, cause string) {
	if !t.isCurrent() {
		return
	}
	if t.failures > 0 {
		m.emit(TargetJudged{Target: t.name, Failures: t.failures, Cause: cause})
	}
	likelyRestarted := t.unreachable || t.lostRuns >= restartLostRuns
	t.recovered()
	if likelyRestarted {
		m.targetRestarted(t)
	}
}

func (t *target) recovered() {
	t.failures = 0
	t.errors = 0
	t.downUntil = 0
	t.pollFailed = false
	t.unreachable, t.lostRuns = false, 0
}

// runOutcome learns about a target's health from the end of a run.
func (m *Machine) runOutcome(t *target, outcome Outcome) {
	if !t.isCurrent() {
		return
	}
	switch outcome {
	case OutcomeAnswered:
		m.targetServes(t, outcome.String())
	case OutcomeUnreachable, OutcomeRefused, OutcomeLost:
		t.unreachable = t.unreachable || outcome == OutcomeUnreachable
		if outcome == OutcomeLost {
			t.lostRuns++
		}
		m.targetFailed(t, false, outcome.String())
	case OutcomeFailed:
		t.errors++
		if t.errors >= errorsToBackoff {
			m.targetFailed(t, false, "errors in a row")
		}
	}
}

// prefixSet remembers which prompt beginnings are likely in a target's cache:
// those it reported and those granted to it of late.
type prefixSet struct {
	reported map[uint64]bool
	recent   map[uint64]bool
	order    []uint64
}

func (p *prefixSet) has(hash uint64) bool {
	return hash != 0 && (p.recent[hash] || p.reported[hash])
}

func (p *prefixSet) report(hashes []uint64) {
	if len(hashes) == 0 && len(p.reported) == 0 {
		return
	}
	p.reported = make(map[uint64]bool, min(len(hashes), prefixesKept))
	for _, h := range hashes[:min(len(hashes), prefixesKept)] {
		p.reported[h] = true
	}
}

func (p *prefixSet) granted(hash uint64) {
	if hash == 0 || p.recent[hash] {
		return
	}
	if p.recent == nil {
		p.recent = make(map[uint64]bool)
	}
	if len(p.order) >= prefixesKept {
		delete(p.recent, p.order[0])
		p.order = p.order[1:]
	}
	p.recent[hash] = true
	p.order = append(p.order, hash)
}
