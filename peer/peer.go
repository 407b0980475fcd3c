// Package peer carries messages between routers: one yamux session per pair of
// nodes, protobuf frames, mutual TLS when keys are set. Control messages are
// batched on one stream; configuration is fetched by request and answer on
// streams of their own. docs/PEERS.md describes the protocol and the counters.
package peer

import (
	"context"

	"github.com/walnutcove/walnutcove/control"
)

// Transport is what a router needs from its peers.
type Transport interface {
	// Send queues messages for a node, best effort, and never blocks. It opens
	// a session if there is none. A full queue, a node that is not known and
	// one that could not be dialled a moment ago drop and count.
	Send(to control.NodeID, messages ...control.Message)
	// Call sends a request on a stream of its own and waits for the answer.
	Call(ctx context.Context, to control.NodeID, method string, payload []byte) ([]byte, error)
	// SetPeers replaces the addresses ("ip:port") of the known nodes.
	SetPeers(addresses map[control.NodeID]string)
	// Close ends every session.
	Close() error
}

// Handler receives what peers send. Its methods must not block.
type Handler interface {
	// Received delivers messages in the order that one peer sent them.
	Received(from control.NodeID, incarnation control.Incarnation, messages []control.Message)
	// StateChanged tells that a session to a node came up, or that it was lost
	// or could not be opened. A session that was closed because it was idle is
	// no change: the next message opens another.
	StateChanged(node control.NodeID, connected bool)
	// Called answers a Call. It may block; each call has its own goroutine.
	Called(ctx context.Context, from control.NodeID, method string, payload []byte) ([]byte, error)
}
