package front

import (
	"time"

	"golang.org/x/sys/unix"
)

// flushInterval is the interval at which bytes that callers' connections did not take are
// written again.
const flushInterval = 10 * time.Millisecond

// offloadPoller holds the buffers of the goroutine that polls the callers of offloaded requests.
type offloadPoller struct {
	batch []*offloaded
	fds   []unix.PollFd
}

// poll checks the callers of all offloaded requests until there are none.
func (o *offloads) poll() {
	watchEvery := o.server.options.WatchEvery
	timer := time.NewTimer(watchEvery)
	defer timer.Stop()
	nextWatch := time.Now().Add(watchEvery)
	due := nextWatch
	for {
		select {
		case <-o.wake:
			if soon := time.Now().Add(flushInterval); soon.Before(due) {
				due = soon
				timer.Reset(flushInterval)
			}
			continue
		case <-timer.C:
		}
		now := time.Now()
		delay := watchEvery
		if o.flushBlocked(now) {
			delay = flushInterval
		}
		if !now.Before(nextWatch) {
			if !o.watch(now) {
				return
			}
			nextWatch = now.Add(watchEvery)
		}
		if due = now.Add(delay); nextWatch.Before(due) {
			due = nextWatch
		}
		timer.Reset(time.Until(due))
	}
}

// flushBlocked writes to all connections that take bytes again, and reports whether some are
// still blocked.
func (o *offloads) flushBlocked(now time.Time) bool {
	s := o.server
	s.mu.Lock()
	batch := append(o.poller.batch[:0], o.blocked...)
	clear(o.blocked)
	o.blocked = o.blocked[:0]
	s.mu.Unlock()
	fds := o.pollAll(batch, unix.POLLOUT)
	stillBlocked := batch[:0]
	for i, r := range batch {
		if r.flush(now, fds[i].Revents != 0) {
			stillBlocked = append(stillBlocked, r)
		}
	}
	s.mu.Lock()
	o.blocked = append(o.blocked, stillBlocked...)
	s.mu.Unlock()
	clear(batch)
	o.poller.batch = batch
	return len(stillBlocked) > 0
}

// watch ends the requests whose callers have gone or are overdue. It reports false
// if there are no requests: the poller then ends.
func (o *offloads) watch(now time.Time) bool {
	s := o.server
	s.mu.Lock()
	batch := append(o.poller.batch[:0], o.open...)
	o.polling = len(batch) > 0
	s.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	fds := o.pollAll(batch, unix.POLLRDHUP)
	for i, r := range batch {
		switch {
		case fds[i].Revents != 0:
			r.callerGone()
		case now.After(r.limitAt):
			r.expire(now)
		}
	}
	clear(batch)
	o.poller.batch = batch
	return true
}

// pollAll polls the connections of a batch, all with a single system call. A connection may be
// closed meanwhile and its number reused: the request has then ended, and its methods do nothing.
func (o *offloads) pollAll(batch []*offloaded, events int16) []unix.PollFd {
	fds := o.poller.fds[:0]
	for _, r := range batch {
		fds = append(fds, unix.PollFd{Fd: r.descriptor(), Events: events})
	}
	o.poller.fds = fds
	if len(fds) == 0 {
		return nil
	}
	if _, err := unix.Poll(fds, 0); err != nil {
		watchFailures.Inc() // interrupted; the next poll follows soon
		for i := range fds {
			fds[i].Revents = 0
		}
	}
	return fds
}
