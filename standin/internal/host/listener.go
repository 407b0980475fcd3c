package host

import (
	"net"
	"sync"
)

// trackingListener remembers its open connections, so that a crash can cut
// them all.
type trackingListener struct {
	*net.TCPListener

	mu     sync.Mutex
	open   map[*trackedConn]struct{}
	closed bool
}

func listen(address string) (*trackingListener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &trackingListener{
		TCPListener: ln.(*net.TCPListener),
		open:        make(map[*trackedConn]struct{}),
	}, nil
}

// Accept waits for the next connection.
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
	l.open[tracked] = struct{}{}
	return tracked, nil
}

// refuse closes the listener. Open connections stay, but no request on them is
// taken any more.
func (l *trackingListener) refuse() {
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

// cut resets every connection.
func (l *trackingListener) cut() {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.open))
	for c := range l.open {
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

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// reset closes the connection so that the far end sees a reset.
func (c *trackedConn) reset() {
	_ = c.TCPConn.SetLinger(0)
	c.Close()
}
