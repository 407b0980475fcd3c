package router

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/orders"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
)

// Status implements operator.Backend.
func (b backend) Status(ctx context.Context, request operator.StatusRequest) (operator.Status, error) {
	if request.Node != "" && request.Node != b.router.settings.Node.Name {
		return b.remoteStatus(ctx, request)
	}
	var machineStatus control.Status
	if !b.router.loop.query(func(m *control.Machine) { machineStatus = m.Status() }) {
		return operator.Status{}, result.New(result.RouterUnreachable, "The router has stopped.")
	}
	status := operator.Status{
		Newest:  b.router.version(),
		Routers: []operator.RouterStatus{b.routerStatus(machineStatus)},
	}
	if request.Detail {
		b.addDetail(&status, machineStatus)
	}
	return status, nil
}

func (b backend) routerStatus(machineStatus control.Status) operator.RouterStatus {
	r := b.router
	row := operator.RouterStatus{
		Node:        r.settings.Node.Name,
		DataCentre:  r.settings.Node.DataCentre,
		Region:      r.settings.Node.Region,
		Incarnation: fmt.Sprintf("%016x", uint64(r.incarnation)),
		State:       b.state(),
		Version:     r.version(),
		Waiting:     machineStatus.Waiting,
		Running:     machineStatus.Running,
	}
	if vms := r.vms.Load(); vms != nil {
		for _, vm := range *vms {
			if vm.Name == row.Node {
				row.Listed = true
				row.Leaving = vm.State == store.VMLeaving
			}
		}
	}
	return row
}

func (b backend) state() operator.RouterState {
	switch {
	case !b.router.Ready():
		return operator.RouterStarting
	case !b.router.Draining():
		return operator.RouterReady
	}
	select {
	case <-b.router.drainedCh:
		return operator.RouterDrained
	default:
		return operator.RouterDraining
	}
}

// addDetail adds the requests that entered here, per workspace, and the shards
// and targets scheduled here.
func (b backend) addDetail(status *operator.Status, machineStatus control.Status) {
	for workspace, count := range machineStatus.ByWorkspace {
		status.Backlog = append(status.Backlog, operator.WorkspaceBacklog{
			Workspace:    workspace,
			Waiting:      count.Waiting,
			WaitingBytes: count.WaitingBytes,
			Running:      count.Running,
		})
	}
	slices.SortFunc(status.Backlog, func(x, y operator.WorkspaceBacklog) int {
		return strings.Compare(x.Workspace, y.Workspace)
	})
	for _, shard := range machineStatus.Shards {
		b.addShard(status, shard)
	}
}

func (b backend) addShard(status *operator.Status, shard control.ShardStatus) {
	row := operator.ShardStatus{
		Pool:       shard.Shard.Pool,
		DataCentre: shard.Shard.DataCentre,
		Scheduler:  b.router.settings.Node.Name,
		Waiting:    shard.Queued,
		Running:    shard.Granted,
	}
	var states map[string]orders.Reason
	if b.router.ownPlatform != nil {
		states = b.router.orders.Reasons()
	}
	for _, target := range shard.Targets {
		row.Slots += target.Slots
		status.Targets = append(status.Targets, operator.TargetStatus{
			Name:          target.Target,
			Pool:          shard.Shard.Pool,
			DataCentre:    shard.Shard.DataCentre,
			Health:        healthOf(target),
			Running:       target.Granted,
			Slots:         target.Slots,
			LoadAgeMillis: loadAgeMillis(target.LoadAge),
			Scheduler:     b.router.settings.Node.Name,
			Orders:        orderStatus(states, target.Target),
		})
	}
	status.Shards = append(status.Shards, row)
}

// healthOf returns a target's health as shown to operators. A target that gets no grants
// because it failed is suspect.
func healthOf(target control.TargetStatus) operator.TargetHealth {
	switch {
	case target.Leaving:
		return operator.TargetLeaving
	case target.Evacuated:
		return operator.TargetEvacuated
	case target.DownFor > 0:
		return operator.TargetSuspect
	default:
		return operator.TargetLive
	}
}

// loadAgeMillis returns the age in milliseconds; -1 for a target that has not reported yet.
func loadAgeMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
