package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
	"github.com/walnutcove/walnutcove/peer/wire"
)

const (
	// channelProtocol is the protocol version in hellos of channels. Builds without channels
	// refuse it; with protocolVersion they would take the connection for a session.
	channelProtocol = 1<<16 | 1
	// maxChannels bounds the accepted channels.
	maxChannels = 512
	// channelReadBytes is the size of the read buffer below yamux, whose own holds 4 KiB.
	channelReadBytes = 32 << 10
	// maxKeptChannelBytes bounds the write buffer that is kept between the batches of a channel.
	maxKeptChannelBytes = 64 << 10
)

// ErrNoChannel reports that a node does not offer a channel, or runs a build without channels.
var ErrNoChannel = errors.New("node does not offer the channel")

// ServeChannel serves a channel that another node opened, in a goroutine of its own. It owns the
// connection, which is also closed when a newer incarnation of the node connects and by
// Mesh.Close, which waits until ServeChannel returns.
type ServeChannel func(from control.NodeID, incarnation control.Incarnation, name string, conn net.Conn)

// channel is a connection to a node apart from the session for control messages: a yamux session
// with a single stream.
type channel struct {
	*yamux.Stream
	mesh   *Mesh
	raw    net.Conn // the TCP connection, below TLS and yamux
	mux    *yamux.Session
	remote wire.Origin
	once   sync.Once
}

// OpenChannel opens a connection to a node that serves the named channel. It uses the node's
// address, the TLS configuration and the checks of sessions, but no session. The caller owns the
// connection. Channels are also closed by Close.
func (m *Mesh) OpenChannel(ctx context.Context, node control.NodeID, name string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.DialTimeout)
	defer cancel()
	defer context.AfterFunc(m.ctx, cancel)()
	conn, reason := m.openChannel(ctx, node, name)
	if reason == "" {
		return conn, nil
	}
	m.counters.countDialFailure(reason)
	err := ErrUnreachable
	if reason == failChannel || reason == failProtocol {
		err = ErrNoChannel
	}
	return nil, fmt.Errorf("peer: open channel %s to %s: %w (%s)", name, node, err, reason)
}

func (m *Mesh) openChannel(ctx context.Context, node control.NodeID, name string) (net.Conn, failReason) {
	l := m.findLink(node)
	if l == nil || l.currentAddress() == "" {
		return nil, failConnect
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", l.currentAddress())
	if err != nil {
		return nil, failConnect
	}
	raw = m.counters.countChannelBytes(raw)
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	hello := m.channelHello(name)
	hello.Expected = string(node)
	conn, remote, reason := l.exchangeHellos(raw, hello)
	var c *channel
	if reason == "" {
		c, reason = m.startChannel(conn, raw, remote, yamux.Client, (*yamux.Session).OpenStream)
	}
	if !stop() && reason == "" {
		c.Close()
		return nil, failHello
	}
	if reason != "" {
		raw.Close()
		return nil, reason
	}
	m.counters.channels[roleDialled].Inc()
	return c, ""
}

// channelHello returns a hello for a channel.
func (m *Mesh) channelHello(name string) *peerpb.Hello {
	hello := m.hello()
	hello.Protocol = channelProtocol
	hello.Channel = name
	return hello
}

// acceptChannel makes an accepted connection a channel and serves it.
func (m *Mesh) acceptChannel(conn, raw net.Conn, hello *peerpb.Hello, remote wire.Origin) failReason {
	serve := m.options.Channels[hello.GetChannel()]
	if serve == nil {
		return failChannel
	}
	if m.isReplaced(remote) {
		return failStale
	}
	if counted, ok := raw.(*countedConn); ok {
		m.counters.moveToChannels(counted)
	}
	if err := writeHello(conn, m.channelHello(hello.GetChannel())); err != nil {
		return failHello
	}
	c, reason := m.startChannel(conn, raw, remote, yamux.Server, (*yamux.Session).AcceptStream)
	if reason != "" {
		return reason
	}
	m.counters.channels[roleAccepted].Inc()
	if !m.spawn(func() { serve(remote.Node, remote.Incarnation, hello.GetChannel(), c) }) {
		c.Close()
	}
	return ""
}

// startChannel starts yamux and its only stream over a connection. The caller closes the
// connection if that takes too long.
func (m *Mesh) startChannel(
	conn, raw net.Conn,
	remote wire.Origin,
	start func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error),
	open func(*yamux.Session) (*yamux.Stream, error),
) (*channel, failReason) {
	below := &muxConn{
		Conn:      &bufferedConn{Conn: conn, reader: bufio.NewReaderSize(conn, channelReadBytes)},
		raw:       raw,
		keepBytes: maxKeptChannelBytes,
	}
	mux, err := start(below, m.muxConfig())
	if err != nil {
		m.log.Error("peer: Starting the yamux session of a channel failed.", "error", err)
		return nil, failHello
	}
	stream, err := open(mux)
	if err != nil {
		raw.Close()
		mux.Close()
		return nil, failHello
	}
	c := &channel{Stream: stream, mesh: m, raw: raw, mux: mux, remote: remote}
	if !m.trackChannel(c) {
		raw.Close()
		mux.Close()
		return nil, failClosed
	}
	// A channel that closeChannelsOf did not see yet is found here.
	if m.isReplaced(remote) {
		c.Close()
		return nil, failStale
	}
	return c, ""
}

// Close closes the connection at once.
func (c *channel) Close() error {
	var err error
	c.once.Do(func() {
		err = c.raw.Close()
		c.mux.Close()
		c.mesh.untrackChannel(c)
	})
	return err
}

// trackChannel registers an open channel. It returns false after Close.
func (m *Mesh) trackChannel(c *channel) bool {
	m.channelMu.Lock()
	defer m.channelMu.Unlock()
	if m.channels == nil {
		return false
	}
	m.channels[c] = struct{}{}
	m.counters.openChannels.Inc()
	return true
}

func (m *Mesh) untrackChannel(c *channel) {
	m.channelMu.Lock()
	defer m.channelMu.Unlock()
	delete(m.channels, c)
	m.counters.openChannels.Dec()
}

// channelCount returns the number of open channels.
func (m *Mesh) channelCount() int {
	m.channelMu.Lock()
	defer m.channelMu.Unlock()
	return len(m.channels)
}

// closeChannelsOf closes the channels of an incarnation that was replaced.
func (m *Mesh) closeChannelsOf(retired wire.Origin) {
	for _, c := range m.listChannels() {
		if c.remote == retired {
			c.Close()
		}
	}
}

// closeChannels closes all channels. No channels can be opened afterwards.
func (m *Mesh) closeChannels() {
	m.channelMu.Lock()
	channels := m.channels
	m.channels = nil
	m.channelMu.Unlock()
	for c := range channels {
		c.Close()
	}
}

func (m *Mesh) listChannels() []*channel {
	m.channelMu.Lock()
	defer m.channelMu.Unlock()
	channels := make([]*channel, 0, len(m.channels))
	for c := range m.channels {
		channels = append(channels, c)
	}
	return channels
}

// currentAddress returns the node's address, or "".
func (l *link) currentAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// isReplaced reports whether an incarnation of a node was replaced by another.
func (m *Mesh) isReplaced(origin wire.Origin) bool {
	l := m.findLink(origin.Node)
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isRetired(origin.Incarnation)
}

// bufferedConn is a connection with a read buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements io.Reader.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
