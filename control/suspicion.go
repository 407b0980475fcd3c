package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/quarantine"
)

const (
	// maxRunningTold bounds the fingerprints in one notice.
	maxRunningTold = 100
	// downAfter is how long the polls of a target must fail, while others are
	// answered, before its broken runs count as a crash.
	downAfter = 3 * time.Second
	// settleAfterLoss is how old the last broken run must be before an answered
	// poll speaks for the target: an earlier answer may have been under way.
	settleAfterLoss = 500 * time.Millisecond
	// pollFresh is how old the last answered load poll may be for a failed
	// poll of another target to speak against that target, not this node.
	pollFresh = 2500 * time.Millisecond
	// expireEvery is the period of forgetting old evidence.
	expireEvery = time.Second
)

// suspicion holds the evidence about requests that crash targets. The
// scheduler of a shard knows everything that runs on a target, so it is the one
// that gathers evidence; package quarantine judges it.
type suspicion struct {
	tracker  *quarantine.Tracker
	expireAt Instant
	// polled is the last target whose load poll was answered, and when.
	polled   string
	polledAt Instant
	// starts is what load polls tell of each target.
	starts map[string]*targetStart
}

// targetStart is the start identity of a target and how its polls go.
type targetStart struct {
	// id is the identity that it last reported, since when; zero if none.
	id    uint64
	since Instant
	// failing says that the last poll failed, the first in a row at failingSince.
	failing      bool
	failingSince Instant
	// lostAt is when a run last broke off there; lost says that one did since
	// the target was last found unharmed.
	lost   bool
	lostAt Instant
}

func newSuspicion() suspicion {
	return suspicion{
		tracker: quarantine.New(quarantine.Options{MaxRunning: maxRunningTold}),
		starts:  make(map[string]*targetStart),
	}
}

// convicted says that a fingerprint must not run.
func (m *Machine) convicted(fingerprint uint64) bool {
	return fingerprint != 0 && m.suspicion.tracker.Verdict(fingerprint) == quarantine.VerdictConvicted
}

// suspect says that a fingerprint must not share a target with another suspect.
func (m *Machine) suspect(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	verdict := m.suspicion.tracker.Verdict(fingerprint)
	return verdict == quarantine.VerdictSuspect || verdict == quarantine.VerdictIsolate
}

func (s *suspicion) start(target string) *targetStart {
	st := s.starts[target]
	if st == nil {
		st = &targetStart{}
		s.starts[target] = st
	}
	return st
}

// runLost takes in that a run broke off. It is no crash yet: the ways to a
// target break too, for one entry or for many. The target's next load polls
// tell which it was.
func (m *Machine) runLost(g *grant) {
	running := []uint64{g.finger}
	for _, other := range g.shard.sortedGrants() {
		if other.target == g.target && other != g {
			running = append(running, other.finger)
		}
	}
	m.judged(m.suspicion.tracker.Lost(m.now, g.target.name, known(running)))
	st := m.suspicion.start(g.target.name)
	st.lost, st.lostAt = true, m.now
}

// known drops the zero fingerprints, which stand for none, and bounds the rest.
func known(fingerprints []uint64) []uint64 {
	var out []uint64
	for _, f := range fingerprints {
		if f != 0 && len(out) < maxRunningTold {
			out = append(out, f)
		}
	}
	return out
}

// runAnswered clears a request that ran to completion.
func (m *Machine) runAnswered(fingerprint uint64) {
	if fingerprint != 0 {
		m.judged(m.suspicion.tracker.Completed(m.now, fingerprint))
	}
}

// pollAnswered takes in a target's start identity; zero if it reports none. A
// new one means that it crashed or restarted, the same one that it did not.
func (m *Machine) pollAnswered(target string, id uint64) {
	s := &m.suspicion
	s.polled, s.polledAt = target, m.now
	st := s.start(target)
	st.failing = false
	switch {
	case id == 0:
		st.id = 0
	case st.id != id:
		restarted := st.id != 0
		st.id, st.since, st.lost = id, m.now, false
		if restarted {
			m.judged(s.tracker.CrashConfirmed(m.now, target))
		}
	case st.lost && m.now-st.lostAt >= settleAfterLoss:
		st.lost = false
		m.judged(s.tracker.Alive(m.now, st.since, target))
	}
}

