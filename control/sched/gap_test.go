package sched

import (
	"math"
	"testing"
	"time"
)

// TestGapTellsLevel checks that a gap tells whether the others' requests were within their
// shares: the level is infinite as long as the demand is below the capacity.
func TestGapTellsLevel(t *testing.T) {
	for _, c := range []struct{ capacity, level float64 }{{10_000, math.Inf(1)}, {500, 250}} {
		s := NewShares(c.capacity)
		for now := time.Duration(0); now <= 2*levelInterval; now += levelInterval {
			s.Take(now, "large", 900)
			s.Served(now, "large", 900)
			s.Take(now, "small", 700)
			s.Served(now, "small", 100)
			s.Refused(now, "small")
		}
		if gap, found := s.WidestGap(2 * levelInterval); !found || gap.Level != c.level {
			t.Errorf("capacity of %.0f: %+v, %v; want level %.0f", c.capacity, gap, found, c.level)
		}
	}
}

// TestGapIsFound checks that a workspace with refused requests that was granted less
// than half of another one has a gap, whether its requests were refused here or unread
// by routers, and that one which got its demand, or more than half, has none.
func TestGapIsFound(t *testing.T) {
	const now = time.Second
	for _, c := range []struct {
		name          string
		asked, served float64
		refused       func(s *Shares)
		gap           bool
	}{
		{"refused here", 900, 100, func(s *Shares) { s.Refused(now, "small") }, true},
		{"refused unread", 100, 100, func(s *Shares) { s.RefusedUnread(now, "small", 8) }, true},
		{"not refused", 900, 100, func(*Shares) {}, false},
		{"more than half", 900, 500, func(s *Shares) { s.Refused(now, "small") }, false},
		{"asks for little", 100, 90, func(s *Shares) { s.Refused(now, "small") }, false},
	} {
		s := NewShares(10_000)
		s.Take(now, "large", 900)
		s.Served(now, "large", 900)
		s.Take(now, "small", c.asked)
		s.Served(now, "small", c.served)
		c.refused(s)
		gap, found := s.WidestGap(now)
		if found != c.gap || found && (gap.Workspace != "small" || gap.Best != "large") {
			t.Errorf("%s: %+v, %v", c.name, gap, found)
		}
		if _, found := s.WidestGap(now + 2*refusalWindow); found {
			t.Errorf("%s: still has a gap long after the refusal", c.name)
		}
	}
}
