package control

import (
	"testing"
	"time"
)

// TestShareGapIsReported guards against a gap that operators do not see: the scheduler has
// to report a workspace that is granted much less than another one while routers refuse its
// requests, once a second at most.
func TestShareGapIsReported(t *testing.T) {
	f := newTokenFleet("e1")
	s := f.machine.ensureShard(ShardID{Pool: "gen"})
	reported := 0
	for range 20 {
		f.now += 100 * time.Millisecond
		s.shares.Take(f.now, "a", 1)
		s.shares.Served(f.now, "a", 1)
		s.shares.Take(f.now, "b", 0.1)
		s.shares.Served(f.now, "b", 0.1)
		for _, command := range f.step(RequestsRefusedUnread{Pool: "gen", Workspace: "b", Count: 9}) {
			gap, ok := command.(ShareGap)
			if !ok {
				continue
			}
			reported++
			if gap.Gap.Workspace != "b" || gap.Gap.Best != "a" {
				t.Errorf("reported %+v", gap)
			}
		}
	}
	if reported != 2 {
		t.Errorf("%d reports in two seconds, want 2", reported)
	}
}
