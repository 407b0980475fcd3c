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
	endStreams   endReason = "streams"   // the other side opened too many streams
	endDuplicate endReason = "duplicate" // another session of the pair stays
	endRestarted endReason = "restarted" // the node has a newer incarnation
	endMoved     endReason = "moved"     // the node's address changed
)

// failure says why a connection did not become a session.
type failure string

const (
	failConnect   failure = "connect"
	failTLS       failure = "tls"
	failHello     failure = "hello"
	failProtocol  failure = "protocol"
	failIdentity  failure = "identity"
	failWrongNode failure = "wrong-node"
	failStale     failure = "stale-incarnation"
	failDuplicate failure = "duplicate"
	failLimit     failure = "limit"
	failPlain     failure = "plain-not-loopback"
	failClosed    failure = "closed"
)

// Every reason, so that each counter is there from the start.
var (
	dropReasons = []dropReason{
		dropQueueFull, dropUnreachable, dropNoAddress, dropClosed, dropSelf, dropNotEncodable,
		dropWriteFailed, dropReplaced,
	}
	endReasons = []endReason{
		endClosed, endIdle, endShutdown, endLost, endNoAnswer, endStalled, endGarbage, endOversize, endStreams,
		endDuplicate, endRestarted, endMoved,
	}
	failures = []failure{
		failConnect, failTLS, failHello, failProtocol, failIdentity, failWrongNode, failStale,
		failDuplicate, failLimit, failPlain, failClosed,
	}
	callResults = []string{
		resultAnswered, resultUnreachable, resultTooLarge, resultSessionEnded, resultCancelled,
		resultBusy, resultFailed,
	}
)

// direction of a message, a call or a byte.
type direction string

const (
	directionIn  direction = "in"
	directionOut direction = "out"
)

// counters are the measure of control traffic. docs/PEERS.md lists them.
type counters struct {
	messages     map[direction]map[wire.Kind]kindCounters
	bytes        map[direction]*metrics.Counter
	calls        map[direction]map[string]*metrics.Counter
	drops        map[dropReason]*metrics.Counter
	ends         map[endReason]*metrics.Counter
	dialFailures map[failure]*metrics.Counter
	refusals     map[failure]*metrics.Counter
	dialled      *metrics.Counter
	accepted     *metrics.Counter
	sessions     *metrics.Gauge
	pings        *metrics.Counter
	flushes      *metrics.Counter
}

// kindCounters count one kind of message in one direction.
type kindCounters struct {
	messages *metrics.Counter
	bytes    *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		messages:     make(map[direction]map[wire.Kind]kindCounters),
		bytes:        make(map[direction]*metrics.Counter),
		calls:        make(map[direction]map[string]*metrics.Counter),
		drops:        byReason(set, "walnut_peer_dropped_total", dropReasons),
		ends:         byReason(set, "walnut_peer_sessions_ended_total", endReasons),
		dialFailures: byReason(set, "walnut_peer_dial_failures_total", failures),
		refusals:     byReason(set, "walnut_peer_refusals_total", failures),
		dialled:      set.GetOrCreateCounter(`walnut_peer_sessions_opened_total{role="dialled"}`),
		accepted:     set.GetOrCreateCounter(`walnut_peer_sessions_opened_total{role="accepted"}`),
		sessions:     set.GetOrCreateGauge(`walnut_peer_sessions`, nil),
		pings:        set.GetOrCreateCounter(`walnut_peer_pings_total`),
		flushes:      set.GetOrCreateCounter(`walnut_peer_flushes_total`),
	}
	for _, d := range []direction{directionIn, directionOut} {
		c.messages[d] = byKind(set, d)
		c.bytes[d] = set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_wire_bytes_total{direction=%q}`, d))
		c.calls[d] = make(map[string]*metrics.Counter)
		for _, result := range callResults {
			name := fmt.Sprintf(`walnut_peer_calls_total{direction=%q,result=%q}`, d, result)
			c.calls[d][result] = set.GetOrCreateCounter(name)
		}
	}
	return c
}

func byReason[R ~string](set *metrics.Set, name string, reasons []R) map[R]*metrics.Counter {
	result := make(map[R]*metrics.Counter)
	for _, reason := range reasons {
		result[reason] = set.GetOrCreateCounter(fmt.Sprintf(`%s{reason=%q}`, name, string(reason)))
	}
	return result
}

func byKind(set *metrics.Set, d direction) map[wire.Kind]kindCounters {
	result := make(map[wire.Kind]kindCounters)
	for _, kind := range wire.Kinds {
		labels := fmt.Sprintf(`{direction=%q,kind=%q}`, d, kind)
		result[kind] = kindCounters{
			messages: set.GetOrCreateCounter(`walnut_peer_messages_total` + labels),
			bytes:    set.GetOrCreateCounter(`walnut_peer_message_bytes_total` + labels),
		}
	}
	return result
}

// observer counts the entries of one direction.
func (c counters) observer(d direction) wire.Observer {
	kinds := c.messages[d]
	return func(kind wire.Kind, bytes int) {
		kinds[kind].messages.Inc()
		kinds[kind].bytes.Add(bytes)
	}
}

func (c counters) dropped(reason dropReason, count int) { c.drops[reason].Add(count) }

func (c counters) sessionEnded(reason endReason, started bool) {
	c.ends[reason].Inc()
	if started {
		c.sessions.Dec()
	}
}

func (c counters) sessionStarted(dialled bool) {
	c.sessions.Inc()
	if dialled {
		c.dialled.Inc()
	} else {
		c.accepted.Inc()
	}
}

func (c counters) dialFailed(reason failure)       { c.dialFailures[reason].Inc() }
func (c counters) acceptRefused(reason failure)    { c.refusals[reason].Inc() }
func (c counters) call(d direction, result string) { c.calls[d][result].Inc() }

// countedConn counts the bytes of a connection, below TLS and yamux.
type countedConn struct {
	net.Conn
	in  *metrics.Counter
	out *metrics.Counter
}

func (c counters) conn(conn net.Conn) net.Conn {
	return &countedConn{
		Conn: conn,
		in:   c.bytes[directionIn],
		out:  c.bytes[directionOut],
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
