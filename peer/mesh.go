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

// ErrClosed is returned by calls on a closed Mesh.
var ErrClosed = errors.New("peer: closed")

// checkPeriod is the longest period of looking for silent and idle sessions.
const checkPeriod = time.Second

// Mesh is the Transport over TCP. Sessions are opened by the first message or
// call to a node and closed when idle.
type Mesh struct {
	options Options
	// started is the origin of the sessions' times, which count on the steady
	// clock: a step of the time of day must not make every session look silent.
	started  time.Time
	self     wire.Origin
	handler  Handler
	log      *slog.Logger
	counters counters
	listener net.Listener
	// ctx ends with Close. Goroutines that outlive a call are in running.
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
	handshakes chan struct{}

	// mu is taken before any link's mu. links is nil after Close.
	mu    sync.Mutex
	links map[control.NodeID]*link

	// spawning guards closed and the start of goroutines. It is taken last.
	spawning sync.Mutex
	closed   bool
}

var _ Transport = (*Mesh)(nil)

// New starts listening. The handler may be called before New returns.
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
		options:    options,
		started:    time.Now(),
		self:       wire.Origin{Node: options.Node, Incarnation: options.Incarnation},
		handler:    handler,
		log:        options.Logger,
		counters:   newCounters(options.Metrics),
		listener:   listener,
		ctx:        ctx,
		cancel:     cancel,
		handshakes: make(chan struct{}, maxHandshakes),
		links:      make(map[control.NodeID]*link),
	}
	m.running.Go(m.accept)
	m.running.Go(m.check)
	return m, nil
}

// age is the time since the mesh started, by the steady clock.
func (m *Mesh) age() time.Duration { return time.Since(m.started) }

// Address is the "ip:port" that the Mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Send implements Transport.
func (m *Mesh) Send(to control.NodeID, messages ...control.Message) {
	if to == m.self.Node {
		m.counters.dropped(dropSelf, len(messages))
		return
	}
	l := m.known(to)
	if l == nil {
		m.counters.dropped(dropNoAddress, len(messages))
		return
	}
	l.send(messages)
}

// Call implements Transport.
func (m *Mesh) Call(ctx context.Context, to control.NodeID, method string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	l := m.known(to)
	if l == nil {
		m.counters.call(directionOut, resultUnreachable)
		return nil, fmt.Errorf("peer: call to %s: %w", to, ErrUnreachable)
	}
	answer, err := l.call(ctx, method, payload)
	m.counters.call(directionOut, callResult(err))
	if err != nil {
		return nil, fmt.Errorf("peer: call %s to %s: %w", method, to, err)
	}
	return answer, nil
}

// SetPeers implements Transport. A session that was dialled to an address that
// changed is closed; sessions to nodes that left the list stay until idle.
func (m *Mesh) SetPeers(addresses map[control.NodeID]string) {
	for _, s := range m.setAddresses(addresses) {
		s.end(endMoved)
	}
}

// setAddresses returns the sessions that lead to addresses of before.
func (m *Mesh) setAddresses(addresses map[control.NodeID]string) (moved []*session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for node, address := range addresses {
		if node == m.self.Node || !m.mayDial(node, address) {
			continue
		}
		if l := m.linkLocked(node); l != nil {
			moved = append(moved, l.setAddress(address))
		}
	}
	for node, l := range m.links {
		if !m.mayDial(node, addresses[node]) {
			moved = append(moved, l.setAddress(""))
		}
	}
	return slices.DeleteFunc(moved, func(s *session) bool { return s == nil })
}

// mayDial refuses plain sessions outside loopback.
func (m *Mesh) mayDial(node control.NodeID, address string) bool {
	if address == "" {
		return false
	}
	if m.options.TLS != nil || m.options.TrustNetwork || checkLoopback(address) == nil {
		return true
	}
	m.counters.dialFailed(failPlain)
	m.log.Warn("peer: Address refused, plain sessions need loopback.", "node", node, "address", address)
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
	m.cancel()
	m.running.Wait()
	return err
}

// known returns the link to a node, or nil.
func (m *Mesh) known(node control.NodeID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[node]
}

// link returns the link to a node and creates it if needed. It is nil after Close.
func (m *Mesh) link(node control.NodeID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.linkLocked(node)
}

// linkLocked is link with mu held.
func (m *Mesh) linkLocked(node control.NodeID) *link {
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

// spawn runs a function that Close waits for. It reports false after Close.
func (m *Mesh) spawn(function func()) bool {
	m.spawning.Lock()
	defer m.spawning.Unlock()
	if m.closed {
		return false
	}
	m.running.Go(function)
	return true
}

// stopSpawning reports false if it was called before.
func (m *Mesh) stopSpawning() bool {
	m.spawning.Lock()
	defer m.spawning.Unlock()
	if m.closed {
		return false
	}
	m.closed = true
	return true
}

// takeLinks returns the links and lets no new ones be made.
func (m *Mesh) takeLinks() map[control.NodeID]*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := m.links
	m.links = nil
	return links
}

// check looks for silent and idle sessions, until Close.
func (m *Mesh) check() {
	period := min(checkPeriod, m.options.KeepAliveAfter/2, m.options.IdleAfter/2)
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

// checkLinks checks the sessions and forgets the links that are of no more use.
func (m *Mesh) checkLinks(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for node, l := range m.links {
		if l.check(now) {
			delete(m.links, node)
		}
	}
}

// sessionCount counts the open sessions.
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

// muxConfig is the same at both ends. Keep-alives are sent by session.check,
// which leaves busy sessions alone.
func (m *Mesh) muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = m.options.WriteTimeout
	config.StreamOpenTimeout = m.options.CallTimeout
	config.StreamCloseTimeout = m.options.CallTimeout
	config.LogOutput = io.Discard
	return config
}
