package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

const (
	// crashContact is the time after the fifth crash after which requests with a part that
	// crashes targets count as late, and maxLateRuns how many of them may reach a target.
	crashContact = 3 * time.Second
	maxLateRuns  = 3
	// crashDelay is the time from the beginning of an answer to the crash of its target.
	crashDelay = 70 * time.Millisecond
	// crashSeeds is the number of seeds of each case.
	crashSeeds uint64 = 3
	// firstRequestPart numbers the parts that belong to one request.
	firstRequestPart = 1 << 32
)

// crashFleet is a fleet whose targets crash when they begin an answer on certain parts of
// prompts. A target that crashed is listed for a few seconds more and is back then, with
// another name.
type crashFleet struct {
	*sim
	spec  crashSpec
	rng   *rand.Rand
	decl  config.Declarations
	parts map[RequestID]crashRequest
	// starts counts the starts of targets, and order the listings.
	starts int
	order  uint64
	// crashes holds the times of the crashes, and arrived the times at which requests with a
	// crashing part reached a target.
	crashes []Instant
	arrived []Instant
	sound   []soundRequest
}

var crashFleetOptions = Options{HeartbeatEvery: 250 * time.Millisecond, MemberTimeout: time.Second, LocalAfter: 100 * time.Millisecond}

type crashRequest struct {
	parts    []uint64
	crashing bool
}

type soundRequest struct {
	at      Instant
	request *simRequest
}

// crashSpec describes the requests of a crashFleet.
type crashSpec struct {
	seed             uint64
	routers, targets int
	// sound and crashing return the parts of a request but for its last one; a nil function
	// means no such requests. n counts the requests of the kind.
	sound, crashing func(n int) []uint64
	// soundPerSecond and crashingPerSecond are their rates, from soundFrom and crashingFrom on.
	soundPerSecond, crashingPerSecond float64
	soundFrom, crashingFrom           time.Duration
	// causes are the parts that crash targets.
	causes []uint64
	// ownCrashes are times at which some target crashes of itself.
	ownCrashes []time.Duration
	// beside is called at the start, for further disruptions.
	beside   func(*crashFleet)
	duration time.Duration
}

func runCrashFleet(t *testing.T, spec crashSpec) *crashFleet {
	t.Helper()
	f := &crashFleet{sim: newSim(spec.seed), spec: spec, rng: rand.New(rand.NewPCG(spec.seed, 7)), parts: make(map[RequestID]crashRequest), order: 1}
	f.decl = tokenDeclarations()
	for range spec.targets {
		f.startTarget()
	}
	f.service = func(*simRequest) time.Duration { return time.Duration(200+f.rng.IntN(1800)) * time.Millisecond }
	f.onStart = f.runStarted
	f.startFleet(spec.routers, f.snapshot(), crashFleetOptions, "d")
	f.runUntil(2 * time.Second)
	begin := f.now
	f.generate(begin+spec.soundFrom, spec.soundPerSecond, spec.sound, false)
	f.generate(begin+spec.crashingFrom, spec.crashingPerSecond, spec.crashing, true)
	for _, at := range spec.ownCrashes {
		f.at(begin+at, func() { f.crashTarget(f.upTargets()[f.rng.IntN(len(f.upTargets()))]) })
	}
	if spec.beside != nil {
		spec.beside(f)
	}
	f.runUntil(begin + spec.duration)
	return f
}

func (f *crashFleet) snapshot() *config.Snapshot {
	decl := f.decl
	decl.Targets = maps.Clone(f.decl.Targets)
	return &config.Snapshot{Version: 1, Declarations: decl, TargetsRevision: config.Revision(f.order)}
}

func (f *crashFleet) startTarget() {
	f.starts++
	name := fmt.Sprintf("t%d", f.starts)
	f.decl.Targets[name] = config.Target{Pool: "gen", DataCentre: "d", Slots: 8, Start: int64(f.starts)}
	f.targets[name] = &simTarget{name: name, slots: 8, up: true}
}

// relist gives all routers the listing of targets.
func (f *crashFleet) relist() {
	f.order++
	for _, id := range f.names {
		f.step(f.nodes[id], ConfigChanged{Snapshot: f.snapshot()})
	}
}

func (f *crashFleet) upTargets() []string {
	var up []string
	for _, name := range sortedKeys(f.targets) {
		if f.targets[name].up {
			up = append(up, name)
		}
	}
	return up
}

