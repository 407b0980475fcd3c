package host

import (
	"net"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/targets/connstate"
)

// Watch tells when a caller closes its connection while its request runs,
// which fasthttp does not.
type Watch struct {
	// Gone is closed when the caller's connection is closed or reset.
	Gone chan struct{}

	conn net.Conn
	done chan struct{}
	once sync.Once
}

// NewWatch starts to watch a connection. Stop must be called before anything
// else reads from the connection.
func NewWatch(conn net.Conn) *Watch {
	w := &Watch{Gone: make(chan struct{}), conn: conn, done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Watch) run() {
	defer close(w.done)
	err := connstate.Wait(w.conn)
	if err == nil || err == connstate.ErrData || isDeadline(err) {
		return
	}
	close(w.Gone)
}

func isDeadline(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Stop ends the watch. It may be called more than once.
func (w *Watch) Stop() {
	w.once.Do(func() {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
		<-w.done
		_ = w.conn.SetReadDeadline(time.Time{})
	})
}
