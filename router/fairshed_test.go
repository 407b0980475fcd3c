package router

import (
	"math"
	"slices"
	"testing"
	"time"
)

// shedArrivals sends requests of several workspaces to a fairShed for some seconds, with the
// given shed probability and mean, and returns how many of each are served per second.
func shedArrivals(f *fairShed, probability, mean float64, perSecond, shares map[string]float64) map[string]float64 {
	const (
		step    = time.Millisecond
		warmUp  = 3 * time.Second
		counted = 20 * time.Second
	)
	o := &overload{}
	o.shedFraction.Store(math.Float64bits(probability))
	start := time.Now()
	served, due := map[string]float64{}, map[string]float64{}
	for now := time.Duration(0); now < warmUp+counted; now += step {
		for workspace, rate := range perSecond {
			for due[workspace] += rate * step.Seconds(); due[workspace] >= 1; due[workspace]-- {
				share := shares[workspace]
				if share == 0 {
					share = 1
				}
				isServed := !o.shouldShed(false) || f.exempts(start.Add(now), workspace, share, probability, mean)
				if isServed && now >= warmUp {
					served[workspace] += 1 / counted.Seconds()
				}
			}
		}
	}
	return served
}

// TestShedIsMaxMin checks that no workspace is served less than if requests were refused at
// random, that none has more refused than that, and that small ones are served whole.
func TestShedIsMaxMin(t *testing.T) {
	for _, c := range []struct {
		name              string
		probability, mean float64
		perSecond, shares map[string]float64
		want              map[string]float64
	}{
		{"alone", 0.8, 0.8, map[string]float64{"a": 1000}, nil, map[string]float64{"a": 200}},
		{"small beside large", 0.5, 0.5, map[string]float64{"a": 1000, "b": 100}, nil, map[string]float64{"a": 500, "b": 100}},
		{"medium beside large", 0.5, 0.5, map[string]float64{"a": 1000, "b": 600, "c": 150}, nil, map[string]float64{"a": 500, "b": 363, "c": 150}},
		{"equal", 0.5, 0.5, map[string]float64{"a": 500, "b": 500}, nil, map[string]float64{"a": 250, "b": 250}},
		{"in proportion to shares", 0.5, 0.5, map[string]float64{"a": 1000, "b": 1000}, map[string]float64{"b": 4}, map[string]float64{"a": 500, "b": 1000}},
		{"many small", 0.9, 0.9, map[string]float64{"a": 100, "b": 100, "c": 100, "d": 100}, nil, map[string]float64{"a": 10, "b": 10, "c": 10, "d": 10}},
		{"all refused for a moment", 1, 0.9, map[string]float64{"a": 1000, "b": 300, "c": 20}, nil, map[string]float64{"a": 0, "b": 0, "c": 20}},
		{"all refused", 1, 1, map[string]float64{"a": 1000, "b": 300, "c": 20}, nil, map[string]float64{"a": 0, "b": 0, "c": 0}},
	} {
		got := shedArrivals(&fairShed{}, c.probability, c.mean, c.perSecond, c.shares)
		for workspace, want := range c.want {
			if math.Abs(got[workspace]-want) > 0.15*want+1 {
				t.Errorf("%s: %.0f of %.0f of %s served per second, want %.0f", c.name, got[workspace], c.perSecond[workspace], workspace, want)
			}
		}
	}
}

// TestShedForgetsFloods checks that a workspace whose flood has ended is not refused for it, and
// that workspaces without requests take no memory.
func TestShedForgetsFloods(t *testing.T) {
	var f fairShed
	now := time.Now()
	for range 1000 {
		f.exempts(now, "flood", 1, 0.9, 0.9)
	}
	now = now.Add(20 * time.Second)
	f.exempts(now, "other", 1, 0.5, 0.5)
	if want := 1 / 0.5; !slices.Equal(f.sorted, []float64{want}) || len(f.rates) != 1 {
		t.Errorf("rates %.2f of %d workspaces, want %.2f of one: the flood is remembered", f.sorted, len(f.rates), want)
	}
}