// generate makes requests at random moments.
func (f *crashFleet) generate(from Instant, perSecond float64, parts func(int) []uint64, crashing bool) {
	if parts == nil || perSecond == 0 {
		return
	}
	n := 0
	var next func()
	next = func() {
		f.request(parts(n), crashing)
		n++
		f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.at(from, next)
}

// request sends a request, with a last part of its own, to some live router.
func (f *crashFleet) request(parts []uint64, crashing bool) {
	id := f.names[f.rng.IntN(len(f.names))]
	if n := f.nodes[id]; !n.up || n.paused {
		return
	}
	key := RequestID(len(f.requests) + 1)
	f.parts[key] = crashRequest{parts: parts, crashing: crashing}
	var work Work
	for _, part := range append(slices.Clone(parts), firstRequestPart+uint64(key)) {
		work.Parts = append(work.Parts, PromptPart{ID: part, Tokens: 100})
	}
	work.OutputTokens = 50
	r := f.arrive(id, "a", "gen", 8*time.Second, func(ev *RequestArrived) { ev.Work = work })
	if !crashing {
		f.sound = append(f.sound, soundRequest{at: f.now, request: r})
	}
}

// runStarted has a target begin an answer a little after a run starts, and crash if the
// prompt has a part that crashes it.
func (f *crashFleet) runStarted(run *simRun) {
	request := f.parts[run.req.id]
	if request.crashing {
		f.arrived = append(f.arrived, f.now)
	}
	f.after(20*time.Millisecond, func() {
		if run.removed {
			return
		}
		if slices.ContainsFunc(request.parts, func(part uint64) bool { return slices.Contains(f.spec.causes, part) }) {
			f.after(crashDelay, func() {
				if !run.removed {
					f.crashTarget(run.target.name)
				}
			})
			return // the target crashes before its first event is sent
		}
		f.after(f.delay, func() {
			if run.node.up && run.node.inc == run.inc {
				f.step(run.node, RunBegan{Grant: run.grant, After: f.now - run.req.grantedAt})
			}
		})
	})
}

// crashTarget ends a target: its runs are lost, and another one starts in its place.
func (f *crashFleet) crashTarget(name string) {
	target := f.targets[name]
	if !target.up {
		return
	}
	f.crashes = append(f.crashes, f.now)
	target.up = false
	lost := slices.Concat(target.running, target.queue)
	target.running, target.queue = nil, nil
	for _, run := range lost {
		run.removed = true
		f.endRun(run, OutcomeLost)
	}
	f.after(2500*time.Millisecond, func() { f.startTarget(); f.relist() })
	f.after(3300*time.Millisecond, func() { delete(f.decl.Targets, name); f.relist() })
}

// lateRuns counts the requests with a crashing part that reached a target later than
// crashContact after the fifth crash.
func (f *crashFleet) lateRuns() int {
	if len(f.crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range f.arrived {
		if at > f.crashes[4]+crashContact {
			late++
		}
	}
	return late
}

// checkSoundBegin checks that from twice crashContact after the fifth crash on, or after the
// last one if there are fewer, sound requests begin at least half as often as before the first.
func (f *crashFleet) checkSoundBegin(t *testing.T) {
	t.Helper()
	from := f.crashes[min(4, len(f.crashes)-1)] + 2*crashContact
	before, after := f.beganShare(0, f.crashes[0]), f.beganShare(from, f.now)
	if after < before/2 {
		t.Errorf("a share of %.2f of the sound requests begins after the crashes, %.2f before", after, before)
	}
}

// beganShare returns the share of the sound requests of a time that a target began; 1 if there
// are none.
func (f *crashFleet) beganShare(from, to Instant) float64 {
	began, all := 0, 0
	for _, s := range f.sound {
		if s.at >= from && s.at < to {
			all++
			began += min(1, s.request.runs)
		}
	}
	if all == 0 {
		return 1
	}
	return float64(began) / float64(all)
}

// refusedSound counts the sound requests of a time that were refused for their parts.
func (f *crashFleet) refusedSound(from, to Instant) (refused, all int) {
	code := fmt.Sprintf("refused %d", result.PartQuarantined)
	for _, s := range f.sound {
		if s.at < from || s.at >= to {
			continue
		}
		all++
		if s.request.outcome == code {
			refused++
		}
	}
	return refused, all
}

// seedsOfCase returns the seeds of all cases and the further ones of one.
func seedsOfCase(further []uint64) []uint64 {
	var seeds []uint64
	for seed := range crashSeeds {
		seeds = append(seeds, seed)
	}
	return append(seeds, further...)
}

func constantParts(parts ...uint64) func(int) []uint64 { return func(int) []uint64 { return parts } }

// TestPartsThatCrashTargetsAreRefused guards against requests with one part in their prompts,
// no two alike, that crash one target after the other.
func TestPartsThatCrashTargetsAreRefused(t *testing.T) {
	const shared, cause, other = 1, 2, 3
	base := crashSpec{
		routers: 3, targets: 12, soundPerSecond: 40, crashingPerSecond: 4, crashingFrom: 5 * time.Second,
		sound: constantParts(shared), crashing: constantParts(shared, cause), causes: []uint64{cause}, duration: 27 * time.Second,
	}
	for _, c := range []struct {
		name   string
		change func(*crashSpec)
		seeds  []uint64
	}{
		{"three routers", func(*crashSpec) {}, nil},
		{"one router", func(s *crashSpec) { s.routers = 1 }, nil},
		{"forty routers", func(s *crashSpec) { s.routers = 40 }, nil},
		{"first part", func(s *crashSpec) { s.crashing = constantParts(cause, other) }, nil},
		{"middle part beside various others", func(s *crashSpec) {
			s.sound = func(n int) []uint64 { return []uint64{shared, 100 + uint64(n%20)} }
			s.crashing = func(n int) []uint64 { return []uint64{shared, cause, 100 + uint64(n%20)} }
		}, nil},
		{"middle part beside others of its own", func(s *crashSpec) {
			s.crashing = func(n int) []uint64 { return []uint64{shared, cause, 1000 + uint64(n)} }
		}, nil},
		{"two parts at a time", func(s *crashSpec) {
			s.causes = []uint64{cause, other}
			s.crashing = func(n int) []uint64 { return []uint64{shared, cause + uint64(n%2)} }
		}, nil},
		{"three parts at a time", func(s *crashSpec) {
			s.targets = 24
			s.causes = []uint64{cause, other, 4}
			s.crashing = func(n int) []uint64 { return []uint64{shared, cause + uint64(n%3)} }
		}, nil},
		{"five crashes within a second", func(s *crashSpec) { s.crashingPerSecond = 12 }, nil},
		{"few sound requests", func(s *crashSpec) { s.soundPerSecond = 5 }, nil},
		{"no sound requests with the first part until later", func(s *crashSpec) { s.soundFrom = 14 * time.Second }, nil},
		{"part that was sound before", func(s *crashSpec) {
			s.sound = func(n int) []uint64 { return []uint64{shared} }
			s.beside = func(f *crashFleet) {
				f.spec.causes = nil
				f.generate(f.now, 5, constantParts(shared, cause), true)
				f.at(f.now+5*time.Second, func() { f.spec.causes = []uint64{cause} })
			}
		}, nil},
		{"schedulers killed one after the other", func(s *crashSpec) {
			s.routers = 6
			s.beside = func(f *crashFleet) {
				for _, at := range []time.Duration{5500 * time.Millisecond, 7 * time.Second, 12 * time.Second} {
					f.at(f.now+at, func() { f.stopNode(f.schedulerOf(t)) })
				}
			}
		}, nil},
		{"router that started since", func(s *crashSpec) {
			s.beside = func(f *crashFleet) {
				f.at(f.now+14*time.Second, func() { f.stopNode("n1") })
				f.at(f.now+15*time.Second, func() { f.startNode("n1", f.snapshot(), f.members(), crashFleetOptions) })
			}
		}, nil},
		{"router cut off from the others since the first crash", func(s *crashSpec) {
			s.routers = 6
			s.beside = func(f *crashFleet) {
				f.linkDown = func(from, to NodeID) bool { return len(f.crashes) > 0 && (from == "n1") != (to == "n1") }
			}
		}, []uint64{27}},
		{"router paused", func(s *crashSpec) {
			s.beside = func(f *crashFleet) {
				f.at(f.now+5500*time.Millisecond, func() { f.pauseNode("n1") })
				f.at(f.now+9*time.Second, func() { f.resumeNode("n1") })
			}
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, seed := range seedsOfCase(c.seeds) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					spec := base
					spec.seed = seed
					c.change(&spec)
					f := runCrashFleet(t, spec)
					refused, all := f.refusedSound(0, f.now)
					t.Logf("%d crashes, %d late, %d of %d sound requests refused", len(f.crashes), f.lateRuns(), refused, all)
					if late := f.lateRuns(); late > maxLateRuns {
						t.Errorf("%d requests with the part reached targets later than %s after the fifth crash", late, crashContact)
					}
					f.checkSoundBegin(t)
				})
			}
		})
	}
}

