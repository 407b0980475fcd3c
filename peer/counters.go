package peer

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/peer/wire"
)

// dropReason is the reason for which a message was not sent or not delivered.
type dropReason string

const (
	dropQueueFull    dropReason = "queue-full"       // Options.MaxQueuedMessages were queued
	dropUnreachable  dropReason = "unreachable"      // the last dial failed
	dropNoAddress    dropReason = "no-address"       // the node's address is not known
	dropClosed       dropReason = "closed"           // the mesh or the link was closed
	dropSelf         dropReason = "self"             // the message was addressed to this node
	dropNotEncodable dropReason = "not-encodable"    // package wire could not encode the message
	dropWriteFailed  dropReason = "write-failed"     // writing the batch failed
	dropReplaced     dropReason = "session-replaced" // received on a session that was replaced or had ended
)

// endReason is the reason for which a session ended.
type endReason string

const (
	endClosed    endReason = "closed"    // Close was called on this node
	endIdle      endReason = "idle"      // no message or call in either direction for Options.IdleTimeout
	endShutdown  endReason = "shutdown"  // Close was called on the other node
	endLost      endReason = "lost"      // the connection broke
	endNoAnswer  endReason = "no-answer" // a ping was not answered
	endStalled   endReason = "stalled"   // a write did not finish in time
	endGarbage   endReason = "garbage"   // an invalid frame was received
	endOversize  endReason = "oversize"  // a frame exceeded wire.MaxFrameBytes
	endStreams   endReason = "streams"   // the other side opened too many streams
	endDuplicate endReason = "duplicate" // another session between the same processes takes precedence
	endRestarted endReason = "restarted" // a newer incarnation of the node connected
	endMoved     endReason = "moved"     // the node's address changed
)

// failReason is the reason for which a connection did not become a session.
type failReason string

const (
	failConnect   failReason = "connect"            // the TCP connection could not be opened
	failTLS       failReason = "tls"                // the TLS handshake failed
	failHello     failReason = "hello"              // a hello was invalid, incomplete or late
	failProtocol  failReason = "protocol"           // the protocol versions differ
	failIdentity  failReason = "identity"           // the certificate is not for the node
	failWrongNode failReason = "wrong-node"         // the connection reached another node than expected
	failStale     failReason = "stale-incarnation"  // another incarnation of the node replaced this one
	failDuplicate failReason = "duplicate"          // another connection of the pair takes precedence
	failLimit     failReason = "limit"              // Options.MaxSessions or maxHandshakes was reached
	failPlain     failReason = "plain-not-loopback" // an address outside loopback needs TLS
	failClosed    failReason = "closed"             // the mesh or the link was closed
	failChannel   failReason = "channel"            // the channel is not offered
)

// Values of the "role" label of the channel counter.
const (
	roleDialled  = "dialled"
	roleAccepted = "accepted"
)

// All label values, so that each counter is exported from the start.
var (
	dropReasons = []dropReason{
		dropQueueFull, dropUnreachable, dropNoAddress, dropClosed, dropSelf, dropNotEncodable,
		dropWriteFailed, dropReplaced,
	}
	endReasons = []endReason{
		endClosed, endIdle, endShutdown, endLost, endNoAnswer, endStalled, endGarbage, endOversize, endStreams,
		endDuplicate, endRestarted, endMoved,
	}
	failReasons = []failReason{
		failConnect, failTLS, failHello, failProtocol, failIdentity, failWrongNode, failStale,
		failDuplicate, failLimit, failPlain, failClosed, failChannel,
	}
	callResults = []string{
		resultAnswered, resultUnreachable, resultTooLarge, resultSessionEnded, resultCancelled,
		resultBusy, resultFailed,
	}
)

// direction is the direction of messages, calls and bytes, seen from this node.
type direction string

const (
	directionIn  direction = "in"
	directionOut direction = "out"
)

// counters are the metrics of a Mesh. docs/PEERS.md lists them.
type counters struct {
	messages     map[direction]map[wire.Kind]kindCounters
	bytes        map[direction]*metrics.Counter
	channelBytes map[direction]*metrics.Counter
	calls        map[direction]map[string]*metrics.Counter
	drops        map[dropReason]*metrics.Counter
	ends         map[endReason]*metrics.Counter
	dialFailures map[failReason]*metrics.Counter
	refusals     map[failReason]*metrics.Counter
	dialled      *metrics.Counter
	accepted     *metrics.Counter
	sessions     *metrics.Gauge
	channels     map[string]*metrics.Counter // by role
	openChannels *metrics.Gauge
	pings        *metrics.Counter
	flushes      *metrics.Counter
}

