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
