package host

import (
	"net"
	"sync"
)

// trackingListener keeps track of its open connections, so that a crash can reset
// them all.
type trackingListener struct {
	*net.TCPListener

	mu     sync.Mutex
	conns  map[*trackedConn]struct{}
	closed bool
}

func listen(address string) (*trackingListener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &trackingListener{
		TCPListener: ln.(*net.TCPListener),
		conns:       make(map[*trackedConn]struct{}),
	}, nil
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{TCPConn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// stopAccepting closes the listener. Open connections stay open, but requests on
// them are no longer served.
func (l *trackingListener) stopAccepting() {
	l.TCPListener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

func (l *trackingListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// resetAll resets every open connection.
func (l *trackingListener) resetAll() {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// trackedConn is a connection of a trackingListener.
type trackedConn struct {
	*net.TCPConn
	listener *trackingListener
}

// Close closes the connection and removes it from its listener's open ones.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// reset closes the connection with a TCP reset.
func (c *trackedConn) reset() {
	_ = c.TCPConn.SetLinger(0)
	c.Close()
}
