package router

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errOffloadAborted ends a request of another router whose response is not complete.
var errOffloadAborted = errors.New("offload: the response is not complete")

// offloadedConn is the connection on which package front serves a request of another router. It
// has the additional methods that front.Server.ServeOffloaded describes.
type offloadedConn struct {
	net.Conn
	requestID string
	gone      <-chan struct{}
	// responded is closed when no more bytes of the response follow. isAborted is set before if it
	// is not complete.
	responded chan struct{}
	isAborted atomic.Bool
	once      sync.Once
}

// newOffloadedConn returns the connection of a request with an ID, whose caller has gone when gone is
// closed.
func newOffloadedConn(conn net.Conn, requestID string, gone <-chan struct{}) *offloadedConn {
	return &offloadedConn{Conn: conn, requestID: requestID, gone: gone, responded: make(chan struct{})}
}

// Gone returns a channel that is closed when the caller has gone.
func (c *offloadedConn) Gone() <-chan struct{} { return c.gone }

// RequestID returns the request's ID at the source.
func (c *offloadedConn) RequestID() string { return c.requestID }

// Abort records that the response is not complete.
func (c *offloadedConn) Abort() { c.isAborted.Store(true) }

// CloseWrite ends the response, while the exchange may continue.
func (c *offloadedConn) CloseWrite() error {
	c.end()
	return nil
}

func (c *offloadedConn) end() { c.once.Do(func() { close(c.responded) }) }
