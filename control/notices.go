package control

import (
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/result"
)

// Notices that targets attach to their answers to this node apply to the requests received
// here, whichever node schedules them: such requests are not sent to a target that
// announced that it is leaving, or that asked this node to send nothing for a while, and a
// grant of it is returned. The scheduler is notified of a leaving target, so that it grants it
// to no one. A hold-off only concerns the target and this node: the tickets of this node
// exclude the target.

// maxHoldOffExclusions bounds the targets that a ticket excludes because of their
// hold-offs. A grant of a further target with a hold-off is returned.
const maxHoldOffExclusions = 64

// TargetNoticeReceived reports a notice that an answer to this node carried about its
// target.
type TargetNoticeReceived struct {
	Target string
	// Start identifies the start of the target that was listed when the request was sent;
	// zero: unknown.
	Start  int64
	Notice notice.Notice
}

// LeavingNotice notifies the scheduler of a target that the target announced that it is
// leaving.
type LeavingNotice struct {
	Target string
	// Start distinguishes the starts of the target; zero: unknown.
	Start int64
}

// TargetLeaving reports that a target announced that it is leaving, to this node or to
// From.
type TargetLeaving struct {
	Target string
	From   NodeID
}

func (TargetNoticeReceived) isEvent() {}
func (LeavingNotice) isMessage()      {}
func (TargetLeaving) isCommand()      {}

// targetNoticeReceived records a notice that an answer carried about its target.
func (m *Machine) targetNoticeReceived(ev TargetNoticeReceived) {
	if !m.notices.Add(m.now, ev.Target, ev.Start, ev.Notice) {
		return
	}
	m.emit(TargetLeaving{Target: ev.Target, From: m.opts.Node})
	if m.topo == nil {
		return
	}
	if id, declared := m.topo.shardOf(ev.Target); declared {
		m.sendLeavingNotice(m.schedulerFor(id), ev.Target, ev.Start)
	}
	if t := m.localTarget(ev.Target); t != nil {
		m.applyOwnNotices(t)
	}
}

// sendLeavingNotice notifies a scheduler that a target, in the given start, is leaving.
func (m *Machine) sendLeavingNotice(to NodeID, target string, start int64) {
	m.send(to, LeavingNotice{Target: target, Start: start})
}

// leavingNoticeReceived records, as a scheduler, that a target announced to another node
// that it is leaving.
func (m *Machine) leavingNoticeReceived(from NodeID, msg LeavingNotice) {
	t := m.localTarget(msg.Target)
	if t == nil || t.announcedLeaving || !notice.SameStart(t.start, msg.Start) {
		return
	}
	t.announcedLeaving = true
	if from != m.opts.Node {
		m.emit(TargetLeaving{Target: msg.Target, From: from})
	}
	m.updateUnservable(t)
}

// applyOwnNotices applies what a target announced to this node to the target as it is
// scheduled here.
func (m *Machine) applyOwnNotices(t *target) {
	if !t.announcedLeaving && m.notices.IsLeaving(t.name, t.start) {
		t.announcedLeaving = true
		m.updateUnservable(t)
	}
}

// isWithheld reports whether requests received here must not be sent to a target.
func (m *Machine) isWithheld(target string) bool {
	return m.notices.IsWithheld(m.now, target, m.topo.decl.Targets[target].Start)
}

// excludedTargets returns the targets that a request must not be granted: those that it
// excludes itself, and those of its pool with a hold-off for this node.
func (m *Machine) excludedTargets(ev RequestArrived) []string {
	var held []string
	for _, name := range m.notices.HoldOffTargets(m.now) {
		if m.topo.decl.Targets[name].Pool == ev.Pool && m.isWithheld(name) && !slices.Contains(ev.Excluded, name) {
			held = append(held, name)
		}
	}
	if len(held) == 0 {
		return ev.Excluded
	}
	// Sorted, so that tickets that exclude the same targets share a class.
	slices.Sort(held)
	return slices.Concat(ev.Excluded, held[:min(len(held), maxHoldOffExclusions)])
}

// refuseNoCandidate refuses a request that no target may currently serve. If targets have a
// hold-off for this node, the caller need not wait longer than until the first of these
// ends.
func (m *Machine) refuseNoCandidate(ev RequestArrived) {
	code := m.topo.noCandidateCode(ev)
	m.refuseAfter(ev, code, m.capRetryAfter(ev, code, m.retryAfter(ev.Workspace)))
}

// capRetryAfter limits the retry time given to a caller whose request was refused with a
// code to the end of the first hold-off.
func (m *Machine) capRetryAfter(ev RequestArrived, code result.Code, retryAfter time.Duration) time.Duration {
	if code != result.TargetsUnavailable {
		return retryAfter
	}
	for _, name := range m.notices.HoldOffTargets(m.now) {
		decl := m.topo.decl.Targets[name]
		if decl.Pool == ev.Pool {
			if left := m.notices.HoldOffLeft(m.now, name, decl.Start); left > 0 {
				retryAfter = min(retryAfter, m.jitter(left))
			}
		}
	}
	return retryAfter
}

// pruneNotices removes the notices of target starts that have ended.
func (m *Machine) pruneNotices(next *topology) {
	m.notices.Prune(m.now, next.startOf)
}

// startOf returns the start that a target's declaration names.
func (t *topology) startOf(target string) (start int64, declared bool) {
	decl, declared := t.decl.Targets[target]
	return decl.Start, declared
}
