package control

import (
	"reflect"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/result"
	"pgregory.net/rapid"
)

// speedFleet is a single machine that schedules a pool that counts in tokens, "gen", and one that
// counts in slots, "work".
type speedFleet struct {
	machine  *Machine
	now      Instant
	requests RequestID
	// running holds the dispatched runs, oldest first.
	running []Dispatch
}

func newSpeedFleet(opts Options, targets int) *speedFleet {
	d := tokenDeclarations()
	d.Pools["work"] = config.Pool{Kind: config.KindService}
	d.Workspaces["w"] = config.Workspace{Share: 1, Pools: []string{"work"}, MaxQueued: 1000}
	for i := range targets {
		d.Targets["gen-"+string(rune('a'+i))] = config.Target{Pool: "gen", DataCentre: "d", Slots: 4}
		d.Targets["work-"+string(rune('a'+i))] = config.Target{Pool: "work", DataCentre: "d", Slots: 4}
	}
	opts.Node, opts.Incarnation, opts.DataCentre, opts.Seed = "n", 1, "d", 1
	f := &speedFleet{machine: New(opts)}
	f.step(ConfigChanged{Snapshot: &config.Snapshot{Version: 1, Declarations: d}})
	f.now = time.Second // the windows have settled
	f.step(Tick{})
	return f
}

func (f *speedFleet) step(ev Event) []Command {
	commands := f.machine.Step(f.now, ev)
	f.running = append(f.running, dispatchesIn(commands)...)
	return commands
}

// work sends a request to the pool that counts in slots.
func (f *speedFleet) work(objective time.Duration) []Command {
	f.requests++
	return f.step(RequestArrived{Request: f.requests, Attempt: 1, Workspace: "w", Pool: "work", Deadline: f.now + 10*time.Second, Objective: f.now + objective})
}

// generate sends a request to the pool that counts in tokens.
func (f *speedFleet) generate(parts ...PromptPart) []Command {
	f.requests++
	return f.step(RequestArrived{
		Request: f.requests, Attempt: 1, Workspace: "a", Pool: "gen", Deadline: f.now + 10*time.Second,
		Objective: f.now + 400*time.Millisecond, Work: Work{Parts: parts, OutputTokens: 50},
	})
}

// read passes a reading of a target to its scheduler.
func (f *speedFleet) read(target string, percent int) {
	f.machine.now = f.now
	f.machine.targetReading(f.machine.localTarget(target), speed.Reading{Slots: 4, Percent: percent}, 0)
}

// end ends the oldest run after the given service time.
func (f *speedFleet) end(service time.Duration, load speed.Reading) []Command {
	run := f.running[0]
	f.running = f.running[1:]
	return f.step(RunEnded{Request: run.Request, Grant: run.Grant, Outcome: OutcomeAnswered, Service: service, Load: load})
}

// TestTargetsWithoutSpeedAreUnchanged guards against a change of any decision for targets that send
// no reading, or one without a speed: random events give the same commands as to a machine that
// ignores readings.
func TestTargetsWithoutSpeedAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 4).Draw(t, "targets")
		one, two := newSpeedFleet(Options{}, targets), newSpeedFleet(Options{IgnoreReadings: true}, targets)
		noSpeed := speed.Reading{Running: 2, Waiting: 1, Slots: 4}
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			pause := time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			action := rapid.IntRange(0, 4).Draw(t, "action")
			part := uint64(rapid.IntRange(1, 5).Draw(t, "part"))
			apply := func(f *speedFleet) []Command {
				f.now += pause
				switch {
				case action == 0:
					return f.work(100 * time.Millisecond)
				case action <= 2:
					return f.generate(sharedPart(part), ownPart(100+uint64(f.requests)))
				case action == 3 && len(f.running) > 0:
					run := f.running[len(f.running)-1]
					return f.step(RunBegan{Grant: run.Grant, After: pause, Load: noSpeed})
				case len(f.running) > 0:
					return f.end(pause, noSpeed)
				}
				return f.step(Tick{})
			}
			if got, want := apply(one), apply(two); !reflect.DeepEqual(got, want) {
				t.Fatalf("at %s:\ngot  %v\nwant %v", one.now, got, want)
			}
		}
	})
}

// TestSpeedOfOnePoolLeavesOthers guards against readings of one pool that change decisions for a pool
// without readings.
func TestSpeedOfOnePoolLeavesOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := newSpeedFleet(Options{}, 3), newSpeedFleet(Options{}, 3)
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			pause := time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			percent := rapid.IntRange(50, 300).Draw(t, "percent")
			ends := rapid.Bool().Draw(t, "ends")
			apply := func(f *speedFleet) []Command {
				f.now += pause
				if ends && len(f.running) > 0 {
					return f.end(pause, speed.Reading{})
				}
				return f.work(100 * time.Millisecond)
			}
			one.read("gen-a", percent)
			if got, want := apply(one), apply(two); !reflect.DeepEqual(got, want) {
				t.Fatalf("at %s:\ngot  %v\nwant %v", one.now, got, want)
			}
		}
	})
}

