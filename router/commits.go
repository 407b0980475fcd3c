package router

import (
	"context"
	"errors"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/batch"
	"github.com/walnutcove/walnutcove/store/forward"
)

const (
	// initialWritesPerSecond is this router's write budget until it has read the
	// list of VMs.
	initialWritesPerSecond = 5
	// patchWritesPerSecond is the extra write budget for operators' patches.
	patchWritesPerSecond = 2
	// writeBurst is how many writes the platform client may make in a burst.
	writeBurst = 10
)

// errNotStarted answers a commit that another router sends before this one has started.
var errNotStarted = errors.New("router: not started yet")

// methodCommit is the peer call that makes a commit for another router.
const methodCommit = forward.Method

// buildCommitTable creates the table that run records are committed to.
func (r *Router) buildCommitTable() {
	r.batchTable = batch.New(r.platform, batch.Options{
		PerSecond: initialWritesPerSecond,
		Timeout:   time.Duration(r.settings.Platform.Timeout),
	})
	r.commits.Store(forward.New(forward.Options{
		Self:   control.NodeID(r.settings.Node.Name),
		Table:  r.batchTable,
		Caller: r.mesh,
	}))
}

// serveCommit makes a commit for another router.
func (h peerHandler) serveCommit(ctx context.Context, payload []byte) ([]byte, error) {
	table := h.router.commits.Load()
	if table == nil {
		return nil, errNotStarted
	}
	return table.Serve(ctx, payload)
}

// membersChanged implements shell.
func (r *Router) membersChanged(alive []control.NodeID) {
	r.recordLiveRouters(alive)
	if r.ownPlatform == nil {
		return
	}
	r.writeShareMu.Lock()
	defer r.writeShareMu.Unlock()
	r.aliveRouters = alive
	r.updateWriteShare()
}

// listedVMsChanged updates how many VMs the platform lists.
func (r *Router) listedVMsChanged(vms []store.VM) {
	r.writeShareMu.Lock()
	defer r.writeShareMu.Unlock()
	r.listedVMs = len(vms)
	r.updateWriteShare()
}

// updateWriteShare sets this router's share of the fleet's write budget. The caller holds
// r.writeShareMu.
func (r *Router) updateWriteShare() {
	isWriter := r.commits.Load().SetMembers(r.aliveRouters)
	if r.listedVMs == 0 {
		return
	}
	fleet := forward.Fleet{
		WritesPerSecond: float64(r.settings.Platform.FleetWritesPerSecond),
		Listed:          r.listedVMs,
		Alive:           len(r.aliveRouters),
	}
	share := fleet.Share(isWriter)
	r.batchTable.SetRate(share)
	r.platform.SetWriteRate(share + patchWritesPerSecond)
}
