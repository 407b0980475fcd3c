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
	// defaultInterval is the length of the evaluated time after most faults.
	defaultInterval = 6 * time.Second
	// frozenFor is how long a scheduler stays frozen.
	frozenFor = 10 * time.Second
	// afterThaw is how much time after the end of a freeze is evaluated as well.
	afterThaw = 4 * time.Second
	// downFor is how long a killed target stays down.
	downFor = 3 * time.Second
	// slowFactor multiplies the time of each step of a slowed target.
	slowFactor = 10
	// falseQueued is the queue length that a target falsely reports when it claims
	// to be full.
	falseQueued = 20
	// pathFault is the path at which a stand-in target accepts faults to simulate.
	pathFault = "/_fault"
)

// fault is a failure to inject while all workspaces are backlogged.
type fault struct {
	name string
	// interval is the length of the evaluated time, which starts at the fault.
	interval time.Duration
	// maxSchedulers is how many schedulers may hold grants of one target at once.
	maxSchedulers int
	// begin injects the fault and end removes it, after the interval. Both may be
	// nil.
	begin, end func(*trial) error
}

// allFaults returns the faults in the order in which they are measured.
func allFaults() []fault {
	return []fault{
		{name: "none", interval: defaultInterval, maxSchedulers: 1},
		{name: "scheduler killed", interval: defaultInterval, maxSchedulers: 2, begin: (*trial).killScheduler, end: (*trial).restartScheduler},
		{name: "scheduler frozen 10 s", interval: frozenFor + afterThaw, maxSchedulers: 2, begin: (*trial).freezeScheduler},
		{name: "scheduler restarted", interval: defaultInterval, maxSchedulers: 2, begin: (*trial).killAndRestartScheduler},
		{name: "target killed 3 s", interval: defaultInterval + downFor, maxSchedulers: 1, begin: (*trial).killTarget},
		{name: "target slowed 10x", interval: defaultInterval, maxSchedulers: 1, begin: slowTarget, end: (*trial).clearTargetFault},
		{name: "target says 0 running", interval: defaultInterval, maxSchedulers: 1, begin: reportIdle, end: (*trial).clearTargetFault},
		{name: "target says full", interval: defaultInterval, maxSchedulers: 1, begin: reportFull, end: (*trial).clearTargetFault},
	}
}

func (t *trial) killScheduler() error {
	t.scheduler.Kill()
	return nil
}

func (t *trial) restartScheduler() error {
	if err := t.scheduler.Restart(); err != nil {
		return err
	}
	return t.scheduler.WaitReady()
}

func (t *trial) killAndRestartScheduler() error {
	t.scheduler.Kill()
	return t.scheduler.Restart()
}

func (t *trial) freezeScheduler() error {
	if err := t.scheduler.Freeze(); err != nil {
		return err
	}
	t.runAfter(frozenFor, t.scheduler.Thaw)
	return nil
}

// killTarget kills the target after reading its journal, and later starts it
// again on the same address, without state.
func (t *trial) killTarget() error {
	killed := t.fleet.Targets[t.target]
	var entries []journal.Entry
	if err := fleet.GetJSON("http://"+killed.Address+fleet.PathJournal, &entries); err != nil {
		return err
	}
	killed.Kill()
	t.saveJournal(entries, time.Now())
	t.runAfter(downFor, func() error {
		started, err := processes.StartEngine(t.fleet.Binaries, t.target, processes.EngineOptions{
			Listen: killed.Address, Slots: t.deployment.Slots, Step: t.deployment.Step,
		})
		if err == nil {
			t.restartedAt = time.Now()
			t.fleet.Targets[t.target] = started
		}
		return err
	})
	return nil
}

func slowTarget(t *trial) error { return t.setFault(engine.Faults{SlowFactor: slowFactor}) }

func reportIdle(t *trial) error {
	return t.setFault(engine.Faults{FalseLoad: &targets.Load{Slots: t.deployment.Slots}})
}

func reportFull(t *trial) error {
	return t.setFault(engine.Faults{FalseLoad: &targets.Load{
		Running: t.deployment.Slots, Queued: falseQueued, Slots: t.deployment.Slots,
	}})
}

func (t *trial) setFault(f engine.Faults) error {
	return fleet.PostJSON(t.faultURL(), f, nil)
}

func (t *trial) clearTargetFault() error {
	request, err := http.NewRequest(http.MethodDelete, t.faultURL(), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (t *trial) faultURL() string {
	return "http://" + t.fleet.Targets[t.target].Address + pathFault
}
