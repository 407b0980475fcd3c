package sched

import "time"

// maxGapRatio defines a gap: a workspace with refused requests has one if it was granted
// less than this fraction both of what the best served workspace was granted and of its
// own demand.
const maxGapRatio = 0.5

// Gap describes a workspace that was granted much less than another one while its own
// requests were refused. Amounts are averages per second over demandTimeConstant.
type Gap struct {
	Workspace string
	// Demand is the amount that its requests asked for here, and Unread an estimate of
	// the amount of those that routers refused before reading them.
	Demand, Unread, Granted float64
	// RefusedHere is set if requests were refused here within refusalWindow.
	RefusedHere bool
	// Best is the workspace that was granted most.
	Best        string
	BestGranted float64
	// Level is the share per second of each workspace whose demand exceeds it, +Inf if the
	// demand was below the capacity. Only what a workspace asks for beyond it yields.
	Level float64
}

// WidestGap returns the gap of the workspace that was granted least; false if no
// workspace has a gap.
func (s *Shares) WidestGap(now time.Duration) (Gap, bool) {
	best, bestGranted := "", 0.0
	for name, f := range s.flows {
		if granted := ratePerSecond(f.granted, now-f.updatedAt); granted > bestGranted || granted == bestGranted && name < best {
			best, bestGranted = name, granted
		}
	}
	var widest Gap
	found := false
	for name, f := range s.flows {
		if name == best || !f.recentlyRefused(now) {
			continue
		}
		gap := Gap{
			Workspace:   name,
			Demand:      ratePerSecond(f.demand, now-f.updatedAt),
			Unread:      ratePerSecond(f.unread, now-f.updatedAt),
			Granted:     ratePerSecond(f.granted, now-f.updatedAt),
			RefusedHere: f.refused && now-f.refusedAt <= refusalWindow,
			Best:        best,
			BestGranted: bestGranted,
			Level:       s.level,
		}
		if gap.Granted >= maxGapRatio*min(gap.Demand+gap.Unread, bestGranted) {
			continue
		}
		if !found || gap.Granted < widest.Granted || gap.Granted == widest.Granted && name < widest.Workspace {
			widest, found = gap, true
		}
	}
	return widest, found
}

// recentlyRefused reports whether requests of the workspace were refused here, or unread
// by routers, within refusalWindow.
func (f *shareFlow) recentlyRefused(now time.Duration) bool {
	return f.refused && now-f.refusedAt <= refusalWindow || f.unread > 0 && now-f.unreadAt <= refusalWindow
}

// ratePerSecond returns the rate that corresponds to an average which was last updated
// the given time ago.
func ratePerSecond(value float64, passed time.Duration) float64 {
	return decayed(value, passed) / demandTimeConstant.Seconds()
}
