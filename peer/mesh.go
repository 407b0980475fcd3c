package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// ErrClosed is returned by calls on a closed Mesh.
var ErrClosed = errors.New("peer: closed")

// checkPeriod is the period of looking for silent and idle sessions.
const checkPeriod = time.Second

// Mesh is the Transport over TCP. Sessions are opened by the first message or
// call to a node and closed when idle.
type Mesh struct {
	options  Options
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

	mu     sync.Mutex
	links  map[control.NodeID]*link
	closed bool
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
		self:       wire.Origin{Node: options.Node, Incarnation: options.Incarnation},
		handler:    handler,
		log:        options.Logger,
		counters:   counters{set: options.Metrics},
		listener:   listener,
		ctx:        ctx,
		cancel:     cancel,
		handshakes: make(chan struct{}, maxHandshakes),
		links:      make(map[control.NodeID]*link),
	}
	m.counters.registerGauges(m)
	m.running.Go(m.accept)
	m.running.Go(m.check)
	return m, nil
}

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
		m.counters.call("out", "unreachable")
		return nil, fmt.Errorf("peer: call to %s: %w", to, ErrUnreachable)
	}
	answer, err := l.call(ctx, method, payload)
	m.counters.call("out", callResult(err))
	if err != nil {
		return nil, fmt.Errorf("peer: call %s to %s: %w", method, to, err)
	}
	return answer, nil
}

// SetPeers implements Transport. A session that was dialled to an address that
// changed is closed; sessions to nodes that left the list stay until idle.
func (m *Mesh) SetPeers(addresses map[control.NodeID]string) {
	for node, address := range addresses {
		if node == m.self.Node {
			continue
		}
		if m.options.TLS == nil && checkLoopback(address) != nil {
			m.counters.dialFailed(failPlain)
			m.log.Warn("peer: Address refused, plain sessions need loopback.", "node", node, "address", address)
			address = ""
		}
		if l := m.link(node); l != nil {
			l.setAddress(address)
		}
	}
	for _, l := range m.allLinks() {
		if _, listed := addresses[l.node]; !listed {
			l.setAddress("")
		}
	}
}

// Close implements Transport.
func (m *Mesh) Close() error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil
	}
	m.closed = true
	m.mu.Unlock()
	err := m.listener.Close()
	for _, l := range m.allLinks() {
		l.close()
	}
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
	if m.closed {
		return nil
	}
	l, ok := m.links[node]
	if !ok {
		l = newLink(m, node)
		m.links[node] = l
	}
	return l
}

func (m *Mesh) allLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	return links
}

// spawn runs a function that Close waits for. It reports false after Close.
func (m *Mesh) spawn(function func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.running.Go(function)
	return true
}

// check looks for silent and idle sessions, until Close.
func (m *Mesh) check() {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			for _, l := range m.allLinks() {
				l.check(now)
			}
		}
	}
}

// sessionCount counts the open sessions.
func (m *Mesh) sessionCount() int {
	count := 0
	for _, l := range m.allLinks() {
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