// TestPromptsAvoidSlowEngine guards against prompts that are given to an engine which reports that
// work takes long there, while another one is free; the slowness ends for the scheduler when no
// reading confirms it.
func TestPromptsAvoidSlowEngine(t *testing.T) {
	f := newSpeedFleet(Options{}, 2)
	f.read("gen-b", 100)
	for n := range uint64(6) {
		f.read("gen-a", 100)
		f.now += 10 * time.Millisecond
		f.read("gen-a", 400)
		d := dispatchesIn(f.generate(PromptPart{ID: 100 + n, Tokens: 3000}))
		if len(d) != 1 || d[0].Target != "gen-b" {
			t.Fatalf("request %d: %v, want gen-b", n, d)
		}
		f.now += 200 * time.Millisecond
		f.step(RunBegan{Grant: d[0].Grant, After: 150 * time.Millisecond})
		f.end(200*time.Millisecond, speed.Reading{})
	}
	if counters := f.machine.Counters(); counters.GrantsMovedBySpeed == 0 || counters.ReadingsUsed == 0 {
		t.Errorf("%d grants moved and %d readings used were counted", counters.GrantsMovedBySpeed, counters.ReadingsUsed)
	}
	f.now += 3 * time.Second
	if passing := f.machine.localTarget("gen-a").speed.Passing(f.now); passing > 1.01 {
		t.Errorf("passing factor %.2f three seconds after the last reading", passing)
	}
}

// TestSlowCacheHolderCompetes guards against shared parts that are always read at the engine that has
// them in its cache, although reading them again at a fast one is sooner.
func TestSlowCacheHolderCompetes(t *testing.T) {
	f := newSpeedFleet(Options{}, 2)
	f.machine.opts.Tokens.NoFetch = true
	parts := []PromptPart{{ID: 7, Tokens: 600}, {ID: 8, Tokens: 4000}}
	first := dispatchesIn(f.generate(parts...))[0]
	f.now += 300 * time.Millisecond
	f.step(RunBegan{Grant: first.Grant, After: 300 * time.Millisecond})
	f.end(300*time.Millisecond, speed.Reading{})
	second := dispatchesIn(f.generate(PromptPart{ID: 7, Tokens: 600}, PromptPart{ID: 9, Tokens: 4000}))[0]
	if second.Target != first.Target {
		t.Fatalf("%s, want %s, which has the part in its cache", second.Target, first.Target)
	}
	f.now += 300 * time.Millisecond
	f.step(RunBegan{Grant: second.Grant, After: 300 * time.Millisecond})
	f.end(300*time.Millisecond, speed.Reading{})
	f.read(first.Target, 100)
	f.now += 10 * time.Millisecond
	f.read(first.Target, 400)
	third := dispatchesIn(f.generate(PromptPart{ID: 7, Tokens: 600}, PromptPart{ID: 10, Tokens: 4000}))[0]
	if third.Target == first.Target {
		t.Errorf("%s, which is four times as slow", third.Target)
	}
}

// teach has a target that counts in slots report the given speed and run as fast.
func (f *speedFleet) teach(target string, service time.Duration, percent int) {
	t := f.machine.localTarget(target)
	for range 40 {
		f.now += 10 * time.Millisecond
		f.read(target, percent)
		t.window.Granted(f.now)
		t.speed.Granted(f.now)
		g := &grant{target: t, startedAt: f.now}
		g.markSpeed(f.now)
		f.now += service
		f.machine.now = f.now
		f.machine.learnRun(g, service)
		t.window.Ended(f.now, service, 0)
	}
	t.shard.updateUsual(f.now)
}

// TestSlotsOfSlowTargetAreUsedLast guards against runs at a slow target while fast ones have free
// slots, against uneven use of fast ones, and against slots of the slow one that are never used.
func TestSlotsOfSlowTargetAreUsedLast(t *testing.T) {
	f := newSpeedFleet(Options{}, 3)
	for range 3 { // the median of the first ones is not known yet
		f.teach("work-a", 100*time.Millisecond, 100)
		f.teach("work-b", 100*time.Millisecond, 100)
		f.teach("work-c", 220*time.Millisecond, 100)
	}
	used := make(map[string]int)
	for n := range 12 {
		for _, d := range dispatchesIn(f.work(time.Second)) {
			used[d.Target]++
		}
		if n == 7 && (used["work-a"] != 4 || used["work-b"] != 4) {
			t.Errorf("the first 8 runs went to %v, want 4 at each fast target", used)
		}
	}
	// A run that waits for a fifth of a fast target's slots ends before one at the slow target.
	if used["work-a"] != 5 || used["work-b"] != 5 || used["work-c"] != 2 {
		t.Errorf("12 runs went to %v, want 5, 5 and 2", used)
	}
}

