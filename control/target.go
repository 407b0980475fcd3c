package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/member"
	"github.com/walnutcove/walnutcove/control/sched"
	"github.com/walnutcove/walnutcove/control/speed"
)

const (
	// minBackoff and maxBackoff bound how long a failing target gets no grants.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// maxRunBackoff is the maximum backoff while runs fail but load polls are answered.
	maxRunBackoff = 2 * time.Second
	// maxConsecutiveErrors is how many consecutive runs have to end with a target's error
	// for it to count as failing.
	maxConsecutiveErrors = 5
	// probeTimeout is how long a probe of a failing target may run before the next one is
	// made: it may hang, as the target failed.
	probeTimeout = 2 * time.Second
	// unservableAfter is how long a target must fail before tickets that only it could
	// serve are refused.
	unservableAfter = 5 * time.Second
	// maxPrefixes bounds the prompt prefixes remembered of a target.
	maxPrefixes = 512
)

// target is the state of one target at the scheduler of its shard.
type target struct {
	shard *shard
	name  string
	// dataCentre is the data centre in which it runs.
	dataCentre string
	// start identifies the target's current start, as far as it is known, and declaredStart
	// is the one in its latest declaration; zero: unknown. What is learned about a target
	// applies to one start only: the next one begins with an empty cache and without
	// failures.
	start, declaredStart int64
	// knownSince is when this node learned of that start.
	knownSince Instant
	// hash is the target's key for rendezvous hashing.
	hash   uint64
	window *sched.Window
	// engine models a target that counts its work in tokens; nil for others.
	engine *sched.Engine
	// speed estimates how fast it is; nil until it reports its speed.
	speed *speed.Estimate
	// waitingGrants holds the grants made beyond the slots, oldest first: they wait in the
	// target until a run there ends.
	waitingGrants []*grant
	// leaving, reportedLeaving and announcedLeaving report that it accepts no new requests: by
	// its declaration, by its last load report, and by an answer to some node. The last
	// holds until its next start.
	leaving, reportedLeaving, announcedLeaving bool
	// evacuated reports that the target's data centre is being evacuated: it accepts no new
	// requests.
	evacuated bool
	// coldUntil is when the target's cold period ends; see coldLimit.
	coldUntil Instant
	cold      coldLimit
	// failures counts the current series of failures, which began at failingSince. The
	// target gets no grants before backoffUntil.
	failures     int
	failingSince Instant
	backoffUntil Instant
	// probe is the latest run granted during the current series of failures; nil if it has
	// ended.
	probe *grant
	// overdue holds the grants whose runs are overdue, oldest report first.
	overdue []*grant
	// begun holds the runs on which it began an answer lately, oldest first, and loss the
	// series of lost runs that is not decided on yet; nil if there is none.
	begun []begunRun
	loss  *targetLoss
	// crashed reports that it has answered nothing since it was taken to have crashed.
	crashed bool
	// loadReportedAt is when the last load report arrived; negative if none did.
	loadReportedAt Instant
	// polledAt is when a load poll was last answered.
	polledAt Instant
	// pollFailed reports whether the latest failure was of a load poll.
	pollFailed bool
	// wasUnservable is the latest result of isUnservable.
	wasUnservable bool
	// unreachable reports that a connection to it failed during the current series of
	// failures, and lostRuns counts the runs lost in that series.
	unreachable bool
	lostRuns    int
	// consecutiveErrors counts the latest consecutive runs that ended with the target's
	// error.
	consecutiveErrors int
	prefixes          prefixSet
	timer             timer
}

func newTarget(now Instant, s *shard, name string) *target {
	window := sched.NewWindow(now, 1)
	s.settlesAt = cmp.Or(s.settlesAt, window.SettlesAt())
	return &target{shard: s, name: name, knownSince: now, hash: member.HashOf(name), window: window, loadReportedAt: -1}
}

// isNewStart reports whether a declaration is of a later start of the target than the one
// known here. A declaration that lags behind what the target reported itself is not.
func (t *target) isNewStart(decl config.Target) bool {
	return t.start != 0 && decl.Start != 0 && decl.Start != t.start && decl.Start != t.declaredStart
}

