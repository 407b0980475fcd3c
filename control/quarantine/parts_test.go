package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// refuses reports whether a request is refused right after the last known crash.
func (p *Parts) refuses(parts ...uint64) bool {
	now := Instant(0)
	for _, c := range p.crashes {
		now = max(now, c.at)
	}
	return p.Verdict(now, parts) == PartsRefused
}

// crashEach records crashes one second apart, each with the given runs.
func crashEach(p *Parts, now *Instant, crashes ...[][]uint64) {
	for _, runs := range crashes {
		*now += time.Second
		p.Crashed(*now, *now, uint64(*now), runs)
	}
}

func repeatCrash(n int, runs ...[]uint64) [][][]uint64 { return slices.Repeat([][][]uint64{runs}, n) }

// TestRequestsThatTellSuspectsApartRun guards against refusing every request with one of
// several parts that were only seen together: one that has some of them tells which is the
// cause.
func TestRequestsThatTellSuspectsApartRun(t *testing.T) {
	const first, cause = 1, 2
	p, now := NewParts(PartOptions{}), time.Minute
	crashEach(p, &now, repeatCrash(3, []uint64{first, cause})...)
	check := func(when string, refused bool, parts ...uint64) {
		t.Helper()
		if p.refuses(parts...) != refused {
			t.Errorf("%s: parts %d refused: %v", when, parts, !refused)
		}
	}
	check("seen together", true, first, cause)
	check("seen together", false, first)
	check("seen together", false, cause)
	check("seen together", false, first, 7)
	p.Survived(now, []uint64{first})
	check("first part survived", true, cause)
	check("first part survived", true, 9, cause)
	check("first part survived", false, first)
}

// TestTwoCausesBehindOneFirstPart guards against taking a part that two causes have in common
// for the cause.
func TestTwoCausesBehindOneFirstPart(t *testing.T) {
	const first, a, b = 1, 2, 3
	p, now := NewParts(PartOptions{}), time.Minute
	for range 5 {
		crashEach(p, &now, [][]uint64{{first, a}}, [][]uint64{{first, b}})
	}
	for _, c := range []struct {
		parts   []uint64
		refused bool
	}{{[]uint64{first, a}, true}, {[]uint64{first, b}, true}, {[]uint64{first}, false}, {[]uint64{first, 8}, false}} {
		if p.refuses(c.parts...) != c.refused {
			t.Errorf("parts %d refused: %v", c.parts, !c.refused)
		}
	}
}

// TestSimultaneousCrashesCountOnce guards against convicting what ran on many targets when all
// of them lost their power.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	p, now := NewParts(PartOptions{}), time.Minute
	for i := range 40 {
		p.Crashed(now, now+time.Duration(i)*time.Millisecond, uint64(i+1), [][]uint64{{1}, {2, 3}})
	}
	if p.refuses(1) || p.refuses(2, 3) {
		t.Error("refused after targets crashed at one moment")
	}
}

// TestPartThatSurvivedIsNoSuspect guards against evidence that arrives after a part survived, or from
// a router that does not know it.
func TestPartThatSurvivedIsNoSuspect(t *testing.T) {
	p, now := NewParts(PartOptions{}), time.Minute
	for i := range 10 {
		p.Survived(now, []uint64{1})
		out := p.Merge(now, PartNotice{Crash: uint64(i + 1), Runs: [][]uint64{{1}, {1, 2}}, Age: 500 * time.Millisecond})
		if len(out.Notices) == 0 || !slices.Equal(out.Notices[0].Survived, []uint64{1}) {
			t.Fatalf("the other routers are not told that the part survived: %+v", out.Notices)
		}
		now += time.Second
	}
	if p.refuses(1) {
		t.Error("a part that survived is refused")
	}
	if !p.refuses(1, 2) {
		t.Error("a part that did not live is not refused")
	}
}

