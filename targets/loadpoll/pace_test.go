package loadpoll

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/targets"
)

// step is one poll of a target; nil is one that failed.
type step struct {
	load  *targets.Load
	quick bool // the next pause is short
}

func loaded(slots, running int) *targets.Load { return &targets.Load{Slots: slots, Running: running} }

func TestPollsAreQuickOnlyAfterNews(t *testing.T) {
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
		check(t, name, new(pace), steps)
	}
	settled := pace{known: true, last: *loaded(16, 8)}
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
		check(t, name, &p, steps)
	}
}

func check(t *testing.T, name string, p *pace, steps []step) {
	t.Helper()
	options := Options{Every: time.Second, SlowEvery: time.Minute}
	for i, s := range steps {
		if s.load == nil {
			p.failed()
		} else {
			p.learn(*s.load, false)
		}
		if quick := p.pause(options) == options.Every; quick != s.quick {
			t.Errorf("%s: quick is %v after poll %d, want %v", name, quick, i+1, s.quick)
		}
	}
}

// The first poll and one in a few ask for the prefixes; the others repeat them.
func TestPrefixesAreAskedForNowAndThen(t *testing.T) {
	const every = 3
	var p pace
	held := []uint64{7, 8}
	for i, want := range []bool{true, false, false, true, false, false, true} {
		asks := p.asksPrefixes(every)
		if asks != want {
			t.Fatalf("poll %d asks: %v", i+1, asks)
		}
		report := targets.Load{Slots: 1}
		if asks {
			report.CachedPrefixes = held
		}
		if got := p.learn(report, asks); len(got.CachedPrefixes) != len(held) {
			t.Fatalf("poll %d gave %v", i+1, got.CachedPrefixes)
		}
	}
	if got := p.learn(targets.Load{CachedPrefixes: []uint64{9}}, false); len(got.CachedPrefixes) != 1 {
		t.Fatalf("prefixes that came unasked were dropped: %v", got)
	}
	if p.learn(targets.Load{}, true); p.prefixes != nil {
		t.Fatal("prefixes of an emptied cache are kept")
	}
	p.failed()
	if !p.asksPrefixes(every) || p.prefixes != nil {
		t.Fatal("prefixes are kept over a failure")
	}
}
