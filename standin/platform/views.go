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

// pathView is the path to read (GET) or replace (POST) the peer addresses of a view.
const pathView = "/_view"

// View serves the same platform at another address, with its own peer addresses in
// the list of VMs. A test that gives each router a view can put a proxy between every
// pair of routers, and so cut the connection between any two.
type View struct {
	platform *Server
	server   *listeningServer
	address  string

	mu            sync.Mutex
	peerAddresses map[string]string
}

// StartView starts a view that listens on addr ("ip:port"; port 0 picks a free one).
func (s *Server) StartView(addr string) (*View, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("standin platform: view: %w", err)
	}
	v := &View{platform: s, address: listener.Addr().String()}
	v.server = newListeningServer(listener, v.handle)
	return v, nil
}

// Address returns the address that the view listens on.
func (v *View) Address() string { return v.address }

// SetPeerAddresses replaces the peer addresses that readers of this view get, keyed
// by the VM's name. VMs without an entry keep their own address.
func (v *View) SetPeerAddresses(addresses map[string]string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peerAddresses = maps.Clone(addresses)
}

// Close stops the view.
func (v *View) Close() error { return v.server.close() }

func (v *View) handle(ctx *fasthttp.RequestCtx, closing <-chan struct{}) {
	path := string(ctx.Path())
	if path == pathView {
		v.serveControl(ctx)
		return
	}
	if path != store.PathVMs || !ctx.IsGet() {
		v.platform.handle(ctx, closing)
		return
	}
	callerTag := string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch))
	ctx.Request.Header.Del(fasthttp.HeaderIfNoneMatch) // it is the tag of a rewritten list
	v.platform.handle(ctx, closing)
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		ctx.Request.Header.Set(fasthttp.HeaderIfNoneMatch, callerTag)
		v.rewriteVMs(ctx)
	}
}

func (v *View) serveControl(ctx *fasthttp.RequestCtx) {
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
	reply(ctx, v.peerAddresses)
}

// rewriteVMs puts the view's peer addresses into the answered list of VMs. There is
// no list if a fault has closed the call's connection.
func (v *View) rewriteVMs(ctx *fasthttp.RequestCtx) {
	var list store.VMsReply
	if err := json.Unmarshal(ctx.Response.Body(), &list); err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, vm := range list.VMs {
		if address, ok := v.peerAddresses[vm.Name]; ok {
			list.VMs[i].PeerAddress = address
		}
	}
	replyVMs(ctx, list)
}