func (t *target) declare(decl config.Target) {
	if t.start == 0 {
		t.start = decl.Start
	}
	t.declaredStart = decl.Start
	t.leaving = decl.Leaving
	t.evacuated = decl.Evacuated
	t.dataCentre = decl.DataCentre
	t.window.SetSlots(decl.Slots)
}

// room returns how many more grants the target may currently be given.
func (t *target) room(now Instant) int {
	if !t.takesWork() || now < t.backoffUntil {
		return 0
	}
	room := 0
	switch {
	case t.failures > 0:
		// Runs from before the failure may hang: they take slots, but do not count as the probe.
		if now >= t.nextProbeAt() && t.window.Held() < t.window.Slots() {
			room = 1
		}
	case t.engine != nil:
		room = t.engine.FreeSlots()
	default:
		room = t.limitWaiting(now, t.window.Free(now))
	}
	if t.isCold(now) {
		return min(room, t.coldRoom(now))
	}
	return room
}

// nextProbeAt returns the earliest time at which a failing target may be probed.
func (t *target) nextProbeAt() Instant {
	if t.probe == nil {
		return t.backoffUntil
	}
	return max(t.backoffUntil, t.probe.grantedAt+probeTimeout)
}

// addOverdue records that a run is overdue.
func (t *target) addOverdue(g *grant) {
	if !slices.Contains(t.overdue, g) {
		t.overdue = append(t.overdue, g)
	}
}

// grantEnded removes a grant that has ended from the probe and the overdue runs.
func (t *target) grantEnded(g *grant) {
	if t.probe == g {
		t.probe = nil
	}
	if i := slices.Index(t.overdue, g); i >= 0 {
		t.overdue = slices.Delete(t.overdue, i, i+1)
	}
}

// isUnservable reports whether the target cannot be expected to serve again soon. A target
// that may be probed is servable: only a ticket can show whether it works again.
func (t *target) isUnservable(now Instant) bool {
	failing := t.failures > 1 && now-t.failingSince >= unservableAfter && now < t.backoffUntil
	return !t.takesWork() || failing
}

// takesWork reports whether the declaration, the load reports and the answers of the target
// permit new requests.
func (t *target) takesWork() bool {
	return !t.leaving && !t.reportedLeaving && !t.announcedLeaving && !t.evacuated
}

// isCurrent reports whether the target is still listed with this start. Runs on earlier
// starts continue to be counted there, and say nothing about the present start.
func (t *target) isCurrent() bool { return t.shard.targetsByName[t.name] == t }

// localTarget returns a target of the shards scheduled here, or nil.
func (m *Machine) localTarget(name string) *target {
	if m.topo == nil {
		return nil
	}
	id, ok := m.topo.shardOf(name)
	if !ok || m.sched.shards[id] == nil {
		return nil
	}
	return m.sched.shards[id].targetsByName[name]
}

func (m *Machine) targetLoadReported(ev TargetLoad) {
	t := m.localTarget(ev.Target)
	if t == nil {
		return
	}
	t.loadReportedAt = m.now
	t.window.Reported(m.now, ev.Running, ev.Queued, ev.Slots)
	t.polledAt = m.now
	t.prefixes.setReported(ev.CachedPrefixes)
	m.pollAnswered(t.name, ev.StartID)
	if t.pollFailed {
		m.targetSucceeded(t, "load poll answered")
	}
	t.reportedLeaving = ev.Leaving
	m.updateUnservable(t)
	m.grantWaiting(t.shard)
}

func (m *Machine) targetUnreachable(ev TargetUnreachable) {
	if t := m.localTarget(ev.Target); t != nil {
		m.targetFailed(t, true, "load poll failed")
		m.pollFailed(t.name)
	}
}

