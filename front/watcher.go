package front

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watcher detects callers that disconnect while their requests are served. One
// goroutine periodically checks all connections.
type watcher struct {
	interval time.Duration
	stop     chan struct{}

	mu       sync.Mutex
	requests map[*request]struct{}

	pollFds []unix.PollFd // used by run only
}

func newWatcher(interval time.Duration) *watcher {
	return &watcher{
		interval: interval,
		stop:     make(chan struct{}),
		requests: make(map[*request]struct{}),
	}
}

func (w *watcher) add(r *request) {
	w.mu.Lock()
	w.requests[r] = struct{}{}
	w.mu.Unlock()
}

func (w *watcher) remove(r *request) {
	w.mu.Lock()
	delete(w.requests, r)
	w.mu.Unlock()
}

// run checks all requests at each interval until close is called.
func (w *watcher) run() {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	var batch []*request
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			batch = w.checkAll(batch[:0])
		}
	}
}

// close ends run. It must be called at most once.
func (w *watcher) close() { close(w.stop) }

// checkAll checks every request once, all with a single system call. A descriptor may be
// closed meanwhile and reused by another connection: the request has then ended, and
// notifying it has no effect.
func (w *watcher) checkAll(batch []*request) []*request {
	w.mu.Lock()
	for r := range w.requests {
		batch = append(batch, r)
	}
	w.mu.Unlock()
	w.pollFds = w.pollFds[:0]
	for _, r := range batch {
		// poll ignores negative descriptors.
		w.pollFds = append(w.pollFds, unix.PollFd{Fd: r.conn.fd, Events: unix.POLLRDHUP})
	}
	if _, err := unix.Poll(w.pollFds, 0); err != nil {
		watchFailures.Inc() // interrupted; the next check follows soon
		clear(batch)
		return batch
	}
	for i, r := range batch {
		if w.pollFds[i].Revents != 0 {
			r.callerWentAway()
		}
	}
	clear(batch)
	return batch
}

// closeProbe checks single connections. The control function is created once, so that
// a check allocates nothing.
type closeProbe struct {
	fds     [1]unix.PollFd
	closed  bool
	control func(fd uintptr)
}

func newCloseProbe() *closeProbe {
	p := new(closeProbe)
	p.control = p.poll
	return p
}

// peerClosed reports whether the other end has closed or reset the connection. Bytes
// waiting to be read, such as the next pipelined request, are not consumed and don't
// hide a close that follows them. A connection that Server.Close closed on this side
// counts too.
func (p *closeProbe) peerClosed(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	p.closed = false
	err := raw.Control(p.control)
	return p.closed || err != nil
}

func (p *closeProbe) poll(fd uintptr) {
	p.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
	n, err := unix.Poll(p.fds[:], 0)
	p.closed = err == nil && n > 0 && p.fds[0].Revents != 0
}
