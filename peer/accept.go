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
	// maxHandshakes bounds the accepted connections that are not sessions yet.
	maxHandshakes = 512
	// acceptPause follows an accept error, such as too many open files.
	acceptPause = 50 * time.Millisecond
)

// accept takes connections until Close.
func (m *Mesh) accept() {
	for {
		raw, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.Warn("peer: Accept failed.", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		m.admit(m.counters.conn(raw))
	}
}

// admit starts the handshake of a connection, or closes it if too many are going on.
func (m *Mesh) admit(raw net.Conn) {
	select {
	case m.handshakes <- struct{}{}:
	default:
		m.counters.acceptRefused(failLimit)
		raw.Close()
		return
	}
	started := m.spawn(func() {
		defer func() { <-m.handshakes }()
		m.welcome(raw)
	})
	if !started {
		raw.Close()
		<-m.handshakes
	}
}

// welcome reads the hello of a connection and makes it a session.
func (m *Mesh) welcome(raw net.Conn) {
	deadline := time.AfterFunc(m.options.DialTimeout, func() { raw.Close() })
	defer deadline.Stop()
	conn, hello, remote, reason := m.receive(raw)
	if reason == "" {
		reason = m.adopt(conn, raw, hello, remote)
	}
	if reason == "" {
		return
	}
	m.counters.acceptRefused(reason)
	if reason != failDuplicate {
		m.log.Warn("peer: Connection refused.", "address", raw.RemoteAddr(), "node", remote.Node, "reason", string(reason))
	}
	if refused, ok := refusals[reason]; ok && conn != nil {
		answer := m.hello()
		answer.Refused = refused
		_ = writeHello(conn, answer)
	}
	raw.Close()
}

// receive secures the connection and checks the hello.
func (m *Mesh) receive(raw net.Conn) (net.Conn, *peerpb.Hello, wire.Origin, failure) {
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
	case m.sessionCount() >= m.options.MaxSessions:
		reason = failLimit
	}
	return conn, hello, remote, reason
}

// adopt makes the connection the session of its node.
func (m *Mesh) adopt(conn, raw net.Conn, hello *peerpb.Hello, remote wire.Origin) failure {
	l := m.link(remote.Node)
	if l == nil {
		return failClosed
	}
	s := newSession(l, raw, remote, false, hello.GetDial())
	if reason := l.install(s); reason != "" {
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
