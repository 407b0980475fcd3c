package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/result"
)

// What targets say of themselves in answers to this node binds the requests that entered here,
// whoever schedules: they are not sent to a target that said that it leaves, or that it wants
// nothing from this node for a while, and a grant of it is returned. Of leaving the scheduler
// is told, so that it grants such a target to no one. A hold-off is between a target and this
// node: the tickets of this node exclude the target.

// maxHeldOff bounds the targets that a ticket excludes as they hold this node off. A grant of
// another one that does is returned.
const maxHeldOff = 64

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
	return m.notices.IsWithheld(m.now, target, m.topo.decl.Targets[target].Start)
}

// withHeldOff returns the targets that a request must not be granted: those that it excludes
// itself, and those of its pool that hold this node off.
func (m *Machine) withHeldOff(ev RequestArrived) []string {
	var held []string
	for _, name := range m.notices.HoldingOff(m.now) {
		if m.topo.decl.Targets[name].Pool == ev.Pool && m.isWithheld(name) && !slices.Contains(ev.Excluded, name) {
			held = append(held, name)
		}
	}
	if len(held) == 0 {
		return ev.Excluded
	}
	// In one order, so that tickets that exclude the same targets share a class.
	slices.Sort(held)
	return slices.Concat(ev.Excluded, held[:min(len(held), maxHeldOff)])
}

// refuseNoCandidate refuses a request that no target may serve now. Where targets hold this
// node off, its caller need not wait for longer than the first of them does.
func (m *Machine) refuseNoCandidate(ev RequestArrived) {
	code := m.topo.noCandidateCode(ev)
	m.refuseAfter(ev, code, m.afterHoldOff(ev, code, m.retryAfter(ev.Workspace)))
}

// afterHoldOff bounds the advice to a caller whose request was refused with a code by the end
// of the first hold-off.
func (m *Machine) afterHoldOff(ev RequestArrived, code result.Code, after time.Duration) time.Duration {
	if code != result.TargetsUnavailable {
		return after
	}
	for _, name := range m.notices.HoldingOff(m.now) {
		decl := m.topo.decl.Targets[name]
		if decl.Pool == ev.Pool {
			if left := m.notices.HoldsOff(m.now, name, decl.Start); left > 0 {
				after = min(after, m.jitter(left))
			}
		}
	}
	return after
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
