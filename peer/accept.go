package peer

import (
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/walnutcove/walnutcove/peer/peerpb"
	"github.com/walnutcove/walnutcove/peer/wire"
)

const (
	// maxHandshakes bounds the accepted connections whose handshake is in progress.
	maxHandshakes = 512
	// acceptRetryDelay is the wait after an accept error, such as too many open files.
	acceptRetryDelay = 50 * time.Millisecond
)

// acceptLoop accepts connections until Close.
func (m *Mesh) acceptLoop() {
	for {
		raw, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.Warn("peer: Accept failed.", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		m.startHandshake(m.counters.countBytes(raw))
	}
}

// startHandshake starts the handshake of a connection, or closes the connection
// if maxHandshakes are in progress.
func (m *Mesh) startHandshake(raw net.Conn) {
	select {
	case m.handshakeSlots <- struct{}{}:
	default:
		m.counters.countRefusal(failLimit)
		raw.Close()
		return
	}
	started := m.spawn(func() {
		defer func() { <-m.handshakeSlots }()
		m.handshake(raw)
	})
	if !started {
		raw.Close()
		<-m.handshakeSlots
	}
}

// handshake reads the hello of an accepted connection and makes the connection a
// session or a channel, or refuses it.
func (m *Mesh) handshake(raw net.Conn) {
	deadline := time.AfterFunc(m.options.DialTimeout, func() { raw.Close() })
	defer deadline.Stop()
	conn, hello, remote, reason := m.receiveHello(raw)
	switch {
	case reason != "":
	case hello.GetChannel() != "":
		reason = m.acceptChannel(conn, raw, hello, remote)
	default:
		reason = m.installSession(conn, raw, hello, remote)
	}
	if reason == "" {
		return
	}
	m.counters.countRefusal(reason)
	if reason != failDuplicate {
		m.log.Warn("peer: Connection refused.", "address", raw.RemoteAddr(), "node", remote.Node, "reason", string(reason))
	}
	if refused, ok := wireRefusals[reason]; ok && conn != nil {
		answer := m.hello()
		answer.Refused = refused
		_ = writeHello(conn, answer)
	}
	raw.Close()
}

// receiveHello runs the TLS handshake if TLS is on, then reads and checks the
// hello.
func (m *Mesh) receiveHello(raw net.Conn) (net.Conn, *peerpb.Hello, wire.Origin, failReason) {
	conn := raw
	if m.options.TLS != nil {
		secure := tls.Server(raw, m.options.TLS)
		if err := secure.Handshake(); err != nil {
			return nil, nil, wire.Origin{}, failTLS
		}
		conn = secure
	}
	hello, err := readHello(conn)
	if err != nil {
		return nil, nil, wire.Origin{}, failHello
	}
	remote, reason := checkHello(hello, conn)
	switch {
	case reason != "":
	case hello.GetExpected() != string(m.self.Node) || remote.Node == m.self.Node:
		reason = failWrongNode
	case hello.GetChannel() != "" && m.channelCount() >= maxChannels:
		reason = failLimit
	case hello.GetChannel() == "" && m.sessionCount() >= m.options.MaxSessions:
		reason = failLimit
	}
	return conn, hello, remote, reason
}

// installSession makes the connection the session with its node.
func (m *Mesh) installSession(conn, raw net.Conn, hello *peerpb.Hello, remote wire.Origin) failReason {
	l := m.ensureLink(remote.Node)
	if l == nil {
		return failClosed
	}
	s := newSession(l, raw, remote, false, hello.GetDial())
	if reason := l.installSession(s); reason != "" {
		s.cancel()
		return reason
	}
	if err := writeHello(conn, m.hello()); err != nil {
		s.end(endLost)
		return ""
	}
	s.start(conn)
	return ""
}
