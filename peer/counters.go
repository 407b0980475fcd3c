package peer

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/peer/wire"
)

// dropReason says why a message was not sent or not delivered.
type dropReason string

const (
	dropQueueFull    dropReason = "queue-full"
	dropUnreachable  dropReason = "unreachable"
	dropNoAddress    dropReason = "no-address"
	dropClosed       dropReason = "closed"
	dropSelf         dropReason = "self"
	dropNotEncodable dropReason = "not-encodable"
	dropWriteFailed  dropReason = "write-failed"
	dropReplaced     dropReason = "session-replaced"
)

// endReason says why a session ended.
type endReason string

const (
	endClosed    endReason = "closed"    // Close was called here
	endIdle      endReason = "idle"      // nothing was sent either way
	endShutdown  endReason = "shutdown"  // the other node closed
	endLost      endReason = "lost"      // the connection broke
	endNoAnswer  endReason = "no-answer" // a ping was not answered
	endStalled   endReason = "stalled"   // a write did not finish in time
	endGarbage   endReason = "garbage"   // a frame could not be decoded
	endOversize  endReason = "oversize"  // a frame was too long
	endDuplicate endReason = "duplicate" // another session of the pair stays
	endRestarted endReason = "restarted" // the node has a newer incarnation
	endMoved     endReason = "moved"     // the node's address changed
)

// failure says why a connection did not become a session.
type failure string

const (
	failConnect    failure = "connect"
	failTLS        failure = "tls"
	failHello      failure = "hello"
	failProtocol   failure = "protocol"
	failIdentity   failure = "identity"
	failWrongNode  failure = "wrong-node"
	failStale      failure = "stale-incarnation"
	failDuplicate  failure = "duplicate"
	failLimit      failure = "limit"
	failPlain      failure = "plain-not-loopback"
	failNotRelated failure = "closed"
)

// counters are the measure of control traffic. docs/PEERS.md lists them.
type counters struct {
	set *metrics.Set
}

func (c counters) message(direction string, kind wire.Kind, bytes int) {
	labels := fmt.Sprintf(`{direction=%q,kind=%q}`, direction, string(kind))
	c.set.GetOrCreateCounter(`walnut_peer_messages_total` + labels).Inc()
	c.set.GetOrCreateCounter(`walnut_peer_message_bytes_total` + labels).Add(bytes)
}

func (c counters) dropped(reason dropReason, count int) {
	if count == 0 {
		return
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_dropped_total{reason=%q}`, string(reason))).Add(count)
}

func (c counters) sessionEnded(reason endReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_sessions_ended_total{reason=%q}`, string(reason))).Inc()
}

func (c counters) sessionOpened(role string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_sessions_opened_total{role=%q}`, role)).Inc()
}

func (c counters) dialFailed(reason failure) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_dial_failures_total{reason=%q}`, string(reason))).Inc()
}

func (c counters) acceptRefused(reason failure) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_accept_refusals_total{reason=%q}`, string(reason))).Inc()
}

func (c counters) call(direction, result string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_calls_total{direction=%q,result=%q}`, direction, result)).Inc()
}

func (c counters) ping() {
	c.set.GetOrCreateCounter(`walnut_peer_pings_total`).Inc()
}

func (c counters) flush() {
	c.set.GetOrCreateCounter(`walnut_peer_flushes_total`).Inc()
}

// countedConn counts the bytes of a connection, below TLS and yamux.
type countedConn struct {
	net.Conn
	in  *metrics.Counter
	out *metrics.Counter
}

func (c counters) conn(conn net.Conn) net.Conn {
	return &countedConn{
		Conn: conn,
		in:   c.set.GetOrCreateCounter(`walnut_peer_wire_bytes_total{direction="in"}`),
		out:  c.set.GetOrCreateCounter(`walnut_peer_wire_bytes_total{direction="out"}`),
	}
}

func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.in.Add(n)
	return n, err
}

func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.out.Add(n)
	return n, err
}

// registerGauges exposes the count of open sessions.
func (c counters) registerGauges(m *Mesh) {
	c.set.GetOrCreateGauge(`walnut_peer_sessions`, func() float64 { return float64(m.sessionCount()) })
}
