package control

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
)

const (
	// coldWindow is the sliding window over which grants of a cold target are counted. The
	// limit applies to the requests that arrive within one second; the window is longer to
	// allow for the jitter between grant and arrival.
	coldWindow = 1250 * time.Millisecond
	// coldGrantFraction is the fraction of a cold target's limit that its scheduler grants. The
	// rest is reserved for requests from routers that do not know yet that the target is cold.
	coldGrantFraction = 0.75
	// restartLostRuns is the number of lost runs in a series of failures after which the target
	// is presumed to have restarted.
	restartLostRuns = 3
)

// coldLimit is a sliding-window limit on the grants of a target while it is cold. A cold target
// is slow, and crashes at request rates well above the one its pool declares. Only the owner of
// its shard grants it; other nodes skip it.
type coldLimit struct {
	// limit is the maximum number of grants within coldWindow.
	limit int
	// grants holds the times of the grants within the last coldWindow, oldest first.
	grants []Instant
}

// record adds a grant.
func (l *coldLimit) record(now Instant) {
	l.prune(now)
	l.grants = append(l.grants, now)
}

// prune removes the grants that have left the window.
func (l *coldLimit) prune(now Instant) {
	old := 0
	for old < len(l.grants) && l.grants[old]+coldWindow <= now {
		old++
	}
	if old > 0 {
		l.grants = append(l.grants[:0], l.grants[old:]...)
	}
}

// room returns how many more grants the limit currently allows.
func (l *coldLimit) room(now Instant) int {
	l.prune(now)
	return max(0, l.limit-len(l.grants))
}

// coldRoom returns how many more grants this node may currently give a cold target. It is
// zero for the first coldWindow of ownership, as the previous owner's grants are unknown.
func (t *target) coldRoom(now Instant) int {
	if !t.shard.owned || now < t.shard.ownedAt+coldWindow {
		return 0
	}
	return t.cold.room(now)
}

// isCold reports whether the target is, or may be, cold.
func (t *target) isCold(now Instant) bool { return now < t.coldUntil }

// coldStartDuration returns how long a target of the pool is cold after a start, or zero if the pool
// does not limit cold targets.
func coldStartDuration(pool config.Pool) time.Duration {
	if pool.ColdPerSecond <= 0 {
		return 0
	}
	return time.Duration(pool.ColdStartMillis) * time.Millisecond
}

// updateColdTargets updates m.coldUntil from the next configuration. It covers targets that
// report that they are cold, and those whose data centre's evacuation has ended, as they
// may have become cold in the meantime. Expired entries are removed.
func (m *Machine) updateColdTargets(next *topology) {
	for name, until := range m.coldUntil {
		if until <= m.now {
			delete(m.coldUntil, name)
		}
	}
	for name, decl := range next.decl.Targets {
		pool := next.decl.Pools[decl.Pool]
		if pool.ColdPerSecond <= 0 {
			continue
		}
		var before config.Target
		if m.topo != nil {
			before = m.topo.decl.Targets[name]
		}
		if before.Start != decl.Start || before.ColdMillis != decl.ColdMillis {
			m.extendCold(name, time.Duration(decl.ColdMillis)*time.Millisecond)
		}
		if before.Evacuated && !decl.Evacuated {
			m.extendCold(name, coldStartDuration(pool))
		}
	}
}

// extendCold marks a target as cold for at least d from now.
func (m *Machine) extendCold(name string, d time.Duration) {
	if d > 0 {
		m.coldUntil[name] = max(m.coldUntil[name], m.now+d)
	}
}

// targetRestarted marks a target that has probably restarted as cold, and discards its speed.
func (m *Machine) targetRestarted(t *target) {
	if t.speed != nil {
		m.setSpeed(t, nil)
	}
	m.extendCold(t.name, coldStartDuration(m.topo.decl.Pools[t.shard.id.Pool]))
	m.updateColdLimit(t)
}

// updateColdLimit updates a target's cold time and limit from m.coldUntil, the configuration and
// the number of live nodes.
func (m *Machine) updateColdLimit(t *target) {
	until := m.coldUntil[t.name]
	if until > m.now && t.coldUntil <= m.now && t.shard.owned {
		m.counters.TargetsCold++
		m.emit(TargetCold{Target: t.name, For: until - m.now})
	}
	t.coldUntil = until
	t.cold.limit = m.coldGrantLimit(m.topo.decl.Pools[t.shard.id.Pool])
	m.armCold(t)
}

// coldGrantLimit returns how many grants of a cold target this node may make within coldWindow.
// The limit is scaled by the fraction of known nodes that are live: in a network partition, the
// other side grants as well.
func (m *Machine) coldGrantLimit(pool config.Pool) int {
	live := float64(m.view.AliveOthers() + 1)
	known := max(live, float64(m.view.Known()+1))
	perSecond := pool.ColdPerSecond*m.opts.ColdOvershoot + m.opts.ColdSlack
	return int(coldGrantFraction * perSecond * live / known)
}

// updateColdLimits calls updateColdLimit for every target that is limited while cold. It runs
// after a membership change.
func (m *Machine) updateColdLimits() {
	if m.topo == nil {
		return
	}
	for _, s := range m.sched.sortedShards() {
		if m.topo.decl.Pools[s.id.Pool].ColdPerSecond <= 0 {
			continue
		}
		for _, t := range s.targets {
			m.updateColdLimit(t)
		}
	}
}

// armCold sets the timer of a cold target that may not be granted now to the time at which
// it may be.
func (m *Machine) armCold(t *target) {
	if !t.isCold(m.now) || m.now < t.backoffUntil || t.coldRoom(m.now) > 0 {
		return
	}
	at := t.coldUntil
	switch {
	case !t.shard.owned || t.cold.limit == 0:
	case m.now < t.shard.ownedAt+coldWindow:
		at = min(at, t.shard.ownedAt+coldWindow)
	default:
		at = min(at, t.cold.grants[0]+coldWindow)
	}
	m.timers.set(&t.timer, t, at)
}
