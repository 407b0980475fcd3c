package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

const (
	coldPerSecond = 8
	coldOvershoot = 1.5
	coldSlack     = 4
	// maxColdPerSecond is the maximum number of requests to a cold target in any second.
	maxColdPerSecond = coldPerSecond*coldOvershoot + coldSlack
	coldTime         = 3 * time.Second
)

// newColdStartFleet returns a tokenFleet whose pool limits cold targets. Its targets are warm.
func newColdStartFleet(engines ...string) *tokenFleet {
	f := newTokenFleet(engines...)
	declarations := *f.machine.topo.decl
	pool := declarations.Pools["gen"]
	pool.ColdStartMillis, pool.ColdPerSecond = int(coldTime.Milliseconds()), coldPerSecond
	declarations.Pools = map[string]config.Pool{"gen": pool}
	options := f.machine.opts
	options.ColdOvershoot, options.ColdSlack = coldOvershoot, coldSlack
	f.machine = New(options)
	f.now = 0
	f.step(ConfigChanged{Snapshot: &config.Snapshot{Version: 1, Declarations: declarations, TargetsRevision: 1}})
	f.now = time.Minute
	f.step(Tick{})
	return f
}

// sendLoad sends short requests at a constant rate and returns the times of the grants by target.
func (f *tokenFleet) sendLoad(d time.Duration, perSecond int) map[string][]Instant {
	grants := make(map[string][]Instant)
	for end, interval := f.now+d, time.Second/time.Duration(perSecond); f.now < end; f.now += interval {
		f.requests++
		commands := f.step(RequestArrived{
			Request: f.requests, Attempt: 1, Workspace: "a", Pool: "gen",
			Deadline: f.now + time.Second, Work: Work{Parts: []PromptPart{{ID: uint64(f.requests), Tokens: 1}}, OutputTokens: 1},
		})
		f.answerRuns(commands, grants)
	}
	return grants
}

// answerRuns completes all granted runs immediately and records the times of their grants.
func (f *tokenFleet) answerRuns(commands []Command, grants map[string][]Instant) {
	for _, command := range commands {
		if d, ok := command.(Dispatch); ok {
			grants[d.Target] = append(grants[d.Target], f.now)
			f.answerRuns(f.step(RunBegan{Grant: d.Grant, After: time.Millisecond}), grants)
			f.answerRuns(f.step(RunEnded{Request: d.Request, Grant: d.Grant, Outcome: OutcomeAnswered}), grants)
		}
	}
}

