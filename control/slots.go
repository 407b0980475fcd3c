package control

import (
	"slices"
	"time"
)

// Targets admit in the order of arrival, so a grant beyond a target's slots
// waits there until a run ends. The news of two ends one after the other
// delimit what the slot was used for in between, whatever the run's size: what
// entries measure includes the wait and the way there and back.

// take counts a new grant in a slot of the target, or behind the others.
func (t *target) take(now Instant, g *grant) {
	if t.window.Out() > t.window.Slots() {
		g.behind = true
		t.behind = append(t.behind, g)
		return
	}
	g.start(now)
}

// start counts the grant's slot time from now on.
func (g *grant) start(now Instant) {
	g.behind = false
	g.started = now
	g.workspace.entry.Start()
}

// free settles a grant that used its slot for the given time. The first grant
// behind gets the slot; it is returned, or nil if there is none.
func (t *target) free(now Instant, g *grant, used time.Duration) *grant {
	if g.behind {
		t.behind = slices.DeleteFunc(t.behind, func(other *grant) bool { return other == g })
		g.start(now) // it ran before the news of another's end came
		g.workspace.entry.End(used)
		return nil
	}
	g.workspace.entry.End(used)
	if len(t.behind) == 0 {
		return nil
	}
	next := t.behind[0]
	t.behind = slices.Delete(t.behind, 0, 1)
	next.start(now)
	return next
}

// used returns the slot time of a run that the entry saw take service.
func (g *grant) used(now Instant, service time.Duration) time.Duration {
	if g.behind || g.started == g.granted && !g.adopted {
		return service
	}
	return max(0, min(service, now-g.started))
}
