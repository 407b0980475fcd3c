package peer

import (
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// ErrUnreachable reports that a node has no known address or could not be dialled.
var ErrUnreachable = errors.New("node is unreachable")

// retiredTTL is how long connections of an incarnation are refused after a newer
// incarnation of the same node connected.
const retiredTTL = 10 * time.Minute

// maxRetiredIncarnations bounds the retired incarnations stored for one node.
const maxRetiredIncarnations = 64

// link is the state that a Mesh keeps for one node: its address, its session if
// one is open, and the messages queued for it.
type link struct {
	mesh *Mesh
	node control.NodeID

	mu      sync.Mutex
	address string
	queue   []control.Message
	session *session
	dialing bool
	// flushScheduled is set while a timer will wake the session's writer within
	// MaxDeferTime.
	flushScheduled bool
	// failedDials counts the failed dials in a row. No dial is made before
	// nextDialAt.
	failedDials int
	nextDialAt  time.Time
	// dialCount is the number of the latest dial; see session.seq.
	dialCount uint64
	// retired maps replaced incarnations to the time until which they are refused.
	retired map[control.Incarnation]time.Time
	// lastEndFailed is set if the last session was lost or the last dial failed,
	// and when an unused link is closed, so that the handler is notified.
	lastEndFailed bool
	closed        bool
	// changed is closed and replaced when a dial ends or a session is installed.
	changed chan struct{}

	// handlerMu serialises calls of the handler's Received and StateChanged.
	// Lock order: handlerMu before mu.
	handlerMu sync.Mutex
	notified  notifiedState
}

// notifiedState is the state of a node that the handler was last notified of.
type notifiedState struct {
	set         bool // false before the first notification
	connected   bool
	incarnation control.Incarnation
}

func newLink(m *Mesh, node control.NodeID) *link {
	return &link{
		mesh:    m,
		node:    node,
		retired: make(map[control.Incarnation]time.Time),
		changed: make(chan struct{}),
	}
}

// send queues messages and makes sure that a session is open or being opened.
func (l *link) send(messages []control.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason, ok := l.ensureSession(); !ok {
		l.mesh.counters.countDropped(reason, len(messages))
		return
	}
	free := max(0, l.mesh.options.MaxQueuedMessages-len(l.queue))
	if len(messages) > free {
		l.mesh.counters.countDropped(dropQueueFull, len(messages)-free)
		messages = messages[:free]
	}
	l.queue = append(l.queue, messages...)
	switch {
	case l.session == nil:
	case allDeferrable(messages) && len(l.queue) < fullBatchMessages:
		l.scheduleFlush()
	default:
		l.session.wake(len(l.queue))
	}
}

// ensureSession starts a dial if there is neither a session nor a dial in
// progress. It returns the reason for dropping messages, and false, if no dial is
// possible now. The caller holds mu.
func (l *link) ensureSession() (dropReason, bool) {
	switch {
	case l.closed:
		return dropClosed, false
	case l.session != nil || l.dialing:
		return "", true
	case l.address == "":
		return dropNoAddress, false
	case time.Now().Before(l.nextDialAt):
		return dropUnreachable, false
	}
	l.dialing = l.mesh.spawn(l.dial)
	if !l.dialing {
		return dropClosed, false
	}
	return "", true
}

// takeQueue empties the queue for a session's writer. It returns nil if the
// session was replaced.
func (l *link) takeQueue(s *session) []control.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != s {
		return nil
	}
	messages := l.queue
	l.queue = nil
	return messages
}

// setAddress sets the address of the node; empty means unknown. If the address
// changed, it returns the session that this side dialled to the old one, which
// the caller ends, and pings a session that the other side dialled.
func (l *link) setAddress(address string) (outdated *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return nil
	}
	l.address = address
	l.failedDials = 0
	l.nextDialAt = time.Time{}
	if l.session == nil || address == "" {
		return nil
	}
	if l.session.dialled {
		return l.session
	}
	l.session.ping()
	return nil
}

// installSession makes a connection the link's session, unless another one takes
// precedence. It ends the session that it replaces.
func (l *link) installSession(s *session) failReason {
	old, reason := l.replaceSession(s)
	if old != nil {
		old.end(replacedReason(old, s))
	}
	return reason
}

// replaceSession sets the link's session and returns the one that it replaces, or
// the reason for refusing the new one. The rules are the same at both ends, so
// both keep the same connection; see docs/PEERS.md.
func (l *link) replaceSession(s *session) (old *session, reason failReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old = l.session
	switch {
	case l.closed:
		return nil, failClosed
	case l.isRetired(s.remote.Incarnation):
		return nil, failStale
	case old == nil && !s.dialled && l.dialing && l.mesh.self.Node < l.node:
		return nil, failDuplicate // the dial in progress will take precedence
	case old != nil && old.remote == s.remote && !s.precedes(old):
		old.ping()
		return nil, failDuplicate
	case old != nil && old.remote != s.remote:
		l.retire(old.remote.Incarnation)
	}
	l.session = s
	l.failedDials = 0
	l.lastEndFailed = false
	l.notifyChanged()
	return old, ""
}

