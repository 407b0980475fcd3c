package faults

import (
	"net/http"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	// usualInterval is how long after a fault is judged.
	usualInterval = 6 * time.Second
	// frozenFor is how long a frozen scheduler stands still.
	frozenFor = 10 * time.Second
	// afterThaw is judged too.
	afterThaw = 4 * time.Second
	// downFor is how long a killed target is away.
	downFor = 3 * time.Second
	// slowFactor multiplies the time of a slowed target's steps.
	slowFactor = 10
	// lieQueued is the queue that a lying target claims when it "is full".
	lieQueued = 20
	// pathFault is where a stand-in target takes its faults.
	pathFault = "/_fault"
)

// fault is something that goes wrong while all workspaces are backlogged.
type fault struct {
	name string
	// interval is judged, from the fault on.
	interval time.Duration
	// schedulers is how many schedulers may hold grants of one target at once.
	schedulers int
	// begin and end bring the fault about and end it. end runs after the
	// interval; both may be nil.
	begin, end func(*scene) error
}

// list returns the faults in the order in which they are measured.
func list() []fault {
	return []fault{
		{name: "none", interval: usualInterval, schedulers: 1},
		{name: "scheduler killed", interval: usualInterval, schedulers: 2, begin: (*scene).killScheduler, end: (*scene).restartScheduler},
		{name: "scheduler frozen 10 s", interval: frozenFor + afterThaw, schedulers: 2, begin: (*scene).freezeScheduler},
		{name: "scheduler restarted", interval: usualInterval, schedulers: 2, begin: (*scene).replaceScheduler},
		{name: "target killed 3 s", interval: usualInterval + downFor, schedulers: 1, begin: (*scene).killTarget},
		{name: "target slowed 10x", interval: usualInterval, schedulers: 1, begin: slowed, end: (*scene).healTarget},
		{name: "target says 0 running", interval: usualInterval, schedulers: 1, begin: saysIdle, end: (*scene).healTarget},
		{name: "target says full", interval: usualInterval, schedulers: 1, begin: saysFull, end: (*scene).healTarget},
	}
}

func (s *scene) killScheduler() error {
	s.scheduler.Kill()
	return nil
}

func (s *scene) restartScheduler() error {
	if err := s.scheduler.Restart(); err != nil {
		return err
	}
	return s.scheduler.WaitReady()
}

func (s *scene) replaceScheduler() error {
	s.scheduler.Kill()
	return s.scheduler.Restart()
}

func (s *scene) freezeScheduler() error {
	if err := s.scheduler.Freeze(); err != nil {
		return err
	}
	s.later(frozenFor, s.scheduler.Thaw)
	return nil
}

// killTarget kills the target after it gave its journal, and starts it again,
// empty, on the same address.
func (s *scene) killTarget() error {
	killed := s.fleet.Targets[s.target]
	var entries []journal.Entry
	if err := fleet.GetJSON("http://"+killed.Address+fleet.PathJournal, &entries); err != nil {
		return err
	}
	killed.Kill()
	s.keepJournal(entries, time.Now())
	s.later(downFor, func() error {
		started, err := processes.StartEngine(s.fleet.Binaries, s.target, processes.EngineOptions{
			Listen: killed.Address, Slots: s.deployment.Slots, Step: s.deployment.Step,
		})
		if err == nil {
			s.restarted = time.Now()
			s.fleet.Targets[s.target] = started
		}
		return err
	})
	return nil
}

func slowed(s *scene) error { return s.setFault(engine.Faults{SlowFactor: slowFactor}) }

func saysIdle(s *scene) error {
	return s.setFault(engine.Faults{FalseLoad: &targets.Load{Slots: s.deployment.Slots}})
}

func saysFull(s *scene) error {
	return s.setFault(engine.Faults{FalseLoad: &targets.Load{
		Running: s.deployment.Slots, Queued: lieQueued, Slots: s.deployment.Slots,
	}})
}

func (s *scene) setFault(f engine.Faults) error {
	return fleet.PostJSON(s.faultURL(), f, nil)
}

func (s *scene) healTarget() error {
	request, err := http.NewRequest(http.MethodDelete, s.faultURL(), nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

func (s *scene) faultURL() string {
	return "http://" + s.fleet.Targets[s.target].Address + pathFault
}
