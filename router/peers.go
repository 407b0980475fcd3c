package router

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/config/follower"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/directory"
	"github.com/walnutcove/walnutcove/operator"
)

// The methods of calls between routers.
const (
	// methodConfig fetches the changes after a version, see follower.Update; on a managed
	// platform it fetches the directory.
	methodConfig = "config.fetch"
	// methodStatus fetches an operator.Status.
	methodStatus = "operator.status"
	// methodDrain starts a drain.
	methodDrain = "operator.drain"
)

// configRequest asks a peer for the changes after version From.
type configRequest struct {
	From config.Version `json:"from"`
}

// peerHandler handles messages and calls from other routers. It implements peer.Handler.
type peerHandler struct{ router *Router }

// Received implements peer.Handler.
func (h peerHandler) Received(from control.NodeID, incarnation control.Incarnation, messages []control.Message) {
	if h.router.ownPlatform != nil {
		h.router.owners.messageReceived(from, incarnation)
	}
	for _, message := range messages {
		h.router.loop.post(control.MessageReceived{From: from, Incarnation: incarnation, Message: message})
	}
}

// StateChanged implements peer.Handler.
func (h peerHandler) StateChanged(node control.NodeID, connected bool) {
	if h.router.ownPlatform != nil {
		h.router.owners.sessionChanged(node, connected)
	} else if connected {
		h.router.peerConnected(node)
	}
	h.router.loop.post(control.PeerState{Node: node, Connected: connected})
}

// HandleCall implements peer.Handler.
func (h peerHandler) HandleCall(ctx context.Context, _ control.NodeID, method string, payload []byte) ([]byte, error) {
	switch method {
	case methodConfig:
		if h.router.managed != nil {
			return h.serveDirectory(ctx, payload)
		}
		return h.serveConfig(payload)
	case methodStatus:
		return h.serveStatus(ctx, payload)
	case methodDrain:
		return []byte("{}"), backend(h).Drain(ctx, "")
	case methodCommit:
		if h.router.ownPlatform == nil {
			return nil, errConfigNotPatchable
		}
		return h.serveCommit(ctx, payload)
	default:
		return nil, fmt.Errorf("unknown method %q", method)
	}
}

func (h peerHandler) serveConfig(payload []byte) ([]byte, error) {
	var request configRequest
	if err := json.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("read the request for a version: %w", err)
	}
	update, err := h.router.follower.Serve(request.From)
	if err != nil {
		return nil, err
	}
	return update.Encode()
}

func (h peerHandler) serveDirectory(ctx context.Context, payload []byte) ([]byte, error) {
	var cursor directory.Cursor
	if err := json.Unmarshal(payload, &cursor); err != nil {
		return nil, fmt.Errorf("read the request for the directory: %w", err)
	}
	return h.router.directory.Export(ctx, cursor)
}

func (h peerHandler) serveStatus(ctx context.Context, payload []byte) ([]byte, error) {
	var request operator.StatusRequest
	if err := json.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("read the request for a status: %w", err)
	}
	request.Node = ""
	status, err := backend(h).Status(ctx, request)
	if err != nil {
		return nil, err
	}
	return json.Marshal(status)
}

// peerFetcher fetches configuration from peers. It implements
// follower.PeerFetcher.
type peerFetcher struct{ router *Router }

// Fetch implements follower.PeerFetcher.
func (f peerFetcher) Fetch(ctx context.Context, node string, from config.Version) (follower.Update, error) {
	payload, err := json.Marshal(configRequest{From: from})
	if err != nil {
		return follower.Update{}, err
	}
	answer, err := f.router.mesh.Call(ctx, control.NodeID(node), methodConfig, payload)
	if err != nil {
		return follower.Update{}, err
	}
	return follower.DecodeUpdate(answer)
}
