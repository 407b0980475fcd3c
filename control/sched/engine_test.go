package sched

import (
	"testing"
	"time"
)

// engineOf is an engine that reads 60 tokens a ms, with nothing else to a start.
func engineOf(slots int, memory int64) *Engine {
	return NewEngine(EngineOptions{Slots: slots, Memory: memory, Reading: NewReading(0, 1)})
}

func task(prompt, output int, parts ...EnginePart) EngineTask {
	return EngineTask{PromptTokens: prompt, OutputTokens: output, Parts: parts}
}

// TestWaitIsWhatIsUnread: prompts are read one after the other, and a first
// event shows that it and all before it are read.
func TestWaitIsWhatIsUnread(t *testing.T) {
	e := engineOf(64, 0)
	first := e.Start(0, task(6000, 10), 6000)
	second := e.Start(0, task(6000, 10), 6000)
	third := e.Start(0, task(6000, 10), 6000)
	if wait := e.Wait(0); wait != 300*time.Millisecond {
		t.Errorf("wait %s for 18000 tokens at 60 a ms", wait)
	}
	if wait := e.Wait(50 * time.Millisecond); wait != 250*time.Millisecond {
		t.Errorf("wait %s after 50 ms", wait)
	}
	e.Begun(200*time.Millisecond, second, 200*time.Millisecond)
	if wait := e.Wait(200 * time.Millisecond); wait > e.ReadTime(6000)+seconds(e.reading.pair*e.backlog.pairs) {
		t.Errorf("wait %s while only the third is unread", wait)
	}
	if !first.begun {
		t.Error("what was before a run that began is not taken as read")
	}
	e.End(210*time.Millisecond, third)
	if wait := e.Wait(210 * time.Millisecond); wait != 0 {
		t.Errorf("wait %s with nothing unread", wait)
	}
}

// TestKeptPartsAreNotReadAgain: a prompt is read behind the longest beginning
// that is kept, and the least recently used beginnings yield.
func TestKeptPartsAreNotReadAgain(t *testing.T) {
	e := engineOf(64, 10_000)
	system := EnginePart{ID: 1, Tokens: 500}
	thing := EnginePart{ID: 2, Tokens: 4000}
	own := EnginePart{ID: 3, Tokens: 100}
	prompt := task(4600, 10, system, thing, own)
	if reads, again := e.Reads(prompt); reads != 4600 || again != 4500 {
		t.Errorf("%d read, %d of them shared, with nothing kept", reads, again)
	}
	e.End(1, e.Start(0, prompt, 4600))
	other := task(4600, 10, system, thing, EnginePart{ID: 9, Tokens: 100})
	if reads, again := e.Reads(other); reads != 100 || again != 0 {
		t.Errorf("%d read, %d of them shared, with the shared parts kept", reads, again)
	}
	large := task(9000, 10, EnginePart{ID: 5, Tokens: 9000})
	e.End(3, e.Start(2, large, 9000))
	if reads, _ := e.Reads(other); reads == 100 {
		t.Error("parts are taken as kept beyond the target's memory")
	}
}

// TestMemoryBoundsRuns: a target is not given more than its memory holds, but
// always one run.
func TestMemoryBoundsRuns(t *testing.T) {
	e := engineOf(64, 10_000)
	if !e.HasRoom(task(20_000, 10)) {
		t.Error("an empty target refuses a large request")
	}
	e.Start(0, task(6000, 100), 6000)
	if e.HasRoom(task(6000, 100)) {
		t.Error("a target is given more than it holds")
	}
}

// starts plays starts one after the other at an engine whose true parts are given, and
// returns how many of the last hundred were predicted within a quarter or 30 ms.
func starts(e *Engine, fixed, token, pair float64, noise func(n int) float64) int {
	prompts := []int{300, 800, 2400, 9000, 1500}
	now := time.Duration(0)
	good := 0
	for n := range 400 {
		prompt := prompts[n%len(prompts)]
		reads := prompt / (1 + n%3)
		work := loadOf(reads, prompt)
		took := seconds((fixed + token*work.tokens + pair*work.pairs) * noise(n))
		predicted := e.Predict(now, task(prompt, 10), reads)
		if off := (predicted - took).Abs(); n >= 300 && (off < took/4 || off < 30*time.Millisecond) {
			good++
		}
		run := e.Start(now, task(prompt, 10), reads)
		now += took
		e.Begun(now, run, took)
		e.End(now, run)
	}
	return good
}

// TestPredictionsFollowOutcomes: engines differ in the fixed part of a start, in their
// rate and in what long prompts cost; the predictions fit each after some starts, also
// if one start in ten takes three times as long.
func TestPredictionsFollowOutcomes(t *testing.T) {
	steady := func(int) float64 { return 1 }
	rough := func(n int) float64 {
		if n%10 == 9 {
			return 3
		}
		return 1 + 0.1*float64(n%3-1)
	}
	for name, c := range map[string]struct {
		fixed, token, pair float64
		noise              func(int) float64
		least              int
	}{
		"fast":              {0.033, 12e-6, 0.2e-9, steady, 100},
		"slow, long dear":   {0.060, 29e-6, 1.3e-9, steady, 100},
		"very slow":         {0.100, 200e-6, 0, steady, 100},
		"no fixed part":     {0, 20e-6, 0.5e-9, steady, 100},
		"slow and unsteady": {0.060, 29e-6, 1.3e-9, rough, 88},
	} {
		e := engineOf(64, 0)
		if good := starts(e, c.fixed, c.token, c.pair, c.noise); good < c.least {
			t.Errorf("%s: %d of the last 100 starts were predicted", name, good)
		}
	}
}