// pollFailed takes in that a target cannot be reached. After a while it is
// down, unless this node reaches no other target either.
func (m *Machine) pollFailed(target string) {
	s := &m.suspicion
	st := s.start(target)
	if !st.failing {
		st.failing, st.failingSince = true, m.now
	}
	reachesOthers := s.polled != "" && s.polled != target && m.now-s.polledAt <= pollFresh
	if st.lost && reachesOthers && m.now-st.failingSince >= downAfter {
		m.judged(s.tracker.CrashConfirmed(m.now, target))
	}
}

// vanishTime is how long a broken run may lie back when its target is taken off
// the listing, for the two to be one crash: entries of crashed targets lapse after
// three missed heartbeats of a second or so.
const vanishTime = 6 * time.Second

// noteVanished takes in which targets the next configuration lacks, or has in
// another start. One that went without having been leaving, soon after a run broke
// off there, has crashed.
func (m *Machine) noteVanished(next *topology) {
	if m.topo == nil || next.order.Targets == 0 {
		return // operators declare the targets, and may take any out
	}
	for _, name := range sortedKeys(m.topo.decl.Targets) {
		before := m.topo.decl.Targets[name]
		after, still := next.decl.Targets[name]
		if before.Leaving || still && after.Start == before.Start {
			continue
		}
		st := m.suspicion.starts[name]
		if st != nil && st.lost && m.now-st.lostAt <= vanishTime {
			m.judged(m.suspicion.tracker.CrashConfirmed(m.now, name))
		}
		delete(m.suspicion.starts, name)
	}
}

func (m *Machine) suspicionTick() {
	if m.now < m.suspicion.expireAt {
		return
	}
	m.suspicion.expireAt = m.now + expireEvery
	m.judged(m.suspicion.tracker.Expire(m.now))
}

// judged carries out what follows from new evidence.
func (m *Machine) judged(out quarantine.Output) {
	for _, c := range out.Changes {
		convicted := c.Verdict == quarantine.VerdictConvicted
		if convicted {
			m.counters.Convictions++
		}
		m.emit(QuarantineChanged{Fingerprint: c.Fingerprint, Quarantined: convicted})
	}
	if len(out.Notices) > 0 {
		for _, name := range m.view.Watchers(m.now, 0) {
			m.sendNotices(NodeID(name), out.Notices)
		}
	}
	if len(out.Changes) > 0 {
		for _, s := range m.sched.sortedShards() {
			m.refuseHopeless(s)
		}
	}
}

func (m *Machine) sendNotices(to NodeID, notices []quarantine.Notice) {
	for _, n := range notices {
		msg := QuarantineNotice{Fingerprint: n.Fingerprint, Running: n.Running, Age: n.Age}
		if n.Target != "" {
			msg.Crashes = []string{n.Target}
		}
		m.send(to, msg)
	}
}

// tellEvidence sends what is known here to a node that has come back.
func (m *Machine) tellEvidence(node NodeID) {
	m.sendNotices(node, m.suspicion.tracker.State(m.now))
}

func (m *Machine) noticeReceived(msg QuarantineNotice) {
	n := quarantine.Notice{
		Kind:        quarantine.NoticeClearance,
		Fingerprint: msg.Fingerprint,
		Running:     msg.Running,
		Age:         msg.Age,
	}
	if len(msg.Crashes) > 0 {
		n.Kind = quarantine.NoticeCrash
		n.Target = msg.Crashes[0]
		if len(msg.Running) == 0 {
			n.Kind = quarantine.NoticeRetraction
		}
	}
	m.judged(m.suspicion.tracker.Merge(m.now, n))
}
