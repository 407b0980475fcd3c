package peer

import (
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// MaxDeferTime is the longest time for which deferrable messages are held back so
// that they are sent together with others: a flush costs far more than a message.
const MaxDeferTime = 10 * time.Millisecond

// CanDefer reports whether sending a message may be deferred because nothing waits
// for it: acknowledgements, service counts, copies of affinities and reports that a run is
// in progress.
func CanDefer(message control.Message) bool {
	switch m := message.(type) {
	case control.ReportAck, control.ServiceReport, control.ServiceTotals, control.AffinityNotice:
		return true
	case control.Report:
		return m.Phase == control.PhaseRunning
	default:
		return false
	}
}

func allDeferrable(messages []control.Message) bool {
	for _, message := range messages {
		if !CanDefer(message) {
			return false
		}
	}
	return true
}

// scheduleFlush wakes the session's writer after MaxDeferTime, unless another
// message does so earlier. The caller holds mu.
func (l *link) scheduleFlush() {
	if l.flushScheduled {
		return
	}
	l.flushScheduled = true
	time.AfterFunc(MaxDeferTime, l.flushDeferred)
}

// flushDeferred wakes the session's writer if messages are queued.
func (l *link) flushDeferred() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flushScheduled = false
	if l.session != nil && len(l.queue) > 0 {
		l.session.wake(len(l.queue))
	}
}
