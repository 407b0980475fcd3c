package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
)

// pathView shows (GET) or replaces (POST) the peer addresses of a view.
const pathView = "/_view"

// View serves the same platform on an address of its own, with its own peer
// addresses in the list of VMs. A test that gives each router a view can put a
// proxy between every pair of routers and so cut one from another.
type View struct {
	server    *Server
	listening *listening
	address   string

	mu        sync.Mutex
	addresses map[string]string
}

// StartView listens on addr ("ip:port"; port 0 picks a free one).
func (s *Server) StartView(addr string) (*View, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("standin platform: view: %w", err)
	}
	v := &View{server: s, address: listener.Addr().String()}
	v.listening = newListening(listener, v.handle)
	return v, nil
}

// Address is where the view listens.
func (v *View) Address() string { return v.address }

// SetPeerAddresses replaces the peer addresses that readers of this view get,
// by name of VM. Other VMs keep theirs.
func (v *View) SetPeerAddresses(addresses map[string]string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addresses = maps.Clone(addresses)
}

// Close stops the view.
func (v *View) Close() error { return v.listening.close() }

func (v *View) handle(ctx *fasthttp.RequestCtx, closing <-chan struct{}) {
	path := string(ctx.Path())
	if path == pathView {
		v.control(ctx)
		return
	}
	if path != store.PathVMs || !ctx.IsGet() {
		v.server.handle(ctx, closing)
		return
	}
	known := string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch))
	ctx.Request.Header.Del(fasthttp.HeaderIfNoneMatch) // it is of the rewritten list
	v.server.handle(ctx, closing)
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		ctx.Request.Header.Set(fasthttp.HeaderIfNoneMatch, known)
		v.rewrite(ctx)
	}
}

func (v *View) control(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var addresses map[string]string
		if err := decode(ctx.PostBody(), &addresses); err != nil {
			replyError(ctx, err)
			return
		}
		v.SetPeerAddresses(addresses)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	reply(ctx, v.addresses)
}

// rewrite puts the view's peer addresses into an answered list of VMs. A call
// whose connection a fault has cut has no list to rewrite.
func (v *View) rewrite(ctx *fasthttp.RequestCtx) {
	var list store.VMsReply
	if err := json.Unmarshal(ctx.Response.Body(), &list); err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, vm := range list.VMs {
		if address, ok := v.addresses[vm.Name]; ok {
			list.VMs[i].PeerAddress = address
		}
	}
	replyVMs(ctx, list)
}
