package control

import "github.com/walnutcove/walnutcove/control/notice"

// What targets say of themselves in answers to this node binds the requests that entered here,
// whoever schedules: they are not sent to a target that said that it leaves, and a grant of it
// is returned. The scheduler is told, so that it grants such a target to no one.

// TargetNoticed says what an answer to this node said of its target.
type TargetNoticed struct {
	Target string
	// Start is that of the target as it was listed when the request was sent; zero: not known.
	Start  int64
	Notice notice.Notice
}

// LeavingNotice tells the scheduler of a target that the target said that it leaves.
type LeavingNotice struct {
	Target string
	// Start tells starts of the target apart; zero: not known.
	Start int64
}

// TargetLeaves reports that a target said that it leaves, to this node or to From.
type TargetLeaves struct {
	Target string
	From   NodeID
}

func (TargetNoticed) isEvent()   {}
func (LeavingNotice) isMessage() {}
func (TargetLeaves) isCommand()  {}

// targetNoticed takes in what an answer said of its target.
func (m *Machine) targetNoticed(ev TargetNoticed) {
	if !m.notices.Add(m.now, ev.Target, ev.Start, ev.Notice) {
		return
	}
	m.emit(TargetLeaves{Target: ev.Target, From: m.opts.Node})
	if m.topo == nil {
		return
	}
	if id, declared := m.topo.shardOf(ev.Target); declared {
		m.tellLeaving(m.schedulerFor(id), ev.Target, ev.Start)
	}
	if t := m.targetHere(ev.Target); t != nil {
		m.followNotice(t)
	}
}

// tellLeaving tells a scheduler that a start of a target leaves.
func (m *Machine) tellLeaving(to NodeID, target string, start int64) {
	m.send(to, LeavingNotice{Target: target, Start: start})
}

// leavingReceived takes in, as a scheduler, that a target told another node that it leaves.
func (m *Machine) leavingReceived(from NodeID, msg LeavingNotice) {
	t := m.targetHere(msg.Target)
	if t == nil || t.saidLeaving || !notice.SameStart(t.start, msg.Start) {
		return
	}
	t.saidLeaving = true
	if from != m.opts.Node {
		m.emit(TargetLeaves{Target: msg.Target, From: from})
	}
	m.noteHopeless(t)
}

// followNotice applies what a target told this node to the target as it is scheduled here.
func (m *Machine) followNotice(t *target) {
	if !t.saidLeaving && m.notices.IsLeaving(t.name, t.start) {
		t.saidLeaving = true
		m.noteHopeless(t)
	}
}

// isWithheld says whether requests that entered here must not be sent to a target.
func (m *Machine) isWithheld(target string) bool {
	return m.notices.IsLeaving(target, m.topo.decl.Targets[target].Start)
}

// pruneNotices forgets the notices of starts that have ended.
func (m *Machine) pruneNotices(next *topology) {
	m.notices.Prune(m.now, next.startOf)
}

// startOf returns the declared start of a target.
func (t *topology) startOf(target string) (start int64, declared bool) {
	decl, declared := t.decl.Targets[target]
	return decl.Start, declared
}
