package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/quarantine"
)

const (
	// maxNoticeFingerprints bounds the fingerprints in one notice.
	maxNoticeFingerprints = 100
	// crashedAfter is how long the polls of a target must fail, while other targets answer,
	// before its broken runs count as a crash.
	crashedAfter = 3 * time.Second
	// lossSettleTime is the minimum age of the last broken run before an answered poll
	// proves that the target did not crash: an earlier answer may have been in transit
	// already.
	lossSettleTime = 500 * time.Millisecond
	// pollFreshFor is the maximum age of the last answered load poll for a failed poll of
	// another target to be blamed on that target rather than on this node.
	pollFreshFor = 2500 * time.Millisecond
	// expireInterval is the period of removing old evidence.
	expireInterval = time.Second
)

// crashEvidence holds the evidence about requests that crash targets. The scheduler of a
// shard knows everything that runs on a target, so it collects the evidence; package
// quarantine evaluates it.
type crashEvidence struct {
	tracker  *quarantine.Tracker
	expireAt Instant
	// lastPolled is the last target whose load poll was answered, at lastPolledAt.
	lastPolled   string
	lastPolledAt Instant
	// starts maps a target's name to its start identity and the state of its polls.
	starts map[string]*targetStart
}

// targetStart is the start identity of a target and the state of its polls.
type targetStart struct {
	// id is the identity that it last reported, first seen at since; zero if none.
	id    uint64
	since Instant
	// failing reports that the last poll failed, the first of a consecutive series at
	// failingSince.
	failing      bool
	failingSince Instant
	// lostAt is when a run last broke off there; lost reports that one did since the target
	// was last found not to have crashed.
	lost   bool
	lostAt Instant
}

func newCrashEvidence() crashEvidence {
	return crashEvidence{
		tracker: quarantine.New(quarantine.Options{MaxRunning: maxNoticeFingerprints}),
		starts:  make(map[string]*targetStart),
	}
}

// isConvicted reports whether a fingerprint must not run.
func (m *Machine) isConvicted(fingerprint uint64) bool {
	return fingerprint != 0 && m.crashEvidence.tracker.Verdict(fingerprint) == quarantine.VerdictConvicted
}

// isSuspect reports whether a fingerprint must not share a target with another suspect.
func (m *Machine) isSuspect(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	verdict := m.crashEvidence.tracker.Verdict(fingerprint)
	return verdict == quarantine.VerdictSuspect || verdict == quarantine.VerdictIsolate
}

func (s *crashEvidence) startOf(target string) *targetStart {
	st := s.starts[target]
	if st == nil {
		st = &targetStart{}
		s.starts[target] = st
	}
	return st
}

// runLost records that a run broke off. That alone does not prove a crash: network paths to
// a target also fail, for one entry or for many. The target's next load polls show which it
// was.
func (m *Machine) runLost(g *grant) {
	running := []uint64{g.fingerprint}
	for _, other := range g.target.sortedGrants() {
		if other != g {
			running = append(running, other.fingerprint)
		}
	}
	m.applyQuarantine(m.crashEvidence.tracker.ConnectionsLost(m.now, g.target.name, nonZeroFingerprints(running)))
	st := m.crashEvidence.startOf(g.target.name)
	st.lost, st.lostAt = true, m.now
}

// nonZeroFingerprints removes the zero fingerprints, which mean none, and limits the number
// of the others.
func nonZeroFingerprints(fingerprints []uint64) []uint64 {
	var out []uint64
	for _, f := range fingerprints {
		if f != 0 && len(out) < maxNoticeFingerprints {
			out = append(out, f)
		}
	}
	return out
}

// runAnswered clears a request that ran to completion.
func (m *Machine) runAnswered(fingerprint uint64) {
	if fingerprint != 0 {
		m.applyQuarantine(m.crashEvidence.tracker.Completed(m.now, fingerprint))
	}
}

// pollAnswered records a target's start identity; zero if it reports none. A new identity
// means that it crashed or restarted, the same one that it did not.
func (m *Machine) pollAnswered(target string, id uint64) {
	s := &m.crashEvidence
	s.lastPolled, s.lastPolledAt = target, m.now
	st := s.startOf(target)
	st.failing = false
	switch {
	case id == 0:
		st.id = 0
	case st.id != id:
		restarted := st.id != 0
		st.id, st.since, st.lost = id, m.now, false
		if restarted {
			m.applyQuarantine(s.tracker.CrashConfirmed(m.now, target))
		}
	case st.lost && m.now-st.lostAt >= lossSettleTime:
		st.lost = false
		m.applyQuarantine(s.tracker.StillRunning(m.now, st.since, target))
	}
}

// pollFailed records that a target could not be reached. After a while it counts as
// crashed, unless this node reaches no other target either.
func (m *Machine) pollFailed(target string) {
	s := &m.crashEvidence
	st := s.startOf(target)
	if !st.failing {
		st.failing, st.failingSince = true, m.now
	}
	reachesOthers := s.lastPolled != "" && s.lastPolled != target && m.now-s.lastPolledAt <= pollFreshFor
	if st.lost && reachesOthers && m.now-st.failingSince >= crashedAfter {
		m.applyQuarantine(s.tracker.CrashConfirmed(m.now, target))
	}
}

// vanishWindow is the maximum time between a broken run and the removal of its target from
// the listing for both to count as one crash: listing entries of crashed targets lapse
// after three missed heartbeats of a second or so.
const vanishWindow = 6 * time.Second

// detectVanishedTargets finds the targets that the next configuration lacks or lists with
// another start. One that disappeared without having been leaving, soon after a run broke
// off there, has crashed.
func (m *Machine) detectVanishedTargets(next *topology) {
	if m.topo == nil || next.order.Targets == 0 {
		return // operators declare the targets, and may remove any of them
	}
	for _, name := range sortedKeys(m.topo.decl.Targets) {
		before := m.topo.decl.Targets[name]
		after, stillListed := next.decl.Targets[name]
		if before.Leaving || stillListed && after.Start == before.Start {
			continue
		}
		st := m.crashEvidence.starts[name]
		if st != nil && st.lost && m.now-st.lostAt <= vanishWindow {
			m.applyQuarantine(m.crashEvidence.tracker.CrashConfirmed(m.now, name))
		}
		delete(m.crashEvidence.starts, name)
	}
}

func (m *Machine) crashEvidenceTick() {
	if m.now < m.crashEvidence.expireAt {
		return
	}
	m.crashEvidence.expireAt = m.now + expireInterval
	m.applyQuarantine(m.crashEvidence.tracker.Expire(m.now))
}

// applyQuarantine carries out the consequences of new evidence.
func (m *Machine) applyQuarantine(out quarantine.Output) {
	for _, c := range out.Changes {
		convicted := c.Verdict == quarantine.VerdictConvicted
		if convicted {
			m.counters.Convictions++
		}
		m.emit(QuarantineChanged{Fingerprint: c.Fingerprint, Quarantined: convicted})
	}
	if len(out.Notices) > 0 {
		for _, name := range m.view.Neighbours() {
			m.sendNotices(NodeID(name), out.Notices)
		}
	}
	if len(out.Changes) > 0 {
		for _, s := range m.sched.sortedShards() {
			m.refuseUnservable(s)
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

// sendEvidence sends the evidence known here to a node that has returned.
func (m *Machine) sendEvidence(node NodeID) {
	m.sendNotices(node, m.crashEvidence.tracker.Evidence(m.now))
}

func (m *Machine) quarantineNoticeReceived(msg QuarantineNotice) {
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
	m.applyQuarantine(m.crashEvidence.tracker.Merge(m.now, n))
}
