// Package peer exchanges messages between routers. Each pair of nodes shares one
// yamux session that carries protobuf frames, with mutual TLS if keys are
// configured. Control messages are batched on one stream; each
// request/response call, such as fetching the configuration, has a stream of its
// own. docs/PEERS.md describes the protocol and the metrics.
package peer

import (
	"context"

	"github.com/walnutcove/walnutcove/control"
)

// Transport sends messages and calls to the other routers.
type Transport interface {
	// Send queues messages for a node, best effort, and never blocks. It opens
	// a session if there is none. Messages are dropped and counted if the queue
	// is full, the node's address is not known, or the last dial failed and its
	// back-off has not passed.
	Send(to control.NodeID, messages ...control.Message)
	// Call sends a request on a new stream and waits for the answer.
	Call(ctx context.Context, to control.NodeID, method string, payload []byte) ([]byte, error)
	// SetPeers replaces the addresses ("ip:port") of the known nodes.
	SetPeers(addresses map[control.NodeID]string)
	// Close closes all sessions.
	Close() error
}

// Handler receives messages, session state changes and calls from peers. Its
// methods must not block, except HandleCall.
type Handler interface {
	// Received delivers messages of one peer in the order in which it sent them.
	Received(from control.NodeID, incarnation control.Incarnation, messages []control.Message)
	// StateChanged reports that a session to a node was opened, or that it was
	// lost or could not be opened. Closing an idle session is not reported: the
	// next message opens a new one.
	StateChanged(node control.NodeID, connected bool)
	// HandleCall answers a Call. It may block; each call has its own goroutine.
	HandleCall(ctx context.Context, from control.NodeID, method string, payload []byte) ([]byte, error)
}
