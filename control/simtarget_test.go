package control

import (
	"fmt"
	"time"
)

func (s *sim) dispatch(n *simNode, c Dispatch) {
	r := s.find(n, c.Request)
	if r == nil {
		s.fault("dispatch of a request of another process: %v", c)
		return
	}
	r.dispatches++
	if r.dispatches > 1 || r.done {
		s.fault("request %d dispatched %d times, done %v", r.id, r.dispatches, r.done)
	}
	r.grantedAt = s.now
	run := &simRun{req: r, grant: c.Grant, node: n, inc: n.inc, target: s.targets[c.Target]}
	s.after(s.delay, func() { s.reach(run) })
}

func (s *sim) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// reach brings a run to its target.
func (s *sim) reach(run *simRun) {
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

func (s *sim) startRuns(t *simTarget) {
	s.account(t)
	t.mostActive = max(t.mostActive, len(t.running)+len(t.queue))
	for len(t.running) < t.slots && len(t.queue) > 0 {
		run := t.queue[0]
		t.queue = t.queue[1:]
		t.running = append(t.running, run)
		run.started = s.now
		run.req.cost = s.service(run.req)
		s.after(run.req.cost, func() {
			if !run.gone {
				s.leave(t, run)
				s.endRun(run, OutcomeAnswered)
			}
		})
	}
}

// account adds up the target's busy slot time.
func (s *sim) account(t *simTarget) {
	t.busy += time.Duration(len(t.running)) * (s.now - t.changedAt)
	t.changedAt = s.now
}

func (s *sim) leave(t *simTarget, run *simRun) {
	s.account(t)
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

func (s *sim) endRun(run *simRun, outcome Outcome) {
	if outcome == OutcomeAnswered {
		run.req.served = s.now - run.started
	}
	s.after(s.delay, func() {
		if !run.node.up || run.node.inc != run.inc {
			return
		}
		s.step(run.node, RunEnded{Request: run.req.id, Grant: run.grant, Outcome: outcome, Service: s.now - run.req.grantedAt})
		s.finish(run.req, fmt.Sprintf("outcome %d", outcome))
	})
}

func (s *sim) finish(r *simRequest, outcome string) {
	if r.done {
		s.fault("request %d ended twice: %s, then %s", r.id, r.outcome, outcome)
	}
	r.done = true
	r.outcome = outcome
	s.ended(r)
}

// poll reads the load of the targets that a node watches; reports lag.
func (s *sim) poll(n *simNode) {
	inc := n.inc
	for _, name := range n.watched {
		t := s.targets[name]
		if t == nil {
			continue
		}
		var ev Event = TargetUnreachable{Target: name}
		if t.up {
			load := TargetLoad{Target: name, Running: len(t.running), Queued: len(t.queue), Slots: t.slots, Leaving: t.leaving}
			if t.report != nil {
				load = t.report(load)
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
