package capacity

import (
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// flushBytes is what one write to a session costs on the wire beside the
// encoded frame: the header of yamux (12 bytes) and the record of TLS 1.3
// (22). TCP and IP headers are not counted.
const flushBytes = 12 + 22

// meter counts what a node sends, by the encoding that sessions use.
type meter struct {
	self     control.NodeID
	encoders map[control.NodeID]*wire.Encoder
	kinds    map[wire.Kind]*traffic
}

// traffic is a count of messages and of bytes on the wire.
type traffic struct {
	messages float64
	bytes    float64
}

func newMeter(self control.NodeID) *meter {
	return &meter{
		self:     self,
		encoders: make(map[control.NodeID]*wire.Encoder),
		kinds:    make(map[wire.Kind]*traffic),
	}
}

// reset forgets the counts, but not what the sessions' tables hold.
func (m *meter) reset() { m.kinds = make(map[wire.Kind]*traffic) }

// peers returns how many nodes were sent something.
func (m *meter) peers() int { return len(m.encoders) }

// flush counts messages that one step sent to one node: they go in one write.
// The bytes of definitions and of the write are spread over the messages.
func (m *meter) flush(to control.NodeID, messages []control.Message) {
	encoder := m.encoders[to]
	if encoder == nil {
		sender := wire.Origin{Node: m.self, Incarnation: 1}
		encoder = wire.NewEncoder(sender, wire.Origin{Node: to, Incarnation: 1}, nil)
		m.encoders[to] = encoder
	}
	for _, message := range messages {
		size := flushBytes / float64(len(messages))
		frame, _, err := encoder.EncodeFrame([]control.Message{message})
		if err != nil {
			panic(err) // every message of the machine has a codec
		}
		var counted countingWriter
		if _, err := protodelim.MarshalTo(&counted, frame); err != nil {
			panic(err)
		}
		m.add(wire.KindOf(message), 1, size+float64(counted))
	}
}

func (m *meter) add(kind wire.Kind, messages, bytes float64) {
	t := m.kinds[kind]
	if t == nil {
		t = &traffic{}
		m.kinds[kind] = t
	}
	t.messages += messages
	t.bytes += bytes
}

// total sums over kinds; all of them if none is named.
func (m *meter) total(kinds ...wire.Kind) traffic {
	var sum traffic
	if len(kinds) == 0 {
		kinds = wire.Kinds
	}
	for _, kind := range kinds {
		if t := m.kinds[kind]; t != nil {
			sum.messages += t.messages
			sum.bytes += t.bytes
		}
	}
	return sum
}

// perSecond divides by the time.
func (t traffic) perSecond(elapsed time.Duration) traffic {
	return traffic{t.messages / elapsed.Seconds(), t.bytes / elapsed.Seconds()}
}

// countingWriter counts what is written to it.
type countingWriter int

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}
