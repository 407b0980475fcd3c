package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/walnutcove/walnutcove/peer/peerpb"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// maxDuplicateDials bounds the dials in a row that the other side refuses because
// it prefers another connection of the pair, while that connection never arrives.
const maxDuplicateDials = 5

// dial opens a session, or gives up and drops the queued messages.
func (l *link) dial() {
	reason := failReason("")
	for range maxDuplicateDials {
		reason = l.dialOnce()
		if reason != failDuplicate || l.awaitPreferred() {
			break
		}
	}
	l.finishDial(reason)
	l.notifyHandler()
}

// awaitPreferred waits for the connection that the other side prefers. It returns
// false if after a back-off no session is open and the link is not closed; another
// dial may then be tried.
func (l *link) awaitPreferred() bool {
	l.mu.Lock()
	changed := l.changed
	open := l.session != nil
	l.mu.Unlock()
	if open {
		return true
	}
	wait := time.NewTimer(dialBackoff(1, l.mesh.options.RetryMin, l.mesh.options.RetryMax))
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

// finishDial records the result of a dial. After a failure it drops the queue and
// sets the back-off.
func (l *link) finishDial(reason failReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	defer l.notifyChanged()
	if l.session != nil || reason == "" {
		return
	}
	l.failedDials++
	l.nextDialAt = time.Now().Add(dialBackoff(l.failedDials, l.mesh.options.RetryMin, l.mesh.options.RetryMax))
	l.lastEndFailed = true
	l.dropQueue(dropUnreachable)
	l.mesh.log.Debug("peer: Dial failed.", "node", l.node, "reason", string(reason), "failures", l.failedDials)
}

// dialOnce makes one connection and returns the reason if it did not become a
// session.
func (l *link) dialOnce() failReason {
	l.mu.Lock()
	address := l.address
	l.dialCount++
	seq := l.dialCount
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.mesh.ctx, l.mesh.options.DialTimeout)
	defer cancel()
	reason := l.connect(ctx, address, seq)
	if reason != "" {
		l.mesh.counters.countDialFailure(reason)
	}
	return reason
}

func (l *link) connect(ctx context.Context, address string, seq uint64) failReason {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return failConnect
	}
	raw = l.mesh.counters.countBytes(raw)
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	hello := l.mesh.hello()
	hello.Dial = seq
	hello.Expected = string(l.node)
	conn, remote, reason := l.exchangeHellos(raw, hello)
	if !stop() && reason == "" {
		reason = failHello
	}
	if reason != "" {
		raw.Close()
		return reason
	}
	s := newSession(l, raw, remote, true, seq)
	if reason := l.installSession(s); reason != "" {
		s.cancel()
		raw.Close()
		return reason
	}
	s.start(conn)
	return ""
}

// exchangeHellos runs the TLS handshake if TLS is on, sends this side's hello and
// checks the answer.
func (l *link) exchangeHellos(raw net.Conn, hello *peerpb.Hello) (net.Conn, wire.Origin, failReason) {
	conn := raw
	if l.mesh.options.TLS != nil {
		secure := tls.Client(raw, l.mesh.options.TLS)
		if err := secure.Handshake(); err != nil {
			l.mesh.log.Warn("peer: TLS handshake failed.", "node", l.node, "error", err)
			return nil, wire.Origin{}, failTLS
		}
		conn = secure
	}
	if err := writeHello(conn, hello); err != nil {
		return nil, wire.Origin{}, failHello
	}
	answer, err := readHello(conn)
	if err != nil {
		l.mesh.log.Warn("peer: Reading the hello failed.", "node", l.node, "error", err)
		return nil, wire.Origin{}, failHello
	}
	remote, reason := checkHello(answer, conn)
	switch {
	case reason != "":
		return nil, remote, reason
	case remote.Node != l.node:
		return nil, remote, failWrongNode
	case answer.GetRefused() != peerpb.Refused_REFUSED_NONE:
		return nil, remote, failReasonFor(answer.GetRefused())
	case answer.GetChannel() != hello.GetChannel():
		return nil, remote, failHello
	}
	return conn, remote, ""
}

// hello returns a hello that describes this node.
func (m *Mesh) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Protocol:    protocolVersion,
		Node:        string(m.self.Node),
		Incarnation: uint64(m.self.Incarnation),
	}
}
