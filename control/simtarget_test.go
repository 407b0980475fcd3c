package control

import (
	"fmt"
	"time"
)

func (s *sim) dispatch(n *simNode, c Dispatch) {
	r := s.findRequest(n, c.Request)
	if r == nil {
		s.recordViolation("dispatch of a request that this process did not receive: %v", c)
		return
	}
	r.dispatches++
	if r.dispatches > 1 || r.done {
		s.recordViolation("request %d dispatched %d times, done %v", r.id, r.dispatches, r.done)
	}
	r.grantedAt = s.now
	run := &simRun{req: r, grant: c.Grant, node: n, inc: n.inc, target: s.targets[c.Target]}
	s.after(s.delay, func() { s.runArrived(run) })
}

// recordViolation records a violated invariant.
func (s *sim) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// runArrived handles the arrival of a run at its target.
func (s *sim) runArrived(run *simRun) {
	if !run.node.up || run.node.inc != run.inc {
		return
	}
	if !run.target.up {
		s.endRun(run, OutcomeUnreachable)
		return
	}
	run.req.runs++
	run.target.queue = append(run.target.queue, run)
	s.startRuns(run.target)
}

// startRuns starts queued runs in the free slots of a target.
func (s *sim) startRuns(t *simTarget) {
	s.updateBusyTime(t)
	t.maxHeld = max(t.maxHeld, len(t.running)+len(t.queue))
	for len(t.running) < t.slots && len(t.queue) > 0 {
		run := t.queue[0]
		t.queue = t.queue[1:]
		t.running = append(t.running, run)
		run.started = s.now
		s.onStart(run)
		run.req.cost = s.service(run.req)
		s.after(run.req.cost, func() {
			if !run.removed {
				s.removeRun(t, run)
				s.endRun(run, OutcomeAnswered)
			}
		})
	}
}

// updateBusyTime adds the slot time used since the last update to a target's busyTime.
func (s *sim) updateBusyTime(t *simTarget) {
	t.busyTime += time.Duration(len(t.running)) * (s.now - t.busyUpdatedAt)
	t.busyUpdatedAt = s.now
}

// removeRun removes a run from its target.
func (s *sim) removeRun(t *simTarget, run *simRun) {
	s.updateBusyTime(t)
	t.running = remove(t.running, run)
	t.queue = remove(t.queue, run)
	s.startRuns(t)
}

func remove(runs []*simRun, run *simRun) []*simRun {
	for i, r := range runs {
		if r == run {
			return append(runs[:i], runs[i+1:]...)
		}
	}
	return runs
}

// endRun reports the end of a run to its node.
func (s *sim) endRun(run *simRun, outcome Outcome) {
	if outcome == OutcomeAnswered {
		run.req.slotTime = s.now - run.started
	}
	s.after(s.delay, func() {
		if !run.node.up || run.node.inc != run.inc {
			return
		}
		s.step(run.node, RunEnded{Request: run.req.id, Grant: run.grant, Outcome: outcome, Service: s.now - run.req.grantedAt})
		s.finishRequest(run.req, fmt.Sprintf("outcome %d", outcome))
	})
}

// finishRequest records that a request has ended, which must happen only once.
func (s *sim) finishRequest(r *simRequest, outcome string) {
	if r.done {
		s.recordViolation("request %d ended twice: %s, then %s", r.id, r.outcome, outcome)
	}
	r.done = true
	r.outcome = outcome
	s.onEnd(r)
}

// poll delivers the load of the targets that a node watches, each after a random delay of
// up to loadEvery.
func (s *sim) poll(n *simNode) {
	inc := n.inc
	for _, name := range n.watchedTargets {
		t := s.targets[name]
		if t == nil {
			continue
		}
		var ev Event = TargetUnreachable{Target: name}
		if t.up {
			load := TargetLoad{Target: name, Running: len(t.running), Queued: len(t.queue), Slots: t.slots, Leaving: t.leaving}
			if t.alterLoad != nil {
				load = t.alterLoad(load)
			}
			ev = load
		}
		s.after(time.Duration(s.rng.Int64N(int64(s.loadEvery))), func() {
			if n.inc == inc {
				s.step(n, ev)
			}
		})
	}
}