// TestNoRunWaitsInSlowTarget guards against runs that wait inside a target which is slow at the moment.
func TestNoRunWaitsInSlowTarget(t *testing.T) {
	f := newSpeedFleet(Options{}, 1)
	f.teach("work-a", 5*time.Millisecond, 100)
	target := f.machine.localTarget("work-a")
	if usual := target.room(f.now); usual <= 4 {
		t.Fatalf("room for %d runs in 4 slots of a target with runs of 5 ms", usual)
	}
	f.read("work-a", 250)
	if room := target.room(f.now); room != 4 {
		t.Errorf("room for %d runs in 4 slots of a slow target", room)
	}
}

// TestRefusedAtOnceWhileAllTargetsAreSlow guards against requests that are run, late, while all targets
// are slow for a moment, and against refusals of what is never in time.
func TestRefusedAtOnceWhileAllTargetsAreSlow(t *testing.T) {
	f := newSpeedFleet(Options{}, 2)
	f.teach("work-a", 100*time.Millisecond, 100)
	f.teach("work-b", 100*time.Millisecond, 100)
	f.read("work-a", 400)
	if d := dispatchesIn(f.work(150 * time.Millisecond)); len(d) != 1 || d[0].Target != "work-b" {
		t.Errorf("with one slow target: %v, want a dispatch to the other", d)
	}
	f.read("work-b", 400)
	commands := f.work(150 * time.Millisecond)
	if _, refuse := outcomeOf(commands, f.requests); refuse == nil || refuse.Code != result.Overloaded || refuse.RetryAfter <= 0 {
		t.Errorf("with two slow targets: %v, want a refusal with a retry time", commands)
	}
	if d := dispatchesIn(f.work(50 * time.Millisecond)); len(d) != 1 {
		t.Errorf("a request that is never in time: %v, want a dispatch", d)
	}
}

// TestLateAtEveryEngineIsRefusedAtOnce guards against a prompt that waits, or is read, although every
// engine with room is so slow at the moment that its answer would be late, and against refusals of
// prompts that no engine can ever read in time.
func TestLateAtEveryEngineIsRefusedAtOnce(t *testing.T) {
	f := newSpeedFleet(Options{}, 2)
	for _, name := range []string{"gen-a", "gen-b"} {
		f.read(name, 100)
	}
	f.now += 10 * time.Millisecond
	d := dispatchesIn(f.generate(PromptPart{ID: 1, Tokens: 5000}))
	if len(d) != 1 {
		t.Fatalf("at the usual speed: %v, want a dispatch", d)
	}
	f.now += 150 * time.Millisecond
	f.step(RunBegan{Grant: d[0].Grant, After: 150 * time.Millisecond})
	f.end(200*time.Millisecond, speed.Reading{})
	for _, name := range []string{"gen-a", "gen-b"} {
		f.read(name, 800)
	}
	commands := f.generate(PromptPart{ID: 10, Tokens: 5000})
	if _, refuse := outcomeOf(commands, f.requests); refuse == nil || refuse.Code != result.Overloaded {
		t.Errorf("at slow engines: %v, want a refusal", commands)
	}
	if d := dispatchesIn(newSpeedFleet(Options{}, 2).generate(PromptPart{ID: 11, Tokens: 60_000})); len(d) != 1 {
		t.Errorf("a prompt that is never read in time: %v, want a dispatch", d)
	}
}

// TestLateAtEveryTargetIsDeferred guards against a late run at a slow target that takes the slot of a
// request which can be in time: the late one is deferred, and served while there are free slots.
func TestLateAtEveryTargetIsDeferred(t *testing.T) {
	f := newSpeedFleet(Options{}, 2)
	f.teach("work-a", 100*time.Millisecond, 100)
	f.teach("work-b", 100*time.Millisecond, 100)
	f.read("work-a", 200)
	f.read("work-b", 200)
	if d := dispatchesIn(f.work(90 * time.Millisecond)); len(d) != 1 || f.machine.Counters().TicketsDeferred != 1 {
		t.Errorf("late everywhere: %v and %d deferred, want a dispatch as deferred", d, f.machine.Counters().TicketsDeferred)
	}
	if d := dispatchesIn(f.work(time.Second)); len(d) != 1 || f.machine.Counters().TicketsDeferred != 1 {
		t.Errorf("in time: %v and %d deferred, want a dispatch and no other deferred", d, f.machine.Counters().TicketsDeferred)
	}
}

// TestRestartResetsSpeed guards against the speed of a target's earlier start.
func TestRestartResetsSpeed(t *testing.T) {
	f := newSpeedFleet(Options{}, 2)
	f.read("gen-a", 300)
	f.step(TargetCacheReported{Target: "gen-a", Start: 1, Full: true})
	f.machine.localTarget("gen-a").start = 1
	f.step(TargetCacheReported{Target: "gen-a", Start: 2, Full: true})
	if f.machine.localTarget("gen-a").speed != nil {
		t.Error("a new start of a target has the speed of the one before")
	}
	f.read("work-a", 300)
	f.machine.targetRestarted(f.machine.localTarget("work-a"))
	if f.machine.localTarget("work-a").speed != nil {
		t.Error("a target that restarted has the speed from before")
	}
}
