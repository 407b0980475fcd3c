package measure

import (
	"slices"
	"time"
)

// Gap is the largest difference in normalised service between two workspaces
// over any interval in which both were backlogged.
type Gap struct {
	// SlotSeconds is the gap in slot seconds for each unit of share.
	SlotSeconds float64
	// Between are the two workspaces.
	Between [2]string
	// From and To are the interval.
	From, To time.Duration
}

// FairnessGap returns the largest gap over all pairs of workspaces.
func (r Record) FairnessGap(shares map[string]float64) Gap {
	names := make([]string, 0, len(shares))
	for name := range shares {
		names = append(names, name)
	}
	slices.Sort(names)
	backlog := make(map[string][]interval)
	curves := make(map[string]curve)
	for _, name := range names {
		backlog[name] = r.backlogged(name)
		curves[name] = newCurve(r.Runs, name)
	}
	var worst Gap
	for i, a := range names {
		for _, b := range names[i+1:] {
			for _, span := range intersect(backlog[a], backlog[b]) {
				gap := gapWithin(span, curves[a], shares[a], curves[b], shares[b])
				if gap.SlotSeconds > worst.SlotSeconds {
					gap.Between = [2]string{a, b}
					worst = gap
				}
			}
		}
	}
	return worst
}

// gapWithin returns the largest gap over any interval inside a span: the
// difference of normalised service is D(t), and the gap is its largest rise or
// fall.
func gapWithin(span interval, a curve, shareA float64, b curve, shareB float64) Gap {
	times := append(a.within(span), b.within(span)...)
	times = append(times, span.from, span.to)
	slices.Sort(times)
	difference := func(t time.Duration) float64 { return a.at(t)/shareA - b.at(t)/shareB }
	lowest, highest := span.from, span.from
	low, high := difference(span.from), difference(span.from)
	for _, t := range times {
		d := difference(t)
		if d < low {
			low, lowest = d, t
		}
		if d > high {
			high, highest = d, t
		}
	}
	return Gap{SlotSeconds: high - low, From: min(lowest, highest), To: max(lowest, highest)}
}

// LongestWithoutService returns the longest time that a workspace was
// backlogged and held no slot.
func (r Record) LongestWithoutService(workspace string) time.Duration {
	var served []interval
	for _, run := range r.Runs {
		if run.Workspace == workspace {
			served = append(served, interval{run.Start, run.End})
		}
	}
	served = union(served)
	var longest time.Duration
	for _, span := range r.backlogged(workspace) {
		longest = max(longest, longestOutside(span, served))
	}
	return longest
}

// longestOutside returns the longest part of span that no interval of served
// covers.
func longestOutside(span interval, served []interval) time.Duration {
	var longest time.Duration
	at := span.from
	for _, s := range served {
		if s.to <= at {
			continue
		}
		if s.from >= span.to {
			break
		}
		longest = max(longest, s.from-at)
		at = s.to
	}
	return max(longest, span.to-at)
}

// Utilisation returns the part of the slot time that was used, counted only
// while work that could use a slot waits. slots holds each target's slots,
// and mayUse says whether a workspace may use a target.
func (r Record) Utilisation(slots map[string]int, mayUse func(workspace, target string) bool) float64 {
	used, offered := r.slotTime(slots, mayUse)
	if offered == 0 {
		return 1
	}
	return used / offered
}

// Idle returns the slot seconds that were not used while work that could use
// the slot waited. Its arguments are those of Utilisation.
func (r Record) Idle(slots map[string]int, mayUse func(workspace, target string) bool) float64 {
	used, offered := r.slotTime(slots, mayUse)
	return offered - used
}

// slotTime returns the slot seconds used and offered while work waited.
func (r Record) slotTime(slots map[string]int, mayUse func(workspace, target string) bool) (used, offered float64) {
	waiting := make(map[string][]interval)
	for _, w := range r.Waits {
		waiting[w.Workspace] = append(waiting[w.Workspace], interval{max(w.From, r.From), min(w.To, r.To)})
	}
	for target, count := range slots {
		var wanted []interval
		for workspace, spans := range waiting {
			if mayUse(workspace, target) {
				wanted = append(wanted, spans...)
			}
		}
		busy := newCurve(onTarget(r.Runs, target), target)
		for _, span := range union(wanted) {
			offered += float64(count) * (span.to - span.from).Seconds()
			used += busyWithin(span, busy, float64(count))
		}
	}
	return used, offered
}

// onTarget returns the runs of one target, all under one name.
func onTarget(runs []Run, target string) []Run {
	var own []Run
	for _, run := range runs {
		if run.Target == target {
			run.Workspace = target
			own = append(own, run)
		}
	}
	return own
}

// busyWithin integrates the slots held over a span, never more than count.
func busyWithin(span interval, busy curve, count float64) float64 {
	times := append([]time.Duration{span.from}, busy.within(span)...)
	times = append(times, span.to)
	var used float64
	for i := 1; i < len(times); i++ {
		from, to := times[i-1], times[i]
		if to <= from {
			continue
		}
		held := (busy.at(to) - busy.at(from)) / (to - from).Seconds()
		used += min(held, count) * (to - from).Seconds()
	}
	return used
}

// Service returns the slot seconds that a workspace received between From and To.
func (r Record) Service(workspace string) float64 {
	c := newCurve(r.Runs, workspace)
	return c.at(r.To) - c.at(r.From)
}

// Backlogged returns how long a workspace had a request waiting.
func (r Record) Backlogged(workspace string) time.Duration {
	var total time.Duration
	for _, span := range r.backlogged(workspace) {
		total += span.to - span.from
	}
	return total
}