// members returns the list of routers.
func (f *crashFleet) members() []Member {
	var members []Member
	for _, id := range f.names {
		members = append(members, Member{Node: id, DataCentre: f.nodes[id].dataCentre})
	}
	return members
}

// TestPartsAreNotRefusedWhereTargetsCrashOfThemselves guards against convicting a part that all
// requests of a route share, or one that few have, because it ran on targets that crashed for
// other reasons.
func TestPartsAreNotRefusedWhereTargetsCrashOfThemselves(t *testing.T) {
	fewOthers := func(n int) []uint64 { return []uint64{1, 100 + uint64(n%50)} }
	for _, c := range []struct {
		name      string
		perSecond float64
		parts     func(int) []uint64
		crashes   int
		gap       time.Duration
		seeds     []uint64
	}{
		{"40 a second, at once", 40, constantParts(1, 2), 10, 10 * time.Millisecond, nil},
		{"40 a second, in a row", 40, constantParts(1, 2), 10, 200 * time.Millisecond, nil},
		{"40 a second, in six seconds", 40, constantParts(1, 2), 10, 600 * time.Millisecond, nil},
		{"40 a second, all the time", 40, fewOthers, 40, 400 * time.Millisecond, []uint64{9}},
		{"5 a second, at once", 5, constantParts(1, 2), 10, 10 * time.Millisecond, nil},
		{"5 a second, in a row", 5, constantParts(1, 2), 10, 200 * time.Millisecond, nil},
		{"5 a second, in six seconds", 5, constantParts(1, 2), 10, 600 * time.Millisecond, nil},
		{"5 a second, all the time", 5, fewOthers, 40, 400 * time.Millisecond, nil},
		{"1 a second, in six seconds", 1, constantParts(1, 2), 10, 600 * time.Millisecond, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var crashes []time.Duration
			for i := range c.crashes {
				crashes = append(crashes, 3*time.Second+time.Duration(i)*c.gap)
			}
			for _, seed := range seedsOfCase(c.seeds) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					f := runCrashFleet(t, crashSpec{
						seed: seed, routers: 3, targets: 12, soundPerSecond: c.perSecond, sound: c.parts, ownCrashes: crashes, duration: 20 * time.Second,
					})
					refused, all := f.refusedSound(0, f.now)
					t.Logf("%d crashes, %d of %d sound requests refused", len(f.crashes), refused, all)
					if refused > 0 {
						t.Errorf("%d of %d requests were refused for their parts, though no part crashes targets", refused, all)
					}
				})
			}
		})
	}
}

