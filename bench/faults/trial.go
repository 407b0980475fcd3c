package faults

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/bench/workload"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/processes"
	"github.com/walnutcove/walnutcove/standin/journal"
)

const (
	// settleTime is how long a fleet gets to settle after a start or after the
	// restart of a router.
	settleTime = 2 * time.Second
	// searchTime is how long callers send before the routers are asked which of
	// them is the scheduler.
	searchTime = time.Second
	// searchSeed differs from the seeds of the repeats.
	searchSeed = 1 << 20
)

// trial is one repeat of a fault.
type trial struct {
	fleet      *fleet.Fleet
	deployment workload.Deployment
	shape      workload.Shape
	// scheduler is the router that schedules the shard of the first data centre,
	// and target one of that shard's targets.
	scheduler *processes.Router
	target    string
	// savedEntries holds the target's journal up to killedAt, when the target was
	// killed; restartedAt is when it was started again. All three are zero if it was
	// not killed.
	savedEntries          []journal.Entry
	killedAt, restartedAt time.Time
	// pending holds one channel for each call of runAfter; it receives the
	// action's error.
	pending []chan error
}

// newTrial prepares a trial: it sends requests for searchTime to find the scheduler.
func newTrial(ctx context.Context, f *fleet.Fleet, d workload.Deployment, shape workload.Shape) (*trial, error) {
	t := &trial{fleet: f, deployment: d, shape: shape, target: workload.TargetName(0)}
	time.Sleep(settleTime)
	sendCtx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		shape.Send(sendCtx, d, f.CallerAddresses(), searchSeed)
	}()
	time.Sleep(searchTime)
	err := t.findScheduler()
	cancel()
	<-ended
	return t, err
}

// findScheduler finds the router that runs the most requests of the shard of the
// first data centre.
func (t *trial) findScheduler() error {
	maxRunning := 0
	for _, r := range t.fleet.Routers {
		var status operator.Status
		if err := fleet.GetJSON("http://"+r.Settings.Listen.Operators+operator.PathStatus, &status); err != nil {
			return err
		}
		for _, shard := range status.Shards {
			if shard.DataCentre == t.dataCentre() && shard.Running > maxRunning {
				t.scheduler, maxRunning = r, shard.Running
			}
		}
	}
	if t.scheduler == nil {
		return fmt.Errorf("no router schedules the shard in %s", t.dataCentre())
	}
	return nil
}

func (t *trial) dataCentre() string { return t.deployment.DataCentres[0] }

// callerAddresses returns the addresses at which the routers serve callers, without
// the scheduler. The scheduler may fail, and a load balancer would stop sending to it.
func (t *trial) callerAddresses() []string {
	return slices.DeleteFunc(t.fleet.CallerAddresses(), func(address string) bool {
		return address == t.scheduler.Settings.Listen.Callers
	})
}

// inShard reports whether a target belongs to the scheduler's shard.
func (t *trial) inShard(target string) bool {
	return t.fleet.TargetConfig(target).DataCentre == t.dataCentre()
}

// runAfter runs action after a delay; waitPending returns its error.
func (t *trial) runAfter(delay time.Duration, action func() error) {
	done := make(chan error, 1)
	t.pending = append(t.pending, done)
	time.AfterFunc(delay, func() { done <- action() })
}

// waitPending waits for the actions of runAfter and returns the first error.
func (t *trial) waitPending() error {
	for _, done := range t.pending {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

// saveJournal saves the entries of a target that was killed, and adds an end for
// each request that it held then.
func (t *trial) saveJournal(entries []journal.Entry, at time.Time) {
	t.killedAt = at
	present := make(map[uint64]journal.Entry)
	for _, e := range entries {
		switch e.Event {
		case journal.Received:
			present[e.Run] = e
		case journal.Ended:
			delete(present, e.Run)
		}
	}
	t.savedEntries = entries
	for _, e := range present {
		e.Event = journal.Ended
		e.Outcome = journal.Crashed
		e.Wall = at
		t.savedEntries = append(t.savedEntries, e)
	}
}
