package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/targets"
)

var (
	vmListErrors  = metrics.GetOrCreateCounter(`walnut_router_vm_list_errors_total`)
	configChanges = metrics.GetOrCreateCounter(`walnut_router_config_changes_total`)
)

// watchedTargets is the set of targets that are scheduled here, whose load or prompt
// caches this router follows.
type watchedTargets struct {
	mu    sync.Mutex
	names []string
}

// send implements shell.
func (r *Router) send(to control.NodeID, message control.Message) {
	r.mesh.Send(to, message)
}

// watchTargets implements shell.
func (r *Router) watchTargets(targets []string) {
	r.watched.mu.Lock()
	r.watched.names = targets
	r.watched.mu.Unlock()
	if r.ownPlatform == nil {
		r.watchCaches() // no polls: answers report the load, and polls are costly there
		return
	}
	r.pollWatched()
	r.orders.SetTargets(targets)
}

// pollWatched gives the poller the addresses of the watched targets.
func (r *Router) pollWatched() {
	r.watched.mu.Lock()
	defer r.watched.mu.Unlock()
	snapshot := r.inForce.Load()
	if snapshot == nil {
		return
	}
	addresses := make(map[string]string, len(r.watched.names))
	for _, name := range r.watched.names {
		if declared, ok := snapshot.Declarations.Targets[name]; ok {
			addresses[name] = declared.Address
		}
	}
	r.poller.SetTargets(addresses)
}

// quarantineChanged implements shell.
func (r *Router) quarantineChanged(fingerprint uint64, quarantined bool) {
	if !r.quarantineSet.Change(fingerprint, quarantined) {
		return
	}
	r.log.Warn("quarantine: Quarantine of a fingerprint changed.", "fingerprint", fingerprint, "quarantined", quarantined)
}

// versionSeen implements shell.
func (r *Router) versionSeen(seen control.VersionSeen) {
	if r.managed != nil {
		announced := config.SnapshotOrder{Version: config.Version(seen.Version), Config: seen.ConfigRevision, Targets: seen.TargetsRevision}
		r.directory.Announced(announced)
		r.fetcher.Announced(seen.From, func() bool { return r.directory.Lacks(announced) })
		return
	}
	r.follower.VersionSeen(string(seen.From), config.Version(seen.Version))
}

// drained implements shell.
func (r *Router) drained() {
	r.drainedOnce.Do(func() { close(r.drainedCh) })
}

// configChanged puts a version in force: requests that arrive from now on use it,
// and the control goroutine is informed.
func (r *Router) configChanged(snapshot *config.Snapshot) {
	r.inForce.Store(snapshot)
	r.notices.prune(r.loop.instant(time.Now()), snapshot.Declarations.Targets)
	configChanges.Inc()
	r.loop.post(control.ConfigChanged{Snapshot: snapshot})
	if r.ownPlatform != nil {
		r.pollWatched()
		r.orders.SetConfig(snapshot)
	} else {
		r.watchCaches()
	}
	r.log.Info("config: Version in force.", "version", uint64(snapshot.Version))
}

// loadPolled passes a load report, or that the poll failed, to the control goroutine.
func (r *Router) loadPolled(name string, load targets.Load, err error) {
	if err != nil {
		r.loop.post(control.TargetUnreachable{Target: name})
		return
	}
	r.loop.post(control.TargetLoad{
		Target:         name,
		Running:        load.Running,
		Queued:         load.Queued,
		Slots:          load.Slots,
		Leaving:        load.Leaving,
		StartID:        load.StartID,
		CachedPrefixes: load.CachedPrefixes,
	})
}

// followVMs reads the platform's list of VMs until ctx ends.
func (r *Router) followVMs(ctx context.Context) {
	interval := time.Duration(r.settings.Platform.VMListEvery)
	for {
		vms, err := r.platform.ListVMs(ctx)
		switch {
		case err == nil:
			r.vmsListed(vms)
		case ctx.Err() == nil:
			vmListErrors.Inc()
			r.log.Warn("member: Could not read the VM list.", "error", err)
		}
		select {
		case <-time.After(vmListDelay(interval)):
		case <-ctx.Done():
			return
		}
	}
}

// vmListDelay returns the interval with random variation, so that routers that
// started together do not read the list at the same moments.
func vmListDelay(interval time.Duration) time.Duration {
	return interval*3/4 + rand.N(interval/2)
}

// vmsListed passes the list to the peer sessions and the control goroutine.
func (r *Router) vmsListed(vms []store.VM) {
	r.vms.Store(&vms)
	if r.ownPlatform != nil {
		r.listedVMsChanged(vms)
	}
	addresses := make(map[control.NodeID]string, len(vms))
	members := make([]control.Member, 0, len(vms))
	names := make([]control.NodeID, 0, len(vms))
	for _, vm := range vms {
		node := control.NodeID(vm.Name)
		if vm.Name != r.settings.Node.Name {
			addresses[node] = vm.PeerAddress
		}
		names = append(names, node)
		members = append(members, control.Member{
			Node:       node,
			DataCentre: vm.DataCentre,
			Leaving:    vm.State == store.VMLeaving,
			Cores:      vm.Cores,
		})
	}
	r.fleet.setListed(names)
	r.mesh.SetPeers(addresses)
	r.loop.post(control.MembersListed{Members: members})
}
