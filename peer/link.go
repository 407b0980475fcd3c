package peer

import (
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// ErrUnreachable says that a node has no address or could not be dialled.
var ErrUnreachable = errors.New("node is unreachable")

// retiredFor is how long an incarnation stays refused after a newer one of the
// same node was seen.
const retiredFor = 10 * time.Minute

// maxRetired bounds the incarnations that are remembered of one node.
const maxRetired = 64

// link is what a Mesh knows of one node: its address, its session if one is
// open, and the messages that wait for it.
type link struct {
	mesh *Mesh
	node control.NodeID

	mu      sync.Mutex
	address string
	queue   []control.Message
	session *session
	dialing bool
	// later says that the session's writer is woken within LazyWait.
	later bool
	// failures counts dials in a row; no dial is made before notBefore.
	failures  int
	notBefore time.Time
	dials     uint64
	// retired holds replaced incarnations until they are forgotten.
	retired map[control.Incarnation]time.Time
	// lost is set while the last session or dial ended badly.
	lost   bool
	closed bool
	// changed is closed and replaced when a dial ended or a session opened.
	changed chan struct{}

	// delivery serialises the handler's Received and StateChanged. It is
	// taken before mu.
	delivery  sync.Mutex
	announced state
}

// state is what the handler was last told of a node.
type state struct {
	told        bool
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

// send queues messages and sees to it that a session is open or being opened.
func (l *link) send(messages []control.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason, ok := l.ready(); !ok {
		l.mesh.counters.dropped(reason, len(messages))
		return
	}
	free := max(0, l.mesh.options.QueueMessages-len(l.queue))
	if len(messages) > free {
		l.mesh.counters.dropped(dropQueueFull, len(messages)-free)
		messages = messages[:free]
	}
	l.queue = append(l.queue, messages...)
	switch {
	case l.session == nil:
	case allCanWait(messages) && len(l.queue) < flushMessages:
		l.wakeLater()
	default:
		l.session.wake(len(l.queue))
	}
}

// ready reports whether a session is open or being opened, and starts a dial if
// that is possible. Call with mu held.
func (l *link) ready() (dropReason, bool) {
	switch {
	case l.closed:
		return dropClosed, false
	case l.session != nil || l.dialing:
		return "", true
	case l.address == "":
		return dropNoAddress, false
	case time.Now().Before(l.notBefore):
		return dropUnreachable, false
	}
	l.dialing = l.mesh.spawn(l.dial)
	if !l.dialing {
		return dropClosed, false
	}
	return "", true
}

// take empties the queue for a session's writer.
func (l *link) take(s *session) []control.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != s {
		return nil
	}
	messages := l.queue
	l.queue = nil
	return messages
}

// setAddress sets where to dial the node; empty if it is not known. It returns
// the session that was dialled to another address, to be ended.
func (l *link) setAddress(address string) (moved *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return nil
	}
	l.address = address
	l.failures = 0
	l.notBefore = time.Time{}
	if l.session == nil || address == "" {
		return nil
	}
	if l.session.dialled {
		return l.session
	}
	l.session.probe()
	return nil
}

// install makes a connection the link's session, unless another one has
// precedence.
func (l *link) install(s *session) failure {
	old, reason := l.replace(s)
	if old != nil {
		old.end(replacedReason(old, s))
	}
	return reason
}

// replace returns the session that the new one takes the place of, or why the
// new one is refused. The rules are the same at both ends, so that both keep
// the same connection; see docs/PEERS.md.
func (l *link) replace(s *session) (old *session, reason failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old = l.session
	switch {
	case l.closed:
		return nil, failClosed
	case l.isRetired(s.remote.Incarnation):
		return nil, failStale
	case old == nil && !s.dialled && l.dialing && l.mesh.self.Node < l.node:
		return nil, failDuplicate // the dial under way will have precedence
	case old != nil && old.remote == s.remote && !s.precedes(old):
		old.probe()
		return nil, failDuplicate
	case old != nil && old.remote != s.remote:
		l.retire(old.remote.Incarnation)
	}
	l.session = s
	l.failures = 0
	l.lost = false
	l.notifyChanged()
	return old, ""
}

