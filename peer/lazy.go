package peer

import (
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// LazyWait is the longest time that messages which nothing waits for are held
// back, so that they go with others. A flush costs far more than a message.
const LazyWait = 10 * time.Millisecond

// CanWait says that nothing waits for a message: acknowledgements, counts and
// the news that a run goes on.
func CanWait(message control.Message) bool {
	switch m := message.(type) {
	case control.ReportAck, control.ServiceReport, control.ServiceTotals:
		return true
	case control.Report:
		return m.Phase == control.PhaseRunning
	default:
		return false
	}
}

func allCanWait(messages []control.Message) bool {
	for _, message := range messages {
		if !CanWait(message) {
			return false
		}
	}
	return true
}

// wakeLater wakes the session's writer within LazyWait, unless another message
// does so before. Call with mu held.
func (l *link) wakeLater() {
	if l.later {
		return
	}
	l.later = true
	time.AfterFunc(LazyWait, l.wakeNow)
}

func (l *link) wakeNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.later = false
	if l.session != nil && len(l.queue) > 0 {
		l.session.wake(len(l.queue))
	}
}