// targetFailed gives a target no grants for a while, longer after each failure. Afterwards
// one run probes it. poll reports that the failure was of a load poll.
func (m *Machine) targetFailed(t *target, poll bool, cause string) {
	if !t.isCurrent() {
		return
	}
	if m.now < t.backoffUntil && !poll {
		return // runs that failed at the same time count once
	}
	m.counters.TargetFailures++
	if t.failures == 0 {
		t.failingSince = m.now
	}
	t.pollFailed = poll
	t.failures = min(t.failures+1, 16) // bounded, so that the shift below does not overflow
	longest := maxBackoff
	if !poll && m.now-t.polledAt <= pollFreshFor {
		longest = maxRunBackoff
	}
	backoff := min(minBackoff<<(t.failures-1), longest)
	t.backoffUntil = m.now + m.jitter(backoff)
	m.emit(TargetHealthChanged{Target: t.name, Failing: true, Failures: t.failures, Backoff: t.backoffUntil - m.now, Cause: cause})
	m.timers.set(&t.timer, t, t.nextProbeAt())
	m.updateUnservable(t)
}

// recordProbe records a run granted to a failing target.
func (m *Machine) recordProbe(t *target, g *grant) {
	t.probe = g
	m.counters.TargetProbes++
	m.timers.set(&t.timer, t, t.nextProbeAt())
}

// updateUnservable refuses what only this target could serve, once it cannot be expected to
// serve again soon.
func (m *Machine) updateUnservable(t *target) {
	wasUnservable := t.wasUnservable
	t.wasUnservable = t.isUnservable(m.now)
	if t.wasUnservable && !wasUnservable {
		m.refuseUnservable(t.shard)
	}
}

// fire implements timerOwner: the target may be probed.
func (t *target) fire(m *Machine) {
	m.updateUnservable(t)
	m.grantWaiting(t.shard)
}

// targetSucceeded records that a target works.
func (m *Machine) targetSucceeded(t *target, cause string) {
	if !t.isCurrent() {
		return
	}
	if t.failures > 0 {
		m.emit(TargetHealthChanged{Target: t.name, Failures: t.failures, Cause: cause})
	}
	likelyRestarted := t.unreachable || t.lostRuns >= restartLostRuns
	t.resetFailures()
	if likelyRestarted {
		m.targetRestarted(t)
	}
}

func (t *target) resetFailures() {
	t.failures = 0
	t.consecutiveErrors = 0
	t.backoffUntil = 0
	t.probe = nil
	t.pollFailed = false
	t.unreachable, t.lostRuns = false, 0
}

// recordOutcome updates a target's health from the end of a run.
func (m *Machine) recordOutcome(t *target, outcome Outcome) {
	if !t.isCurrent() {
		return
	}
	switch outcome {
	case OutcomeAnswered:
		m.targetSucceeded(t, outcome.String())
	case OutcomeUnreachable, OutcomeRefused, OutcomeLost:
		t.unreachable = t.unreachable || outcome == OutcomeUnreachable
		if outcome == OutcomeLost {
			t.lostRuns++
		}
		m.targetFailed(t, false, outcome.String())
	case OutcomeFailed:
		t.consecutiveErrors++
		if t.consecutiveErrors >= maxConsecutiveErrors {
			m.targetFailed(t, false, "errors in a row")
		}
	}
}

// prefixSet holds the prompt prefixes that are probably in a target's cache: those that it
// reported and those recently granted to it.
type prefixSet struct {
	reported map[uint64]bool
	recent   map[uint64]bool
	// order lists the recent ones, oldest first.
	order []uint64
}

func (p *prefixSet) has(hash uint64) bool {
	return hash != 0 && (p.recent[hash] || p.reported[hash])
}

func (p *prefixSet) setReported(hashes []uint64) {
	if len(hashes) == 0 && len(p.reported) == 0 {
		return
	}
	p.reported = make(map[uint64]bool, min(len(hashes), maxPrefixes))
	for _, h := range hashes[:min(len(hashes), maxPrefixes)] {
		p.reported[h] = true
	}
}

func (p *prefixSet) addRecent(hash uint64) {
	if hash == 0 || p.recent[hash] {
		return
	}
	if p.recent == nil {
		p.recent = make(map[uint64]bool)
	}
	if len(p.order) >= maxPrefixes {
		delete(p.recent, p.order[0])
		p.order = p.order[1:]
	}
	p.recent[hash] = true
	p.order = append(p.order, hash)
}
