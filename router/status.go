package router

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/result"
)

// Status implements operator.Backend.
func (b backend) Status(ctx context.Context, request operator.StatusRequest) (operator.Status, error) {
	if request.Node != "" && request.Node != b.router.settings.Node.Name {
		return b.remoteStatus(ctx, request)
	}
	var inside control.Status
	if !b.router.loop.query(func(m *control.Machine) { inside = m.Status() }) {
		return operator.Status{}, result.New(result.RouterUnreachable, "The router has stopped.")
	}
	status := operator.Status{
		Newest:  b.router.follower.Version(),
		Routers: []operator.RouterStatus{b.routerStatus(inside)},
	}
	if request.Detail {
		b.addDetail(&status, inside)
	}
	return status, nil
}

func (b backend) routerStatus(inside control.Status) operator.RouterStatus {
	r := b.router
	row := operator.RouterStatus{
		Node:        r.settings.Node.Name,
		DataCentre:  r.settings.Node.DataCentre,
		Region:      r.settings.Node.Region,
		Incarnation: fmt.Sprintf("%016x", uint64(r.incarnation)),
		State:       b.state(),
		Version:     r.follower.Version(),
		Waiting:     inside.Waiting,
		Running:     inside.Running,
	}
	if vms := r.vms.Load(); vms != nil {
		for _, vm := range *vms {
			if vm.Name == row.Node {
				row.Listed = true
				row.Leaving = vm.State == platform.VMLeaving
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

// addDetail adds the shards scheduled here and the backlog by workspace.
func (b backend) addDetail(status *operator.Status, inside control.Status) {
	waiting := make(map[string]int)
	for _, shard := range inside.Shards {
		status.Shards = append(status.Shards, operator.ShardStatus{
			Pool:       shard.Shard.Pool,
			DataCentre: shard.Shard.DataCentre,
			Scheduler:  b.router.settings.Node.Name,
			Waiting:    shard.Queued,
		})
		for workspace, count := range shard.Backlog {
			waiting[workspace] += count
		}
	}
	for workspace, count := range waiting {
		status.Backlog = append(status.Backlog, operator.WorkspaceBacklog{Workspace: workspace, Waiting: count})
	}
	slices.SortFunc(status.Backlog, func(x, y operator.WorkspaceBacklog) int {
		return strings.Compare(x.Workspace, y.Workspace)
	})
}