func replacedReason(old, s *session) endReason {
	if old.remote != s.remote {
		return endRestarted
	}
	return endDuplicate
}

// retire makes connections of an incarnation refused for retiredTTL and closes its channels. The
// caller holds mu.
func (l *link) retire(incarnation control.Incarnation) {
	if len(l.retired) >= maxRetiredIncarnations {
		clear(l.retired)
	}
	l.retired[incarnation] = time.Now().Add(retiredTTL)
	l.mesh.spawn(func() { l.mesh.closeChannelsOf(wire.Origin{Node: l.node, Incarnation: incarnation}) })
}

// isRetired reports whether an incarnation was replaced by another within
// retiredTTL. The caller holds mu.
func (l *link) isRetired(incarnation control.Incarnation) bool {
	l.purgeRetired()
	_, retired := l.retired[incarnation]
	return retired
}

// purgeRetired deletes the retired incarnations that have expired and reports
// whether any are left. The caller holds mu.
func (l *link) purgeRetired() bool {
	now := time.Now()
	maps.DeleteFunc(l.retired, func(_ control.Incarnation, until time.Time) bool {
		return now.After(until)
	})
	return len(l.retired) > 0
}

// sessionEnded removes an ended session from the link. Queued messages are kept
// for the next session if a dial can be started at once, else dropped.
func (l *link) sessionEnded(s *session, reason endReason) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
		l.lastEndFailed = reason != endIdle && !l.dialing
		if len(l.queue) > 0 {
			if drop, ok := l.ensureSession(); !ok {
				l.dropQueue(drop)
			}
		}
	}
	l.mu.Unlock()
	l.notifyHandler()
}

// dropQueue empties the queue and counts the dropped messages. The caller holds mu.
func (l *link) dropQueue(reason dropReason) {
	l.mesh.counters.countDropped(reason, len(l.queue))
	l.queue = nil
}

// notifyChanged wakes the goroutines that wait for a session. The caller holds mu.
func (l *link) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// notifyHandler calls the handler's StateChanged if the link's state changed. A
// session that was closed because it was idle is no change. A session to a new
// incarnation of a connected node is reported as lost, then as opened.
func (l *link) notifyHandler() {
	l.handlerMu.Lock()
	defer l.handlerMu.Unlock()
	now, known := l.currentState()
	if !known || now == l.notified {
		return
	}
	before := l.notified
	l.notified = now
	if before.connected && now.connected {
		l.mesh.handler.StateChanged(l.node, false)
	}
	l.mesh.handler.StateChanged(l.node, now.connected)
}

// currentState returns the state to report to the handler. It is not known while
// no session is open and the last one did not fail.
func (l *link) currentState() (now notifiedState, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		return notifiedState{set: true, connected: true, incarnation: l.session.remote.Incarnation}, true
	}
	return notifiedState{set: true}, l.lastEndFailed
}

// deliver passes messages to the handler, or drops them if the session was
// replaced.
func (l *link) deliver(s *session, messages []control.Message) {
	l.handlerMu.Lock()
	defer l.handlerMu.Unlock()
	l.mu.Lock()
	current := l.session == s
	l.mu.Unlock()
	if !current {
		l.mesh.counters.countDropped(dropReplaced, len(messages))
		return
	}
	l.mesh.handler.Received(l.node, s.remote.Incarnation, messages)
}

// check checks the session for silence and idleness. It reports whether the link
// is unused: it has no session, no address, no dial in progress and no retired
// incarnations. An unused link is closed.
func (l *link) check(now time.Time) (unused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		l.session.check(now)
		return false
	}
	if l.address != "" || l.dialing || l.purgeRetired() {
		return false
	}
	l.closed = true
	l.lastEndFailed = true
	l.mesh.spawn(l.notifyHandler)
	return true
}

// close ends the session, drops the queue and refuses new sessions.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	s := l.session
	l.dropQueue(dropClosed)
	l.notifyChanged()
	l.mu.Unlock()
	if s != nil {
		s.closeGracefully(endClosed)
	}
}

// dialBackoff returns the wait after a number of failed dials in a row. It
// doubles with each failure up to maxWait, with a jitter of 50 % either way.
func dialBackoff(failures int, minWait, maxWait time.Duration) time.Duration {
	wait := minWait
	for ; failures > 1 && wait < maxWait; failures-- {
		wait = min(wait*2, maxWait)
	}
	return wait/2 + rand.N(wait)
}

func (l *link) hasSession() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil
}
