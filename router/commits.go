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
	// firstWritesPerSecond is this router's write budget until it has read the
	// list of VMs.
	firstWritesPerSecond = 5
	// patchWritesPerSecond is what operators' patches may add to it.
	patchWritesPerSecond = 2
	// writeBurst is how many writes the platform's client may make at once.
	writeBurst = 10
)

// errNotStarted answers a commit of a router that is quicker than this one's start.
var errNotStarted = errors.New("router: not started yet")

// methodCommit makes a commit for another router.
const methodCommit = forward.Method

// buildCommits makes the table that run records are committed to.
func (r *Router) buildCommits() {
	r.batched = batch.New(r.platform, batch.Options{
		PerSecond: firstWritesPerSecond,
		Timeout:   time.Duration(r.settings.Platform.Timeout),
	})
	r.commits.Store(forward.New(forward.Options{
		Self:   control.NodeID(r.settings.Node.Name),
		Table:  r.batched,
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
	r.noteMembers(alive)
	if r.patched == nil {
		return
	}
	r.sharing.Lock()
	defer r.sharing.Unlock()
	r.alive = alive
	r.shareWrites()
}

// listedChanged takes in how many VMs the platform lists.
func (r *Router) listedChanged(vms []store.VM) {
	r.sharing.Lock()
	defer r.sharing.Unlock()
	r.listed = len(vms)
	r.shareWrites()
}

// shareWrites takes this router's part of the fleet's write budget. r.sharing is held.
func (r *Router) shareWrites() {
	isWriter := r.commits.Load().SetMembers(r.alive)
	if r.listed == 0 {
		return
	}
	fleet := forward.Fleet{
		WritesPerSecond: float64(r.settings.Platform.FleetWritesPerSecond),
		Listed:          r.listed,
		Alive:           len(r.alive),
	}
	share := fleet.Share(isWriter)
	r.batched.SetRate(share)
	r.platform.SetWriteRate(share + patchWritesPerSecond)
}
