package router

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/walnutcove/walnutcove/config"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
)

// backend serves the operator API. It implements operator.Backend.
type backend struct{ router *Router }

// Ready implements operator.Backend.
func (b backend) Ready() operator.Readiness {
	r := b.router
	readiness := operator.Readiness{Version: r.version()}
	switch {
	case r.InForce() == nil:
		readiness.Reason = "No configuration version yet: neither the table nor a peer answered."
	case !r.Ready():
		readiness.Reason = "The other routers are not known yet."
	case r.Draining():
		readiness.Reason = "The router is draining."
	case r.managed != nil && r.overload.paused.Load():
		readiness.Reason = "The router is too busy for new connections."
	default:
		readiness.Ready = true
	}
	return readiness
}

// Config implements operator.Backend.
func (b backend) Config(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	inForce := b.router.InForce()
	if b.router.ownPlatform == nil {
		return b.managedConfig(inForce, version)
	}
	if version != 0 {
		if inForce != nil && inForce.Version == version {
			return inForce, nil
		}
		return b.router.configStore.SnapshotAt(ctx, version)
	}
	if inForce == nil {
		return b.router.configStore.Load(ctx)
	}
	newest, err := b.router.configStore.CatchUp(ctx, inForce)
	if err != nil {
		return inForce, nil
	}
	return newest, nil
}

// Apply implements operator.Backend.
func (b backend) Apply(ctx context.Context, patch config.Patch) (config.Version, error) {
	if b.router.ownPlatform == nil {
		return 0, errConfigNotPatchable
	}
	accepted, err := b.router.configStore.Submit(ctx, b.router.InForce(), patch)
	return b.publishAccepted(ctx, accepted, err)
}

// publishAccepted passes an accepted version to the follower, so that it spreads to
// the other routers at once.
func (b backend) publishAccepted(ctx context.Context, accepted configstore.Accepted, err error) (config.Version, error) {
	if err != nil {
		return 0, err
	}
	b.router.follower.Accepted(ctx, accepted.Entry)
	return accepted.Entry.Version, nil
}

// History implements operator.Backend.
func (b backend) History(ctx context.Context, before config.Version, limit int) ([]config.Entry, error) {
	if b.router.ownPlatform == nil {
		return nil, errConfigNotPatchable
	}
	if before == 0 {
		newest, err := b.Config(ctx, 0)
		if err != nil {
			return nil, err
		}
		before = newest.Version + 1
	}
	from := config.Version(1)
	if before > config.Version(limit) {
		from = before - config.Version(limit)
	}
	if from >= before {
		return nil, nil
	}
	entries, err := b.router.configStore.History(ctx, from, int(before-from))
	slices.Reverse(entries)
	return entries, err
}

// Members implements operator.Backend.
func (b backend) Members(context.Context) ([]operator.Member, error) {
	listed := b.router.vms.Load()
	if listed == nil {
		return nil, fmt.Errorf("the list of VMs was not read yet: %w", store.ErrUnavailable)
	}
	self := operator.Member{Node: b.router.settings.Node.Name, DataCentre: b.router.settings.Node.DataCentre}
	var members []operator.Member
	selfListed := false
	for _, vm := range *listed {
		selfListed = selfListed || vm.Name == self.Node
		members = append(members, operator.Member{
			Node:       vm.Name,
			DataCentre: vm.DataCentre,
			Leaving:    vm.State == store.VMLeaving,
		})
	}
	if !selfListed {
		members = append(members, self)
	}
	return members, nil
}

// Drain implements operator.Backend.
func (b backend) Drain(ctx context.Context, node string) error {
	if node == "" || node == b.router.settings.Node.Name {
		b.router.drainRequestOnce.Do(func() { close(b.router.drainRequested) })
		return nil
	}
	_, err := b.call(ctx, node, methodDrain, nil)
	return err
}

// call calls another router. It returns an error with a result code if the router is
// unknown or does not answer.
func (b backend) call(ctx context.Context, node, method string, payload []byte) ([]byte, error) {
	if !b.isListed(node) {
		return nil, result.New(result.UnknownRouter, "No router named %q is in the list of VMs.", node)
	}
	answer, err := b.router.mesh.Call(ctx, control.NodeID(node), method, payload)
	if err != nil {
		return nil, result.Wrap(result.RouterUnreachable, err, "Router %q did not answer.", node)
	}
	return answer, nil
}

func (b backend) isListed(node string) bool {
	vms := b.router.vms.Load()
	if vms == nil {
		return false
	}
	return slices.ContainsFunc(*vms, func(vm store.VM) bool { return vm.Name == node })
}

// remoteStatus asks another router for its status.
func (b backend) remoteStatus(ctx context.Context, request operator.StatusRequest) (operator.Status, error) {
	payload, err := json.Marshal(request)
	if err != nil {
		return operator.Status{}, err
	}
	answer, err := b.call(ctx, request.Node, methodStatus, payload)
	if err != nil {
		return operator.Status{}, err
	}
	var status operator.Status
	if err := json.Unmarshal(answer, &status); err != nil {
		return operator.Status{}, fmt.Errorf("read the status of %s: %w", request.Node, err)
	}
	return status, nil
}
