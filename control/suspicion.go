package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/quarantine"
)

const (
	// maxRunningTold bounds the fingerprints in one notice.
	maxRunningTold = 100
	// pollFresh is how old the last answered load poll may be for a failed
	// poll of another target to speak against that target, not this node.
	pollFresh = time.Second
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
	// lost holds, for each target, which entry node last lost a run there.
	lost map[string]lostRun
}

type lostRun struct {
	by NodeID
	at Instant
}

func newSuspicion() suspicion {
	return suspicion{
		tracker: quarantine.New(quarantine.Options{MaxRunning: maxRunningTold}),
		lost:    make(map[string]lostRun),
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

// runLost takes in that a run broke off. A break that entry nodes see at one
// target within a short time, or a target that cannot be reached, is a crash.
func (m *Machine) runLost(g *grant, by NodeID) {
	running := []uint64{g.finger}
	for _, other := range g.shard.sortedGrants() {
		if other.target == g.target && other != g {
			running = append(running, other.finger)
		}
	}
	m.judged(m.suspicion.tracker.Lost(m.now, g.target.name, known(running)))
	last, seen := m.suspicion.lost[g.target.name]
	if seen && last.by != by && m.now-last.at <= pollFresh {
		m.judged(m.suspicion.tracker.CrashConfirmed(m.now, g.target.name))
	}
	m.suspicion.lost[g.target.name] = lostRun{by: by, at: m.now}
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

// pollAnswered notes that this node reaches targets.
func (m *Machine) pollAnswered(target string) {
	m.suspicion.polled, m.suspicion.polledAt = target, m.now
}

// pollFailed takes in that a target cannot be reached. It is down, unless this
// node reaches no other target either.
func (m *Machine) pollFailed(target string) {
	s := &m.suspicion
	reachesOthers := s.polled != "" && s.polled != target && m.now-s.polledAt <= pollFresh
	if reachesOthers {
		m.judged(s.tracker.CrashConfirmed(m.now, target))
	}
}

func (m *Machine) suspicionTick() {
	if m.now < m.suspicion.expireAt {
		return
	}
	m.suspicion.expireAt = m.now + expireEvery
	m.judged(m.suspicion.tracker.Expire(m.now))
	for target, l := range m.suspicion.lost {
		if m.now-l.at > pollFresh {
			delete(m.suspicion.lost, target)
		}
	}
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
		if n.Kind == quarantine.NoticeCrash {
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
	}
	m.judged(m.suspicion.tracker.Merge(m.now, n))
}
