package router

import (
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/handoff"
	"github.com/walnutcove/walnutcove/store"
)

// handoffSender hands off requests to other routers of the data centre while this one is
// overloaded. It implements front.Handoff.
type handoffSender struct {
	*handoff.Sender
	overload *overload
	// peers are the routers that requests can be handed off to.
	peers atomic.Pointer[[]handoff.Peer]
}

// Wanted implements front.Handoff.
func (h *handoffSender) Wanted() bool { return h.overload.prefersHandoff() && h.HasPeers() }

func (h *handoffSender) loadPeers() []handoff.Peer {
	if peers := h.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

func (r *Router) newHandoffSender() *handoffSender {
	h := &handoffSender{overload: r.overload}
	h.Sender = handoff.NewSender(handoff.Options{
		Peers:        h.loadPeers,
		Preface:      r.handoffPreface,
		WriteTimeout: time.Duration(r.settings.Limits.StallTimeout),
		Log:          r.log,
	})
	return h
}

// handoffPreface returns the versions in force, or false if there are none yet.
func (r *Router) handoffPreface() (handoff.Preface, bool) {
	snapshot := r.inForce.Load()
	if snapshot == nil {
		return handoff.Preface{}, false
	}
	return handoff.PrefaceOf(snapshot), true
}

// acceptsHandoff reports whether to serve a request handed off by another router.
func (r *Router) acceptsHandoff(sender handoff.Preface) bool {
	own, ready := r.handoffPreface()
	return ready && r.isJoined() && own.AtLeast(sender) && r.overload.acceptsHandoff()
}

// handoffAddress returns the address of the handoff listener, or "" if there is none.
func (r *Router) handoffAddress() string {
	if r.handoffListener == nil {
		return ""
	}
	return r.handoffListener.Addr().String()
}

// updateHandoffPeers recomputes the handoff peers from the listed and the live routers.
func (r *Router) updateHandoffPeers() {
	vms, alive := r.vms.Load(), r.lastAlive.Load()
	if r.managed == nil || vms == nil || alive == nil {
		return
	}
	var peers []handoff.Peer
	for _, vm := range *vms {
		live := vm.State != store.VMLeaving && slices.Contains(*alive, control.NodeID(vm.Name))
		if live && vm.HandoffAddress != "" && vm.DataCentre == r.settings.Node.DataCentre && vm.Name != r.settings.Node.Name {
			peers = append(peers, handoff.Peer{Name: vm.Name, Address: vm.HandoffAddress, Cores: vm.Cores})
		}
	}
	r.handoffSender.peers.Store(&peers)
}

// serveHandoffs serves requests handed off by other routers.
func (r *Router) serveHandoffs(listener net.Listener) error {
	return r.front.ServeHandoffs(listener, r.acceptsHandoff)
}
