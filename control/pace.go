package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/decode"
)

// Targets leave enough time to their answers: reading prompts delays the answers in progress, so a
// target reads only as much as lets them end before their deadlines. Answers that limit the reading
// are gathered on few targets, so that the others read without a limit.

// hasPaceFor reports whether a target may read the prompt of a ticket now.
func (m *Machine) hasPaceFor(q *queuedTicket, cand candidate, limit decode.Limit) bool {
	if limit.Allowed >= 1 {
		return true
	}
	policy, engine := &m.opts.Tokens.Pace, cand.target.engine
	burst := millis(policy.BurstMillis)
	if limit.Needed >= 1 {
		burst = scale(policy.OthersPart, burst)
	}
	// A prompt that takes longer than the burst is read once there is no debt.
	excess := engine.ReadDebt(m.now) + min(burst, engine.ReadTime(m.now, cand.reads)) - burst
	if excess <= 0 {
		return true
	}
	m.counters.TargetsPaced++
	if at := m.now + scale(1/limit.Allowed, excess); q.shard.pacedUntil == 0 || at < q.shard.pacedUntil {
		q.shard.pacedUntil = at
	}
	return false
}

// paceCost returns what a placement costs through the pace of the target: the reading time that
// the target loses to the ticket's answer, and the time that it has to leave to its answers while
// it reads the ticket's prompt.
func (m *Machine) paceCost(q *queuedTicket, p placement, limit decode.Limit) time.Duration {
	cost := time.Duration(0)
	if limit.Allowed < 1 {
		cost = scale(1/limit.Allowed-1, p.target.engine.ReadTime(m.now, p.reads))
	}
	if lost := limit.Allowed - limit.Needed; lost > 0 {
		cost += scale(m.opts.Tokens.Pace.LimitPart*lost, q.deadline-m.now)
	}
	if !limit.Feasible {
		cost += latePenalty
	}
	return cost
}