// TestLostProbesOfOneTargetAreOneCrash guards against convicting a part because a target that is
// down, and still listed, lost one probe with it after the other.
func TestLostProbesOfOneTargetAreOneCrash(t *testing.T) {
	f := newTokenFleet("t1")
	const part = 1
	for n := range 20 {
		_, dispatch, _ := f.arrive("a", PromptPart{ID: part, Tokens: 100}, PromptPart{ID: firstRequestPart + uint64(n), Tokens: 10})
		if dispatch != nil {
			f.step(RunEnded{Request: f.requests, Grant: dispatch.Grant, Outcome: OutcomeLost})
		}
		for range 30 {
			f.now += 100 * time.Millisecond
			f.step(Tick{})
		}
	}
	if crashes := f.machine.Counters().TargetCrashes; crashes != 1 {
		t.Errorf("%d crashes of a target that answered nothing in between", crashes)
	}
}

// TestEvidenceOfManyCrashesAtOnceIsOneNotice guards against a notice of each target to every router
// when a data centre loses its power.
func TestEvidenceOfManyCrashesAtOnceIsOneNotice(t *testing.T) {
	notices := 0
	f := runCrashFleet(t, crashSpec{
		routers: 10, targets: 40, soundPerSecond: 400, duration: 6 * time.Second,
		sound: func(n int) []uint64 { return []uint64{1, 100 + uint64(n)} },
		beside: func(f *crashFleet) {
			f.at(f.now+2*time.Second, func() {
				for _, name := range f.upTargets()[:30] {
					f.crashTarget(name)
				}
			})
			f.onSend = func(msg Message) {
				if evidence, ok := msg.(PartEvidence); ok && evidence.Crash != 0 {
					notices++
				}
			}
		},
	})
	if most := 2 * (len(f.names) - 1) * len(f.names); len(f.crashes) != 30 || notices == 0 || notices > most {
		t.Errorf("%d notices of %d crashes, want %d at most", notices, len(f.crashes), most)
	}
}
