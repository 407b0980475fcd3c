package control

import (
	"slices"
	"time"
)

// Targets admit requests in the order of arrival, so a grant beyond a target's slots waits
// there until a run ends. The reports of two consecutive ends delimit the use of the slot
// in between, whatever the size of the run: the time that entries measure includes the wait
// and the round trip.

// addGrant counts a new grant in a slot of the target, or as waiting behind the others.
func (t *target) addGrant(now Instant, g *grant) {
	if t.window.Held() > t.window.Slots() {
		g.waitsInTarget = true
		t.waitingGrants = append(t.waitingGrants, g)
		return
	}
	g.startSlotTime(now)
}

// startSlotTime counts the grant's slot time from now on.
func (g *grant) startSlotTime(now Instant) {
	g.waitsInTarget = false
	g.startedAt = now
	g.markSpeed(now)
	g.workspace.account.Start()
}

// releaseSlot settles a grant that used its slot for the given time. The first waiting
// grant gets the slot; it is returned, or nil if there is none.
func (t *target) releaseSlot(now Instant, g *grant, used time.Duration) *grant {
	if g.waitsInTarget {
		t.waitingGrants = slices.DeleteFunc(t.waitingGrants, func(other *grant) bool { return other == g })
		g.startSlotTime(now) // it ran before the end of another run was reported
		g.workspace.account.End(used)
		return nil
	}
	g.workspace.account.End(used)
	if len(t.waitingGrants) == 0 {
		return nil
	}
	next := t.waitingGrants[0]
	t.waitingGrants = slices.Delete(t.waitingGrants, 0, 1)
	next.startSlotTime(now)
	return next
}

// usedTime returns the slot time of a run, given the service time that the entry measured.
func (g *grant) usedTime(now Instant, service time.Duration) time.Duration {
	if g.waitsInTarget || g.startedAt == g.grantedAt && !g.adopted {
		return service
	}
	return max(0, min(service, now-g.startedAt))
}
