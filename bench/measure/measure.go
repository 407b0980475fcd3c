// Package measure computes utilisation and the fairness gap from the runs on
// targets and the waiting times of requests. Times are durations since a common
// start.
package measure

import (
	"slices"
	"time"
)

// Run is one run of a request on a target: a slot held from Start to End.
type Run struct {
	Workspace string
	Target    string
	Start     time.Duration
	End       time.Duration
}

// Wait is the time that a request waited: from when it was sent until it started
// on a target, or ended without having started.
type Wait struct {
	Workspace string
	From      time.Duration
	To        time.Duration
}

// Record holds the runs and waits of one experiment.
type Record struct {
	Runs  []Run
	Waits []Wait
	// From and To bound the time that is evaluated.
	From, To time.Duration
}

// interval is a half-open span of time.
type interval struct{ from, to time.Duration }

// backlogIntervals returns when a workspace, or any if the name is empty, had a
// request waiting, as disjoint intervals in order of time.
func (r Record) backlogIntervals(workspace string) []interval {
	var spans []interval
	for _, w := range r.Waits {
		if w.Workspace == workspace || workspace == "" {
			spans = append(spans, interval{max(w.From, r.From), min(w.To, r.To)})
		}
	}
	return union(spans)
}

// union merges overlapping and adjoining intervals and drops empty ones.
func union(spans []interval) []interval {
	spans = slices.DeleteFunc(spans, func(s interval) bool { return s.from >= s.to })
	slices.SortFunc(spans, func(a, b interval) int { return int(a.from - b.from) })
	var merged []interval
	for _, s := range spans {
		last := len(merged) - 1
		if last >= 0 && s.from <= merged[last].to {
			merged[last].to = max(merged[last].to, s.to)
			continue
		}
		merged = append(merged, s)
	}
	return merged
}

// intersect returns the intersection of two lists of disjoint intervals, both in
// order of time.
func intersect(a, b []interval) []interval {
	var result []interval
	for i, j := 0, 0; i < len(a) && j < len(b); {
		from := max(a[i].from, b[j].from)
		to := min(a[i].to, b[j].to)
		if from < to {
			result = append(result, interval{from, to})
		}
		if a[i].to < b[j].to {
			i++
		} else {
			j++
		}
	}
	return result
}

// curve is the cumulative service of a workspace over time, linear between its
// points.
type curve []point

type point struct {
	at      time.Duration
	service float64 // slot seconds
	slope   float64 // slots held from this point on
}

func newCurve(runs []Run, workspace string) curve {
	type edge struct {
		at    time.Duration
		slots float64
	}
	var edges []edge
	for _, r := range runs {
		if r.Workspace == workspace {
			edges = append(edges, edge{r.Start, 1}, edge{r.End, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return int(a.at - b.at) })
	c := curve{{}}
	for _, e := range edges {
		last := c[len(c)-1]
		service := last.service + last.slope*(e.at-last.at).Seconds()
		c = append(c, point{at: e.at, service: service, slope: last.slope + e.slots})
	}
	return c
}

// valueAt returns the service up to time t.
func (c curve) valueAt(t time.Duration) float64 {
	n, _ := slices.BinarySearchFunc(c, t, func(p point, t time.Duration) int {
		if p.at <= t {
			return -1
		}
		return 1
	})
	p := c[max(n-1, 0)]
	return p.service + p.slope*(t-p.at).Seconds()
}

// breakpointsIn returns the times inside s at which the slope changes.
func (c curve) breakpointsIn(s interval) []time.Duration {
	var times []time.Duration
	for _, p := range c {
		if p.at > s.from && p.at < s.to {
			times = append(times, p.at)
		}
	}
	return times
}
