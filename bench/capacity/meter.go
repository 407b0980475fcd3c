package capacity

import (
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// bytesPerFlush is the overhead of one write to a session on the wire, on top of
// the encoded frame: the yamux header (12 bytes) and the TLS 1.3 record (22 bytes).
// TCP and IP headers are not counted.
const bytesPerFlush = 12 + 22

// meter counts the messages that a node sends and their bytes in the encoding that
// sessions use.
type meter struct {
	self     control.NodeID
	encoders map[control.NodeID]*wire.Encoder
	byKind   map[wire.Kind]*traffic
}

// traffic is a number of messages and of bytes on the wire.
type traffic struct {
	messages float64
	bytes    float64
}

func newMeter(self control.NodeID) *meter {
	return &meter{
		self:     self,
		encoders: make(map[control.NodeID]*wire.Encoder),
		byKind:   make(map[wire.Kind]*traffic),
	}
}

// reset clears the counts but keeps the encoders, which hold the tables of the
// sessions.
func (m *meter) reset() { m.byKind = make(map[wire.Kind]*traffic) }

// peers returns how many nodes have been sent a message.
func (m *meter) peers() int { return len(m.encoders) }

// flush counts messages to one node that go in one write. The overhead of the write
// is spread evenly over them; the bytes of a definition count for the message that
// needs it.
func (m *meter) flush(to control.NodeID, messages []control.Message) {
	encoder := m.encoders[to]
	if encoder == nil {
		sender := wire.Origin{Node: m.self, Incarnation: 1}
		encoder = wire.NewEncoder(sender, wire.Origin{Node: to, Incarnation: 1}, nil)
		m.encoders[to] = encoder
	}
	for _, message := range messages {
		overhead := bytesPerFlush / float64(len(messages))
		frame, _, err := encoder.EncodeFrame([]control.Message{message})
		if err != nil {
			panic(err) // every message of the state machine has an encoding
		}
		var frameBytes countingWriter
		if _, err := protodelim.MarshalTo(&frameBytes, frame); err != nil {
			panic(err)
		}
		m.add(wire.KindOf(message), 1, overhead+float64(frameBytes))
	}
}

func (m *meter) add(kind wire.Kind, messages, bytes float64) {
	t := m.byKind[kind]
	if t == nil {
		t = &traffic{}
		m.byKind[kind] = t
	}
	t.messages += messages
	t.bytes += bytes
}

// total sums the traffic of the given kinds, or of all kinds if none is given.
func (m *meter) total(kinds ...wire.Kind) traffic {
	var sum traffic
	if len(kinds) == 0 {
		kinds = wire.Kinds
	}
	for _, kind := range kinds {
		if t := m.byKind[kind]; t != nil {
			sum.messages += t.messages
			sum.bytes += t.bytes
		}
	}
	return sum
}

// perSecond returns the traffic per second of elapsed time.
func (t traffic) perSecond(elapsed time.Duration) traffic {
	return traffic{t.messages / elapsed.Seconds(), t.bytes / elapsed.Seconds()}
}

// countingWriter counts the bytes written to it.
type countingWriter int

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}
