package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// ErrClosed reports that the Mesh is closed.
var ErrClosed = errors.New("peer: closed")

// maxCheckInterval is the longest interval between two checks for silent and
// idle sessions.
const maxCheckInterval = time.Second

// Mesh implements Transport over TCP. A session is opened by the first message or
// call to a node and closed when it is idle.
type Mesh struct {
	options Options
	// startedAt is the reference for the timestamps of the sessions, which are
	// offsets on the monotonic clock: a step of the wall clock must not make
	// every session look silent.
	startedAt time.Time
	self      wire.Origin
	handler   Handler
	log       *slog.Logger
	counters  counters
	listener  net.Listener
	// ctx is cancelled by Close, which then waits for goroutines.
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	handshakeSlots chan struct{}

	// mu guards links, which is nil after Close. Lock order: mu before any
	// link's mu.
	mu    sync.Mutex
	links map[control.NodeID]*link

	// channelMu guards channels, the open ones, which is nil after Close. It is after any link's
	// mu in the lock order.
	channelMu sync.Mutex
	channels  map[*channel]struct{}

	// spawnMu guards closed and the start of goroutines. It is the last in the
	// lock order.
	spawnMu sync.Mutex
	closed  bool
}

var _ Transport = (*Mesh)(nil)

// New starts a Mesh that listens for other nodes. The handler may be called
// before New returns.
func New(options Options, handler Handler) (*Mesh, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("peer: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		options:        options,
		startedAt:      time.Now(),
		self:           wire.Origin{Node: options.Node, Incarnation: options.Incarnation},
		handler:        handler,
		log:            options.Logger,
		counters:       newCounters(options.Metrics),
		listener:       listener,
		ctx:            ctx,
		cancel:         cancel,
		handshakeSlots: make(chan struct{}, maxHandshakes),
		links:          make(map[control.NodeID]*link),
		channels:       make(map[*channel]struct{}),
	}
	m.goroutines.Go(m.acceptLoop)
	m.goroutines.Go(m.checkLoop)
	return m, nil
}

// age returns the time since the mesh started, on the monotonic clock.
func (m *Mesh) age() time.Duration { return time.Since(m.startedAt) }

// Address returns the "ip:port" that the Mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Send implements Transport.
func (m *Mesh) Send(to control.NodeID, messages ...control.Message) {
	if to == m.self.Node {
		m.counters.countDropped(dropSelf, len(messages))
		return
	}
	l := m.findLink(to)
	if l == nil {
		m.counters.countDropped(dropNoAddress, len(messages))
		return
	}
	l.send(messages)
}

// Call implements Transport.
func (m *Mesh) Call(ctx context.Context, to control.NodeID, method string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	l := m.findLink(to)
	if l == nil {
		m.counters.countCall(directionOut, resultUnreachable)
		return nil, fmt.Errorf("peer: call to %s: %w", to, ErrUnreachable)
	}
	answer, err := l.call(ctx, method, payload)
	m.counters.countCall(directionOut, callResult(err))
	if err != nil {
		return nil, fmt.Errorf("peer: call %s to %s: %w", method, to, err)
	}
	return answer, nil
}

// SetPeers implements Transport. A session that this side dialled is closed if
// the node's address changed; sessions to nodes that are no longer listed stay
// open until they are idle.
func (m *Mesh) SetPeers(addresses map[control.NodeID]string) {
	for _, s := range m.setAddresses(addresses) {
		s.end(endMoved)
	}
}

// setAddresses updates the links' addresses and returns the sessions that were
// dialled to addresses that changed.
func (m *Mesh) setAddresses(addresses map[control.NodeID]string) (outdated []*session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for node, address := range addresses {
		if node == m.self.Node || !m.isDialAllowed(node, address) {
			continue
		}
		if l := m.ensureLinkLocked(node); l != nil {
			outdated = append(outdated, l.setAddress(address))
		}
	}
	for node, l := range m.links {
		if !m.isDialAllowed(node, addresses[node]) {
			outdated = append(outdated, l.setAddress(""))
		}
	}
	return slices.DeleteFunc(outdated, func(s *session) bool { return s == nil })
}

// isDialAllowed reports whether an address may be dialled: without TLS, only
// loopback addresses may, unless the network is trusted.
func (m *Mesh) isDialAllowed(node control.NodeID, address string) bool {
	if address == "" {
		return false
	}
	if m.options.TLS != nil || m.options.TrustNetwork || checkLoopback(address) == nil {
		return true
	}
	m.counters.countDialFailure(failPlain)
	m.log.Warn("peer: Address rejected: sessions without TLS require a loopback address.", "node", node, "address", address)
	return false
}

// Close implements Transport.
func (m *Mesh) Close() error {
	if !m.stopSpawning() {
		return nil
	}
	err := m.listener.Close()
	var closing sync.WaitGroup
	for _, l := range m.takeLinks() {
		closing.Go(l.close)
	}
	closing.Wait()
	m.closeChannels()
	m.cancel()
	m.goroutines.Wait()
	return err
}

// findLink returns the link to a node, or nil if there is none.
func (m *Mesh) findLink(node control.NodeID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[node]
}

// ensureLink returns the link to a node and creates it if needed. It returns nil
// after Close.
func (m *Mesh) ensureLink(node control.NodeID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ensureLinkLocked(node)
}

// ensureLinkLocked is ensureLink for callers that hold mu.
func (m *Mesh) ensureLinkLocked(node control.NodeID) *link {
	if m.links == nil {
		return nil
	}
	l, ok := m.links[node]
	if !ok {
		l = newLink(m, node)
		m.links[node] = l
	}
	return l
}

// spawn runs a function in a goroutine that Close waits for. It returns false
// after Close.
func (m *Mesh) spawn(function func()) bool {
	m.spawnMu.Lock()
	defer m.spawnMu.Unlock()
	if m.closed {
		return false
	}
	m.goroutines.Go(function)
	return true
}

// stopSpawning makes spawn start no more goroutines. It returns false if it was
// called before.
func (m *Mesh) stopSpawning() bool {
	m.spawnMu.Lock()
	defer m.spawnMu.Unlock()
	if m.closed {
		return false
	}
	m.closed = true
	return true
}

// takeLinks removes and returns all links. No links can be created afterwards.
func (m *Mesh) takeLinks() map[control.NodeID]*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := m.links
	m.links = nil
	return links
}

// checkLoop checks for silent and idle sessions until Close.
func (m *Mesh) checkLoop() {
	period := min(maxCheckInterval, m.options.KeepAliveAfter/2, m.options.IdleTimeout/2)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			m.checkLinks(now)
		}
	}
}

// checkLinks checks the sessions and removes unused links.
func (m *Mesh) checkLinks(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for node, l := range m.links {
		if l.check(now) {
			delete(m.links, node)
		}
	}
}

// sessionCount returns the number of open sessions.
func (m *Mesh) sessionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, l := range m.links {
		if l.hasSession() {
			count++
		}
	}
	return count
}

// muxConfig returns the yamux configuration, which is the same at both ends.
// Yamux's keep-alives are off: session.check sends pings, and only on sessions
// that received nothing for a while.
func (m *Mesh) muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = m.options.WriteTimeout
	config.StreamOpenTimeout = m.options.CallTimeout
	config.StreamCloseTimeout = m.options.CallTimeout
	config.LogOutput = io.Discard
	return config
}