// TestEachTargetHasItsPace: a target that is slower than the others of its pool is
// known as such, and the others are not taken for slow.
func TestEachTargetHasItsPace(t *testing.T) {
	reading := NewReading(0, 2)
	slow := NewEngine(EngineOptions{Slots: 64, Reading: reading})
	usual := NewEngine(EngineOptions{Slots: 64, Reading: reading})
	now := time.Duration(0)
	for n := range 600 {
		for e, factor := range map[*Engine]float64{slow: 2, usual: 1} {
			run := e.Start(now, task(3000+100*(n%7), 10), 3000)
			took := seconds(0.04 + factor*20e-6*3000)
			e.Begun(now+took, run, took)
			e.End(now+took, run)
		}
		now += time.Second
	}
	of := func(e *Engine) time.Duration { return e.Predict(now, task(3000, 10), 3000) }
	if got := of(slow); got < 140*time.Millisecond || got > 180*time.Millisecond {
		t.Errorf("the slow one is predicted to take %s, and takes 160 ms", got)
	}
	if got := of(usual); got < 85*time.Millisecond || got > 115*time.Millisecond {
		t.Errorf("the usual one is predicted to take %s, and takes 100 ms", got)
	}
}

// TestToldPartsCount: what a target says that it keeps, or has dropped, changes
// what it would read; what was granted just now is left as it is.
func TestToldPartsCount(t *testing.T) {
	e := engineOf(64, 100_000)
	shared, own := EnginePart{ID: 2, Tokens: 4000}, EnginePart{ID: 3, Tokens: 100}
	prompt := task(4100, 10, shared, own)
	e.Tell(0, true, []EnginePart{shared})
	if reads, again := e.Reads(prompt); reads != 100 || again != 0 {
		t.Errorf("%d read, %d shared, of a part that is kept", reads, again)
	}
	e.Tell(time.Second, false, []EnginePart{{ID: 2, Tokens: 1000}})
	if reads, again := e.Reads(prompt); reads != 3100 || again != 3000 {
		t.Errorf("%d read, %d shared, with a quarter of the part kept", reads, again)
	}
	e.Start(10*time.Second, prompt, 3100)
	e.Tell(11*time.Second, true, nil)
	if _, again := e.Reads(prompt); again != 0 {
		t.Error("a prompt that was granted just now is taken as dropped")
	}
	e.Tell(20*time.Second, true, nil)
	if _, again := e.Reads(prompt); again != 4000 {
		t.Error("a part that the target dropped is taken as kept")
	}
}

// TestFirstFiguresFollowTheTargets: before any start is seen, a pool's declared work is
// divided among the targets that are listed by then, not among those of the first
// moment, when one of many has turned up: predictions of starts on a cold fleet were a
// sixth of what came.
func TestFirstFiguresFollowTheTargets(t *testing.T) {
	reading := NewReading(190_000, 1)
	for targets := 2; targets <= 9; targets++ {
		reading.Declare(190_000, targets)
	}
	if rate := reading.Rate(); rate < 40_000 || rate > 45_000 {
		t.Errorf("%.0f tokens a second for each of nine targets that do 190,000 together", rate)
	}
}

// TestAdoptedRunsCount: a run that another scheduler granted takes its slot, its
// memory and its time to read, keeps its prompt, and stands before later grants; one
// that has begun to be answered leaves what is unread as it was.
func TestAdoptedRunsCount(t *testing.T) {
	e := engineOf(8, 100_000)
	own := e.Start(time.Second, task(6000, 10), 6000)
	shared := EnginePart{ID: 2, Tokens: 4000}
	adopted := e.Adopt(time.Second, AdoptedRun{Task: task(6000, 10, shared, EnginePart{ID: 3, Tokens: 2000}), Reads: 6000, Age: 20 * time.Millisecond})
	e.Adopt(time.Second, AdoptedRun{Task: task(3000, 10), Reads: 3000, Age: time.Second, Began: true})
	if wait := e.Wait(time.Second); wait != 180*time.Millisecond {
		t.Errorf("wait %s for 12000 tokens at 60 a ms, 20 ms after the first was granted", wait)
	}
	if free := e.FreeSlots(); free != 5 {
		t.Errorf("%d of 8 slots free with three runs", free)
	}
	if reads, _ := e.Reads(task(4100, 10, shared, EnginePart{ID: 9, Tokens: 100})); reads != 100 {
		t.Errorf("%d tokens read again of a prompt that an adopted run reads", reads)
	}
	e.Begun(time.Second+100*time.Millisecond, adopted, 120*time.Millisecond)
	if own.begun || e.Wait(time.Second+100*time.Millisecond) == 0 {
		t.Error("a later grant counts as read with the run before it")
	}
	if rate := e.reading.Rate(); rate != defaultReadRate {
		t.Errorf("the start of an adopted run was learned from: %.0f tokens a second", rate)
	}
}
