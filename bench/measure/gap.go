package measure

import (
	"slices"
	"time"
)

// Gap is the largest difference in normalised service between two workspaces
// over any interval in which both were backlogged.
type Gap struct {
	// SlotSeconds is the gap in slot seconds per unit of share.
	SlotSeconds float64
	// Workspaces holds the names of the two workspaces.
	Workspaces [2]string
	// From and To bound the interval.
	From, To time.Duration
}

// FairnessGap returns the largest gap over all pairs of workspaces. shares holds
// the share of each workspace to compare.
func (r Record) FairnessGap(shares map[string]float64) Gap {
	names := make([]string, 0, len(shares))
	for name := range shares {
		names = append(names, name)
	}
	slices.Sort(names)
	backlog := make(map[string][]interval)
	curves := make(map[string]curve)
	for _, name := range names {
		backlog[name] = r.backlogIntervals(name)
		curves[name] = newCurve(r.Runs, name)
	}
	var largest Gap
	for i, a := range names {
		for _, b := range names[i+1:] {
			for _, span := range intersect(backlog[a], backlog[b]) {
				gap := largestGap(span, curves[a], shares[a], curves[b], shares[b])
				if gap.SlotSeconds > largest.SlotSeconds {
					gap.Workspaces = [2]string{a, b}
					largest = gap
				}
			}
		}
	}
	return largest
}

// largestGap returns the largest gap over any interval inside span. If D(t) is
// the difference in normalised service up to time t, the gap is the largest
// rise or fall of D.
func largestGap(span interval, a curve, shareA float64, b curve, shareB float64) Gap {
	times := append(a.breakpointsIn(span), b.breakpointsIn(span)...)
	times = append(times, span.from, span.to)
	slices.Sort(times)
	difference := func(t time.Duration) float64 { return a.valueAt(t)/shareA - b.valueAt(t)/shareB }
	minTime, maxTime := span.from, span.from
	minDiff, maxDiff := difference(span.from), difference(span.from)
	for _, t := range times {
		d := difference(t)
		if d < minDiff {
			minDiff, minTime = d, t
		}
		if d > maxDiff {
			maxDiff, maxTime = d, t
		}
	}
	return Gap{SlotSeconds: maxDiff - minDiff, From: min(minTime, maxTime), To: max(minTime, maxTime)}
}

// LongestWithoutService returns the longest time for which a workspace was
// backlogged without holding a slot.
func (r Record) LongestWithoutService(workspace string) time.Duration {
	var served []interval
	for _, run := range r.Runs {
		if run.Workspace == workspace {
			served = append(served, interval{run.Start, run.End})
		}
	}
	served = union(served)
	var longest time.Duration
	for _, span := range r.backlogIntervals(workspace) {
		longest = max(longest, longestUncovered(span, served))
	}
	return longest
}

// longestUncovered returns the length of the longest part of span that no
// interval of served covers.
func longestUncovered(span interval, served []interval) time.Duration {
	var longest time.Duration
	coveredTo := span.from
	for _, s := range served {
		if s.to <= coveredTo {
			continue
		}
		if s.from >= span.to {
			break
		}
		longest = max(longest, s.from-coveredTo)
		coveredTo = s.to
	}
	return max(longest, span.to-coveredTo)
}

// Utilisation returns the fraction of the slot time that was used, counted only
// while a request that may use the target is waiting. slots holds the number of
// slots of each target, and mayUse reports whether a workspace may use a target.
func (r Record) Utilisation(slots map[string]int, mayUse func(workspace, target string) bool) float64 {
	used, offered := r.usedAndOffered(slots, mayUse)
	if offered == 0 {
		return 1
	}
	return used / offered
}

// IdleSlotSeconds returns the slot seconds that were not used while a request that
// may use the target was waiting. The arguments are those of Utilisation.
func (r Record) IdleSlotSeconds(slots map[string]int, mayUse func(workspace, target string) bool) float64 {
	used, offered := r.usedAndOffered(slots, mayUse)
	return offered - used
}

// usedAndOffered returns the slot seconds used and offered while a request that
// may use the target was waiting.
func (r Record) usedAndOffered(slots map[string]int, mayUse func(workspace, target string) bool) (used, offered float64) {
	waiting := make(map[string][]interval)
	for _, w := range r.Waits {
		waiting[w.Workspace] = append(waiting[w.Workspace], interval{max(w.From, r.From), min(w.To, r.To)})
	}
	for target, count := range slots {
		var demand []interval
		for workspace, spans := range waiting {
			if mayUse(workspace, target) {
				demand = append(demand, spans...)
			}
		}
		busy := newCurve(runsOnTarget(r.Runs, target), target)
		for _, span := range union(demand) {
			offered += float64(count) * (span.to - span.from).Seconds()
			used += usedSlotSeconds(span, busy, float64(count))
		}
	}
	return used, offered
}

// runsOnTarget returns the runs of one target with the target's name as their
// workspace, so that newCurve sums all of them.
func runsOnTarget(runs []Run, target string) []Run {
	var selected []Run
	for _, run := range runs {
		if run.Target == target {
			run.Workspace = target
			selected = append(selected, run)
		}
	}
	return selected
}

// usedSlotSeconds integrates the number of held slots over span, capped at count.
func usedSlotSeconds(span interval, busy curve, count float64) float64 {
	times := append([]time.Duration{span.from}, busy.breakpointsIn(span)...)
	times = append(times, span.to)
	var used float64
	for i := 1; i < len(times); i++ {
		from, to := times[i-1], times[i]
		if to <= from {
			continue
		}
		held := (busy.valueAt(to) - busy.valueAt(from)) / (to - from).Seconds()
		used += min(held, count) * (to - from).Seconds()
	}
	return used
}

// Service returns the slot seconds that a workspace received between r.From and
// r.To.
func (r Record) Service(workspace string) float64 {
	c := newCurve(r.Runs, workspace)
	return c.valueAt(r.To) - c.valueAt(r.From)
}

// BacklogTime returns how long a workspace had at least one request waiting.
func (r Record) BacklogTime(workspace string) time.Duration {
	var total time.Duration
	for _, span := range r.backlogIntervals(workspace) {
		total += span.to - span.from
	}
	return total
}
