package sched

import "time"

// gapPart is the part of what another workspace was granted, or of what it asked for itself,
// below which a workspace with refused requests has a gap.
const gapPart = 0.5

// Gap is a workspace that was granted much less than another one while its own requests were
// refused. Amounts are averages a second over demandTime.
type Gap struct {
	Workspace string
	// Asked is what its requests asked for here, and Unread an estimate of what those asked
	// for that routers refused before they read them.
	Asked, Unread, Granted float64
	// RefusedHere says that some were refused here of late.
	RefusedHere bool
	// Best is the workspace that was granted most.
	Best        string
	BestGranted float64
}

// WidestGap returns the workspace that was granted least of those with a gap; false if none
// has one.
func (s *Shares) WidestGap(now time.Duration) (Gap, bool) {
	best, bestGranted := "", 0.0
	for name, f := range s.flows {
		if granted := perSecond(f.granted, now-f.at); granted > bestGranted || granted == bestGranted && name < best {
			best, bestGranted = name, granted
		}
	}
	var widest Gap
	found := false
	for name, f := range s.flows {
		if name == best || !f.refusedOfLate(now) {
			continue
		}
		gap := Gap{
			Workspace:   name,
			Asked:       perSecond(f.asked, now-f.at),
			Unread:      perSecond(f.unread, now-f.at),
			Granted:     perSecond(f.granted, now-f.at),
			RefusedHere: f.refused && now-f.refusedAt <= refusedTime,
			Best:        best,
			BestGranted: bestGranted,
		}
		if gap.Granted >= gapPart*min(gap.Asked+gap.Unread, bestGranted) {
			continue
		}
		if !found || gap.Granted < widest.Granted || gap.Granted == widest.Granted && name < widest.Workspace {
			widest, found = gap, true
		}
	}
	return widest, found
}

// refusedOfLate says whether requests of the workspace were refused here or, unread, by routers.
func (f *shareFlow) refusedOfLate(now time.Duration) bool {
	return f.refused && now-f.refusedAt <= refusedTime || f.unread > 0 && now-f.unreadAt <= refusedTime
}

// perSecond is the rate behind an average some time later.
func perSecond(value float64, passed time.Duration) float64 {
	return decayed(value, passed) / demandTime.Seconds()
}