// kindCounters count the messages of one kind in one direction, and their encoded bytes.
type kindCounters struct {
	messages *metrics.Counter
	bytes    *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		messages:     make(map[direction]map[wire.Kind]kindCounters),
		bytes:        make(map[direction]*metrics.Counter),
		channelBytes: make(map[direction]*metrics.Counter),
		calls:        make(map[direction]map[string]*metrics.Counter),
		drops:        byReason(set, "walnut_peer_dropped_total", dropReasons),
		ends:         byReason(set, "walnut_peer_sessions_ended_total", endReasons),
		dialFailures: byReason(set, "walnut_peer_dial_failures_total", failReasons),
		refusals:     byReason(set, "walnut_peer_refusals_total", failReasons),
		dialled:      set.GetOrCreateCounter(`walnut_peer_sessions_opened_total{role="dialled"}`),
		accepted:     set.GetOrCreateCounter(`walnut_peer_sessions_opened_total{role="accepted"}`),
		sessions:     set.GetOrCreateGauge(`walnut_peer_sessions`, nil),
		channels: map[string]*metrics.Counter{
			roleDialled:  set.GetOrCreateCounter(`walnut_peer_channels_opened_total{role="dialled"}`),
			roleAccepted: set.GetOrCreateCounter(`walnut_peer_channels_opened_total{role="accepted"}`),
		},
		openChannels: set.GetOrCreateGauge(`walnut_peer_channels`, nil),
		pings:        set.GetOrCreateCounter(`walnut_peer_pings_total`),
		flushes:      set.GetOrCreateCounter(`walnut_peer_flushes_total`),
	}
	for _, d := range []direction{directionIn, directionOut} {
		c.messages[d] = byKind(set, d)
		c.bytes[d] = set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_wire_bytes_total{direction=%q}`, d))
		c.channelBytes[d] = set.GetOrCreateCounter(fmt.Sprintf(`walnut_peer_channel_bytes_total{direction=%q}`, d))
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

// observer returns a function that counts the entries of one direction.
func (c counters) observer(d direction) wire.Observer {
	kinds := c.messages[d]
	return func(kind wire.Kind, bytes int) {
		kinds[kind].messages.Inc()
		kinds[kind].bytes.Add(bytes)
	}
}

func (c counters) countDropped(reason dropReason, count int) { c.drops[reason].Add(count) }

func (c counters) countSessionEnded(reason endReason, started bool) {
	c.ends[reason].Inc()
	if started {
		c.sessions.Dec()
	}
}

func (c counters) countSessionStarted(dialled bool) {
	c.sessions.Inc()
	if dialled {
		c.dialled.Inc()
	} else {
		c.accepted.Inc()
	}
}

func (c counters) countDialFailure(reason failReason)   { c.dialFailures[reason].Inc() }
func (c counters) countRefusal(reason failReason)       { c.refusals[reason].Inc() }
func (c counters) countCall(d direction, result string) { c.calls[d][result].Inc() }

// countedConn counts the bytes of a TCP connection, including the overhead of TLS
// and yamux.
type countedConn struct {
	net.Conn
	in  *metrics.Counter
	out *metrics.Counter
}

// countBytes wraps a connection in a countedConn.
func (c counters) countBytes(conn net.Conn) net.Conn {
	return &countedConn{
		Conn: conn,
		in:   c.bytes[directionIn],
		out:  c.bytes[directionOut],
	}
}

// countChannelBytes is countBytes for a channel.
func (c counters) countChannelBytes(conn net.Conn) net.Conn {
	counted := &countedConn{Conn: conn}
	c.moveToChannels(counted)
	return counted
}

// moveToChannels counts further bytes of a connection as those of a channel. The caller makes sure
// that the connection is not read or written meanwhile.
func (c counters) moveToChannels(conn *countedConn) {
	conn.in = c.channelBytes[directionIn]
	conn.out = c.channelBytes[directionOut]
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
