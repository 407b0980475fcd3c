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
	// settleFor is left to a fleet that was started, or whose router was.
	settleFor = 2 * time.Second
	// findFor is how long requests flow before the scheduler is asked for.
	findFor = time.Second
	// findSeed differs from the seeds of the repeats.
	findSeed = 1 << 20
)

// scene is one repeat of a fault.
type scene struct {
	fleet      *fleet.Fleet
	deployment workload.Deployment
	shape      workload.Shape
	// scheduler schedules the shard of the first data centre; target is one
	// of that shard's targets.
	scheduler *processes.Router
	target    string
	// kept are the entries of targets that were killed; killed and restarted
	// are when.
	kept              []journal.Entry
	killed, restarted time.Time
	// pending receives the errors of what was put off with later.
	pending []chan error
}

// newScene finds the scheduler by letting requests flow for a moment.
func newScene(ctx context.Context, f *fleet.Fleet, d workload.Deployment, shape workload.Shape) (*scene, error) {
	s := &scene{fleet: f, deployment: d, shape: shape, target: workload.TargetName(0)}
	time.Sleep(settleFor)
	sending, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		shape.Send(sending, d, f.Callers(), findSeed)
	}()
	time.Sleep(findFor)
	err := s.findScheduler()
	cancel()
	<-ended
	return s, err
}

func (s *scene) findScheduler() error {
	most := 0
	for _, r := range s.fleet.Routers {
		var status operator.Status
		if err := fleet.GetJSON("http://"+r.Settings.Listen.Operators+operator.PathStatus, &status); err != nil {
			return err
		}
		for _, shard := range status.Shards {
			if shard.DataCentre == s.dataCentre() && shard.Running > most {
				s.scheduler, most = r, shard.Running
			}
		}
	}
	if s.scheduler == nil {
		return fmt.Errorf("no router schedules the shard in %s", s.dataCentre())
	}
	return nil
}

func (s *scene) dataCentre() string { return s.deployment.DataCentres[0] }

// callers are the addresses of all routers but the one that may fail: the
// balancer takes that one away.
func (s *scene) callers() []string {
	return slices.DeleteFunc(s.fleet.Callers(), func(address string) bool {
		return address == s.scheduler.Settings.Listen.Callers
	})
}

// inShard says whether a target belongs to the shard of the scheduler.
func (s *scene) inShard(target string) bool {
	return s.fleet.Target(target).DataCentre == s.dataCentre()
}

// later does something after a delay; wait returns its error.
func (s *scene) later(delay time.Duration, do func() error) {
	done := make(chan error, 1)
	s.pending = append(s.pending, done)
	time.AfterFunc(delay, func() { done <- do() })
}

func (s *scene) wait() error {
	for _, done := range s.pending {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

// keepJournal keeps the entries of a target that was killed, and ends what it
// ran then.
func (s *scene) keepJournal(entries []journal.Entry, at time.Time) {
	s.killed = at
	present := make(map[uint64]journal.Entry)
	for _, e := range entries {
		switch e.Event {
		case journal.Received:
			present[e.Run] = e
		case journal.Ended:
			delete(present, e.Run)
		}
	}
	s.kept = entries
	for _, e := range present {
		e.Event = journal.Ended
		e.Outcome = journal.Crashed
		e.Wall = at
		s.kept = append(s.kept, e)
	}
}
