package loadpoll

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/targets"
)

// step is one poll of a target; a nil load is a failed poll.
type step struct {
	load *targets.Load
	fast bool // the next pause is short
}

func loaded(slots, running int) *targets.Load { return &targets.Load{Slots: slots, Running: running} }

func TestPollsAreFastOnlyAfterChanges(t *testing.T) {
	leaving := loaded(16, 8)
	leaving.Leaving = true
	for name, steps := range map[string][]step{
		"a new target": {
			{loaded(16, 8), true}, {loaded(16, 8), true}, {loaded(16, 8), true}, {loaded(16, 8), true},
			{loaded(16, 8), false}, {loaded(16, 8), false},
		},
		"small changes": {{loaded(16, 8), true}, {loaded(16, 14), true}, {loaded(16, 8), true}, {loaded(16, 14), true}, {loaded(16, 8), false}},
		"few slots":     {{loaded(1, 0), true}, {loaded(1, 4), true}, {loaded(1, 0), true}, {loaded(1, 4), true}, {loaded(1, 0), false}},
	} {
		checkPauses(t, name, new(pace), steps)
	}
	settled := pace{hasLoad: true, last: *loaded(16, 8)}
	for name, steps := range map[string][]step{
		"nothing new": {{loaded(16, 8), false}},
		"load jumped": {{loaded(16, 17), true}, {loaded(16, 17), true}},
		"load fell":   {{loaded(16, 17), true}, {loaded(16, 8), true}},
		"slots":       {{loaded(12, 8), true}},
		"leaving":     {{leaving, true}},
		"failing":     {{nil, true}, {nil, true}, {nil, true}, {nil, true}, {nil, true}, {nil, true}},
		"recovered":   {{nil, true}, {loaded(16, 8), true}, {loaded(16, 8), true}, {loaded(16, 8), true}, {loaded(16, 8), true}, {loaded(16, 8), false}},
	} {
		p := settled
		checkPauses(t, name, &p, steps)
	}
}

func checkPauses(t *testing.T, name string, p *pace, steps []step) {
	t.Helper()
	options := Options{Every: time.Second, SlowEvery: time.Minute}
	for i, s := range steps {
		if s.load == nil {
			p.recordFailure()
		} else {
			p.record(*s.load, false)
		}
		if fast := p.pause(options) == options.Every; fast != s.fast {
			t.Errorf("%s: fast is %v after poll %d, want %v", name, fast, i+1, s.fast)
		}
	}
}

// TestPrefixesAreRequestedPeriodically checks that the first poll and one in a few request the
// prefixes; the others repeat them.
func TestPrefixesAreRequestedPeriodically(t *testing.T) {
	const every = 3
	var p pace
	cached := []uint64{7, 8}
	for i, want := range []bool{true, false, false, true, false, false, true} {
		requested := p.wantsPrefixes(every)
		if requested != want {
			t.Fatalf("poll %d requests prefixes: %v", i+1, requested)
		}
		report := targets.Load{Slots: 1}
		if requested {
			report.CachedPrefixes = cached
		}
		if got := p.record(report, requested); len(got.CachedPrefixes) != len(cached) {
			t.Fatalf("poll %d gave %v", i+1, got.CachedPrefixes)
		}
	}
	if got := p.record(targets.Load{CachedPrefixes: []uint64{9}}, false); len(got.CachedPrefixes) != 1 {
		t.Fatalf("prefixes that were sent unrequested were dropped: %v", got)
	}
	if p.record(targets.Load{}, true); p.prefixes != nil {
		t.Fatal("prefixes of an emptied cache are kept")
	}
	p.recordFailure()
	if !p.wantsPrefixes(every) || p.prefixes != nil {
		t.Fatal("prefixes are kept after a failure")
	}
}
