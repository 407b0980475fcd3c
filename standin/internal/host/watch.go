package host

import (
	"net"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/targets/connstate"
)

// Watch detects that a caller closes its connection while its request runs, which
// fasthttp does not detect.
type Watch struct {
	// Closed is closed when the caller has closed or reset its connection.
	Closed chan struct{}

	conn net.Conn
	done chan struct{}
	once sync.Once
}

// NewWatch starts to watch a connection. Stop must be called before anything else
// reads from the connection.
func NewWatch(conn net.Conn) *Watch {
	w := &Watch{Closed: make(chan struct{}), conn: conn, done: make(chan struct{})}
	go w.run()
	return w
}

// run closes w.Closed unless the wait ended because data arrived or because Stop
// set a read deadline.
func (w *Watch) run() {
	defer close(w.done)
	err := connstate.Wait(w.conn)
	if err == nil || err == connstate.ErrData || isTimeout(err) {
		return
	}
	close(w.Closed)
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// Stop ends the watch, by a read deadline in the past that it then removes. It may
// be called more than once.
func (w *Watch) Stop() {
	w.once.Do(func() {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
		<-w.done
		_ = w.conn.SetReadDeadline(time.Time{})
	})
}