// TestPartsMemoryIsBounded guards against evidence without a bound, whatever callers send.
func TestPartsMemoryIsBounded(t *testing.T) {
	p, now := NewParts(PartOptions{}), time.Minute
	for i := range uint64(700) {
		now += 150 * time.Millisecond
		var runs [][]uint64
		for j := range uint64(90) {
			run := make([]uint64, 0, 40)
			for k := range uint64(40) {
				run = append(run, i<<32|j<<16|k)
			}
			runs = append(runs, run, []uint64{i % 7, j})
		}
		p.Crashed(now, now, i+1, runs)
		p.Survived(now, survivingParts(i))
		parts := 0
		for _, c := range p.crashes {
			for _, run := range c.runs {
				parts += len(run)
			}
		}
		if len(p.crashes) > 64 || parts > 64*MaxCrashParts || len(p.suspects) > parts || len(p.refused) > 64 || len(p.survived)+len(p.survivedBefore) > 2*maxSurvived+20 {
			t.Fatalf("step %d: %d crashes, %d parts, %d suspects, %d refused, %d survived", i, len(p.crashes), parts, len(p.suspects), len(p.refused), len(p.survived)+len(p.survivedBefore))
		}
	}
	p.Expire(now + time.Hour)
	if len(p.crashes)+len(p.suspects)+len(p.refused) > 0 {
		t.Errorf("left after all expired: %d crashes, %d suspects, %d refused", len(p.crashes), len(p.suspects), len(p.refused))
	}
}

func survivingParts(step uint64) []uint64 {
	var parts []uint64
	for i := range uint64(20) {
		parts = append(parts, 1<<40+20*step+i)
	}
	return parts
}

// TestRoutersWithTheSameEvidenceAgree checks, for any order and repetition of notices, that
// routers which know the same refuse the same requests.
func TestRoutersWithTheSameEvidenceAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute
		source := NewParts(PartOptions{})
		var sent []PartNotice
		var sentAt []Instant
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(50, 3000).Draw(t, "pause")) * time.Millisecond
			var out PartOutput
			set := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 3, rapid.ID).Draw(t, "parts")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				out = source.Survived(now, set)
			} else {
				out = source.Crashed(now, now, uint64(i+1), [][]uint64{set, {7, set[0]}})
			}
			for _, n := range out.Notices {
				sent, sentAt = append(sent, n), append(sentAt, now)
			}
		}
		order := rapid.Permutation(indexes(len(sent))).Draw(t, "order")
		other := NewParts(PartOptions{})
		for _, i := range append(order, order...) {
			n := sent[i]
			n.Age += now - sentAt[i]
			other.Merge(now, n)
		}
		for a := uint64(1); a <= 7; a++ {
			for b := a; b <= 7; b++ {
				if set := []uint64{a, b}; source.refuses(set...) != other.refuses(set...) {
					t.Fatalf("parts %d: refused %v at the source, %v at the other router", set, source.refuses(set...), other.refuses(set...))
				}
			}
		}
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestSoundPartBesideCauseIsTried guards against refusing a sound part for good that ran
// beside the cause at each crash: nothing could show any more that it is sound.
func TestSoundPartBesideCauseIsTried(t *testing.T) {
	const sound, cause = 1, 2
	p, now := NewParts(PartOptions{}), time.Minute
	crashEach(p, &now, repeatCrash(5, []uint64{sound}, []uint64{sound, cause})...)
	if got := p.Verdict(now, []uint64{sound}); got != PartsTry {
		t.Errorf("verdict on the sound part: %d", got)
	}
	if got := p.Verdict(now, []uint64{sound, cause}); got != PartsRefused {
		t.Errorf("verdict on both: %d", got)
	}
	p.Survived(now, []uint64{sound})
	if got := p.Verdict(now, []uint64{sound}); got != PartsRun {
		t.Errorf("verdict on the sound part once it survived: %d", got)
	}
	if got := p.Verdict(now, []uint64{sound, cause}); got != PartsRefused {
		t.Errorf("verdict on both once the sound part survived: %d", got)
	}
}

// TestRefusedPartsAreTriedAgain guards against refusing parts for good that have been mended,
// and against trying those that have not as often as callers ask.
func TestRefusedPartsAreTriedAgain(t *testing.T) {
	p, now := NewParts(PartOptions{}), time.Minute
	crashEach(p, &now, repeatCrash(3, []uint64{1})...)
	pause := firstTrialAfter
	for range 3 {
		if got := p.Verdict(now+pause-1, []uint64{1}); got != PartsRefused {
			t.Errorf("verdict before %s: %d", pause, got)
		}
		now += pause
		if got := p.Verdict(now, []uint64{1}); got != PartsTry {
			t.Errorf("verdict after %s: %d", pause, got)
		}
		p.Crashed(now, now, uint64(now), [][]uint64{{1}})
		pause *= 2
	}
}
