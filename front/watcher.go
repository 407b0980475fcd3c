package front

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watcher finds callers that went away while their requests are served. One
// goroutine looks at all connections on a slow period.
type watcher struct {
	every time.Duration
	stop  chan struct{}

	mu       sync.Mutex
	requests map[*request]struct{}

	polled []unix.PollFd // used by run only
}

func newWatcher(every time.Duration) *watcher {
	return &watcher{
		every:    every,
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

// run looks until close is called.
func (w *watcher) run() {
	ticker := time.NewTicker(w.every)
	defer ticker.Stop()
	var batch []*request
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			batch = w.look(batch[:0])
		}
	}
}

// close ends run. It may be called once.
func (w *watcher) close() { close(w.stop) }

// look checks every request once, all with one system call. A descriptor may be
// closed meanwhile, and be another connection's: its request has ended then, and to
// tell it does nothing.
func (w *watcher) look(batch []*request) []*request {
	w.mu.Lock()
	for r := range w.requests {
		batch = append(batch, r)
	}
	w.mu.Unlock()
	w.polled = w.polled[:0]
	for _, r := range batch {
		// A negative descriptor is passed over.
		w.polled = append(w.polled, unix.PollFd{Fd: r.conn.fd, Events: unix.POLLRDHUP})
	}
	if _, err := unix.Poll(w.polled, 0); err != nil {
		watchFailures.Inc() // interrupted; the next look is soon
		clear(batch)
		return batch
	}
	for i, r := range batch {
		if w.polled[i].Revents != 0 {
			r.callerWentAway()
		}
	}
	clear(batch)
	return batch
}

// probe looks at one connection after the other. Its function is made once, so
// that a look costs no allocation.
type probe struct {
	fds     [1]unix.PollFd
	gone    bool
	control func(fd uintptr)
}

func newProbe() *probe {
	p := new(probe)
	p.control = p.poll
	return p
}

// peerClosed says whether the other end closed or reset the connection. Bytes
// that wait to be read, such as the next pipelined request, are left alone and
// do not hide the end behind them. A connection that a forced stop closed on
// this side counts too.
func (p *probe) peerClosed(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	p.gone = false
	err := raw.Control(p.control)
	return p.gone || err != nil
}

func (p *probe) poll(fd uintptr) {
	p.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
	n, err := unix.Poll(p.fds[:], 0)
	p.gone = err == nil && n > 0 && p.fds[0].Revents != 0
}
