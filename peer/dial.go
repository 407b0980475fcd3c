package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/walnutcove/walnutcove/peer/peerpb"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// duplicateTries bounds the dials that the other side refuses because it
// prefers another connection, which then does not appear.
const duplicateTries = 5

// dial opens a session, or gives up and drops what waits for it.
func (l *link) dial() {
	reason := failure("")
	for range duplicateTries {
		reason = l.dialOnce()
		if reason != failDuplicate || l.awaitSession() {
			break
		}
	}
	l.dialled(reason)
	l.announce()
}

// awaitSession waits for the connection that the other side prefers.
func (l *link) awaitSession() bool {
	l.mu.Lock()
	changed := l.changed
	open := l.session != nil
	l.mu.Unlock()
	if open {
		return true
	}
	wait := time.NewTimer(backOff(1, l.mesh.options.RetryMin, l.mesh.options.RetryMax))
	defer wait.Stop()
	select {
	case <-changed:
	case <-wait.C:
	case <-l.mesh.ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil || l.closed
}

// dialled records the end of a dial.
func (l *link) dialled(reason failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	defer l.notifyChanged()
	if l.session != nil || reason == "" {
		return
	}
	l.failures++
	l.notBefore = time.Now().Add(backOff(l.failures, l.mesh.options.RetryMin, l.mesh.options.RetryMax))
	l.lost = true
	l.dropQueue(dropUnreachable)
	l.mesh.log.Debug("peer: Dial failed.", "node", l.node, "reason", string(reason), "failures", l.failures)
}

// dialOnce makes one connection and says why it did not become a session.
func (l *link) dialOnce() failure {
	l.mu.Lock()
	address := l.address
	l.dials++
	seq := l.dials
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.mesh.ctx, l.mesh.options.DialTimeout)
	defer cancel()
	reason := l.connect(ctx, address, seq)
	if reason != "" {
		l.mesh.counters.dialFailed(reason)
	}
	return reason
}

func (l *link) connect(ctx context.Context, address string, seq uint64) failure {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return failConnect
	}
	raw = l.mesh.counters.conn(raw)
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, remote, reason := l.greet(raw, seq)
	if !stop() && reason == "" {
		reason = failHello
	}
	if reason != "" {
		raw.Close()
		return reason
	}
	s := newSession(l, raw, remote, true, seq)
	if reason := l.install(s); reason != "" {
		s.cancel()
		raw.Close()
		return reason
	}
	s.start(conn)
	return ""
}

// greet secures the connection and exchanges hellos.
func (l *link) greet(raw net.Conn, seq uint64) (net.Conn, wire.Origin, failure) {
	conn := raw
	if l.mesh.options.TLS != nil {
		secure := tls.Client(raw, l.mesh.options.TLS)
		if err := secure.Handshake(); err != nil {
			l.mesh.log.Warn("peer: TLS handshake failed.", "node", l.node, "error", err)
			return nil, wire.Origin{}, failTLS
		}
		conn = secure
	}
	hello := l.mesh.hello()
	hello.Dial = seq
	hello.Expected = string(l.node)
	if err := writeHello(conn, hello); err != nil {
		return nil, wire.Origin{}, failHello
	}
	answer, err := readHello(conn)
	if err != nil {
		l.mesh.log.Warn("peer: No hello.", "node", l.node, "error", err)
		return nil, wire.Origin{}, failHello
	}
	remote, reason := checkHello(answer, conn)
	switch {
	case reason != "":
		return nil, remote, reason
	case remote.Node != l.node:
		return nil, remote, failWrongNode
	case answer.GetRefused() != peerpb.Refused_REFUSED_NONE:
		return nil, remote, refusedAs(answer.GetRefused())
	}
	return conn, remote, ""
}

// hello describes this side.
func (m *Mesh) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Protocol:    protocolVersion,
		Node:        string(m.self.Node),
		Incarnation: uint64(m.self.Incarnation),
	}
}