// maxPerSecond returns the maximum number of the given times within any one second.
func maxPerSecond(grantTimes []Instant) int {
	highest := 0
	for n, from := range grantTimes {
		count := 0
		for _, at := range grantTimes[n:] {
			if at < from+time.Second {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// checkCold checks that a target is limited while it is cold, yet gets at least one second's
// worth of its declared rate, and that the limit ends with the cold time.
func (f *tokenFleet) checkCold(t *testing.T, name string) {
	t.Helper()
	cold := f.sendLoad(coldTime-100*time.Millisecond, 200)[name]
	if highest := maxPerSecond(cold); highest > maxColdPerSecond {
		t.Errorf("cold target %s was granted %d requests in one second, want at most %v", name, highest, maxColdPerSecond)
	}
	if minGrants := coldPerSecond; len(cold) < minGrants {
		t.Errorf("cold target %s was granted %d requests, want at least %d at %d per second", name, len(cold), minGrants, coldPerSecond)
	}
	f.now += time.Second
	if warm := f.sendLoad(time.Second, 200)[name]; len(warm) <= maxColdPerSecond {
		t.Errorf("warm target %s was granted %d of 200 requests, want more than the cold limit", name, len(warm))
	}
}

// TestColdTargetIsLimited guards against overloading a cold target, for each event by which a
// scheduler learns, or must assume, that the target is cold.
func TestColdTargetIsLimited(t *testing.T) {
	causes := map[string]func(f *tokenFleet){
		"reported by its entry": func(f *tokenFleet) {
			f.redeclareTargets(func(_ string, t *config.Target) { t.ColdMillis = 3000 })
		},
		"restarted under the same name": func(f *tokenFleet) {
			f.redeclareTargets(func(_ string, t *config.Target) { t.Start, t.ColdMillis = 7, 3000 })
		},
		"evacuation ended": func(f *tokenFleet) {
			f.setEvacuated("e1", true)
			f.now += time.Second
			f.setEvacuated("e1", false)
		},
		"connection failed": func(f *tokenFleet) { f.failRuns(1, OutcomeUnreachable) },
		"several runs lost": func(f *tokenFleet) { f.failRuns(4, OutcomeLost) },
	}
	for name, becomesCold := range causes {
		t.Run(name, func(t *testing.T) {
			f := newColdStartFleet("e1")
			f.sendLoad(2*time.Second, 200)
			becomesCold(f)
			f.checkCold(t, "e1")
		})
	}
}

// failRuns ends count concurrent runs with the given outcome, then lets a later run succeed.
func (f *tokenFleet) failRuns(count int, outcome Outcome) {
	var runs []*Dispatch
	for n := range count {
		_, d, _ := f.arrive("a", ownPart(uint64(5000+n)))
		runs = append(runs, d)
	}
	for _, d := range runs {
		f.step(RunEnded{Request: d.Request, Grant: d.Grant, Outcome: outcome})
	}
	f.now += time.Second
	f.step(Tick{})
	_, probe, _ := f.arrive("a", ownPart(6000))
	f.step(RunBegan{Grant: probe.Grant, After: time.Millisecond})
	f.step(RunEnded{Request: probe.Request, Grant: probe.Grant, Outcome: OutcomeAnswered})
}

// TestSingleLostRunIsNotARestart guards against treating a single lost run as a restart, which
// would limit every target while the network loses answers.
func TestSingleLostRunIsNotARestart(t *testing.T) {
	f := newColdStartFleet("e1")
	f.failRuns(1, OutcomeLost)
	if warm := f.sendLoad(time.Second, 200)["e1"]; len(warm) <= maxColdPerSecond {
		t.Errorf("warm target was granted %d of 200 requests, want more than the cold limit", len(warm))
	}
}

// TestWarmTargetsServeWhileOthersAreCold guards against refusing or delaying requests that
// warm targets can serve while other targets are cold.
func TestWarmTargetsServeWhileOthersAreCold(t *testing.T) {
	f := newColdStartFleet("e1", "e2", "e3")
	f.redeclareTargets(func(name string, t *config.Target) {
		if name != "e1" {
			t.ColdMillis = 3000
		}
	})
	granted := 0
	for _, grantTimes := range f.sendLoad(time.Second, 200) {
		granted += len(grantTimes)
	}
	if granted < 200 {
		t.Errorf("granted %d of 200 requests, want all", granted)
	}
}

// TestOnlyTheOwnerGrantsColdTargets guards against exceeding the limit through grants by several
// routers: one that does not own the shard, or has only just come to own it, grants none.
func TestOnlyTheOwnerGrantsColdTargets(t *testing.T) {
	f := newColdStartFleet("e1")
	f.redeclareTargets(func(_ string, t *config.Target) { t.ColdMillis = 60_000 })
	s := f.machine.sched.shards[ShardID{Pool: "gen"}]
	s.owned = false
	if room := s.targets[0].room(f.now); room != 0 {
		t.Errorf("a router that does not own the shard has room for %d", room)
	}
	s.owned, s.ownedAt = true, f.now
	if room := s.targets[0].room(f.now + time.Second); room != 0 {
		t.Errorf("a router that has owned the shard for one second has room for %d", room)
	}
	if room := s.targets[0].room(f.now + coldWindow); room == 0 {
		t.Error("the owner has no room after coldWindow")
	}
}

// TestPartitionSharesColdLimit guards against exceeding the limit in a network partition, where
// each side would otherwise grant a cold target the whole limit.
func TestPartitionSharesColdLimit(t *testing.T) {
	f := newColdStartFleet("e1")
	pool := f.machine.topo.decl.Pools["gen"]
	whole := f.machine.coldGrantLimit(pool)
	f.step(MembersListed{Members: []Member{{Node: "n"}, {Node: "other"}, {Node: "third"}}})
	if part := f.machine.coldGrantLimit(pool); whole < 1 || 3*part > whole {
		t.Errorf("one live router of three has a limit of %d, want at most a third of %d", part, whole)
	}
}

// BenchmarkUpdateColdLimits measures what a membership change costs the owner of a large shard.
func BenchmarkUpdateColdLimits(b *testing.B) {
	const nodes, targets = 300, 3000
	var names []string
	for n := range targets {
		names = append(names, fmt.Sprintf("e%d", n))
	}
	f := newColdStartFleet(names...)
	var members []Member
	for n := range nodes {
		members = append(members, Member{Node: NodeID(fmt.Sprintf("n%d", n))})
	}
	f.step(MembersListed{Members: members})
	for b.Loop() {
		f.machine.updateColdLimits()
	}
}