func replacedReason(old, s *session) endReason {
	if old.remote != s.remote {
		return endRestarted
	}
	return endDuplicate
}

// retire refuses an incarnation for a while. Call with mu held.
func (l *link) retire(incarnation control.Incarnation) {
	if len(l.retired) >= maxRetired {
		clear(l.retired)
	}
	l.retired[incarnation] = time.Now().Add(retiredFor)
}

// isRetired reports whether a newer incarnation was seen. Call with mu held.
func (l *link) isRetired(incarnation control.Incarnation) bool {
	l.anyRetired()
	_, retired := l.retired[incarnation]
	return retired
}

// anyRetired forgets what is over and reports whether something is left. Call
// with mu held.
func (l *link) anyRetired() bool {
	now := time.Now()
	maps.DeleteFunc(l.retired, func(_ control.Incarnation, until time.Time) bool {
		return now.After(until)
	})
	return len(l.retired) > 0
}

// removed takes an ended session off the link. Messages that still wait are
// kept for the next session if a dial can be started at once.
func (l *link) removed(s *session, reason endReason) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
		l.lost = reason != endIdle && !l.dialing
		if len(l.queue) > 0 {
			if drop, ok := l.ready(); !ok {
				l.dropQueue(drop)
			}
		}
	}
	l.mu.Unlock()
	l.announce()
}

// dropQueue empties the queue. Call with mu held.
func (l *link) dropQueue(reason dropReason) {
	l.mesh.counters.dropped(reason, len(l.queue))
	l.queue = nil
}

// notifyChanged wakes the calls that wait for a session. Call with mu held.
func (l *link) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// announce tells the handler the link's state if it changed. A session that
// was closed as idle is no change.
func (l *link) announce() {
	l.delivery.Lock()
	defer l.delivery.Unlock()
	now, known := l.current()
	if !known || now == l.announced {
		return
	}
	before := l.announced
	l.announced = now
	if before.connected && now.connected {
		l.mesh.handler.StateChanged(l.node, false)
	}
	l.mesh.handler.StateChanged(l.node, now.connected)
}

// current is the state to announce; not known while no session is open and
// none was lost.
func (l *link) current() (now state, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		return state{told: true, connected: true, incarnation: l.session.remote.Incarnation}, true
	}
	return state{told: true}, l.lost
}

// deliver hands messages to the handler, if the session is still the link's.
func (l *link) deliver(s *session, messages []control.Message) {
	l.delivery.Lock()
	defer l.delivery.Unlock()
	l.mu.Lock()
	current := l.session == s
	l.mu.Unlock()
	if !current {
		l.mesh.counters.dropped(dropReplaced, len(messages))
		return
	}
	l.mesh.handler.Received(l.node, s.remote.Incarnation, messages)
}

// check lets the session look at its silence and idleness. It reports whether
// the link is of no more use; then it takes no session any more.
func (l *link) check(now time.Time) (useless bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		l.session.check(now)
		return false
	}
	if l.address != "" || l.dialing || l.anyRetired() {
		return false
	}
	l.closed = true
	l.lost = true
	l.mesh.spawn(l.announce)
	return true
}

// close ends the session and refuses new ones.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	s := l.session
	l.dropQueue(dropClosed)
	l.notifyChanged()
	l.mu.Unlock()
	if s != nil {
		s.farewell(endClosed)
	}
}

// backOff returns a random wait that doubles with the failures in a row.
func backOff(failures int, least, most time.Duration) time.Duration {
	wait := least
	for ; failures > 1 && wait < most; failures-- {
		wait = min(wait*2, most)
	}
	return wait/2 + rand.N(wait)
}

func (l *link) hasSession() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil
}
