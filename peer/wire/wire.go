// Package wire turns control messages into frames and back.
//
// An Encoder and the Decoder at the other end of a session keep the same
// tables of names, origins and shards: a definition entry gives a value the
// next slot of its table, and later messages carry the slot's number. The
// tables are rings, so a session's memory is bounded; an evicted value is
// defined again when it is next used.
package wire

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

const (
	// MaxFrameBytes bounds an encoded frame. A longer one is refused.
	MaxFrameBytes = 64 << 10
	// frameTargetBytes ends a frame: no entry is added beyond it.
	frameTargetBytes = 16 << 10
	// MaxNameBytes bounds a node, workspace, target, pool or data centre name.
	MaxNameBytes = 256
	// MaxListItems bounds the lists inside a message. Longer service reports
	// are split; other messages with longer lists can't be sent.
	MaxListItems = 100
)

// Errors that encoding and decoding give, wrapped with details.
var (
	// ErrTooLarge says that a name or a list exceeds its limit.
	ErrTooLarge = errors.New("message too large")
	// ErrUnknownKind says that a message or an entry has no codec.
	ErrUnknownKind = errors.New("unknown message kind")
	// ErrBadReference says that an entry refers to an undefined slot.
	ErrBadReference = errors.New("bad reference")
	// ErrMalformed says that a frame's content breaks the protocol.
	ErrMalformed = errors.New("malformed frame")
)

// Origin is one incarnation of a node.
type Origin struct {
	Node        control.NodeID
	Incarnation control.Incarnation
}

// Observer is told the encoded size of each entry. Definitions have the kind
// "definition".
type Observer func(kind Kind, bytes int)

// Kind names a kind of entry, for counters.
type Kind string

// KindDefinition is the kind of the entries that define table slots.
const KindDefinition Kind = "definition"

// Split cuts service reports with more than MaxListItems counts into several.
func Split(messages []control.Message) []control.Message {
	parts := make([]control.Message, 0, len(messages))
	for _, message := range messages {
		switch m := message.(type) {
		case control.ServiceReport:
			for _, counts := range splitCounts(m.Counts) {
				parts = append(parts, control.ServiceReport{Counts: counts})
			}
		case control.ServiceTotals:
			for _, counts := range splitCounts(m.Counts) {
				parts = append(parts, control.ServiceTotals{Counts: counts})
			}
		default:
			parts = append(parts, message)
		}
	}
	return parts
}

func splitCounts(counts []control.ServiceCount) [][]control.ServiceCount {
	if len(counts) == 0 {
		return [][]control.ServiceCount{nil}
	}
	return slices.Collect(slices.Chunk(counts, MaxListItems))
}

// micros rounds a duration to the wire's unit, towards zero.
func micros(d time.Duration) int64 { return d.Microseconds() }

// fromMicros converts a duration of the wire. Out of range values saturate.
func fromMicros(us int64) time.Duration {
	const limit = int64(1<<63-1) / int64(time.Microsecond)
	us = max(-limit, min(us, limit))
	return time.Duration(us) * time.Microsecond
}

// checkList refuses lists that are too long for one message.
func checkList(length int) error {
	if length > MaxListItems {
		return fmt.Errorf("%w: list of %d", ErrTooLarge, length)
	}
	return nil
}

func definition(entry *peerpb.Entry) bool {
	switch entry.Kind.(type) {
	case *peerpb.Entry_Name, *peerpb.Entry_Origin, *peerpb.Entry_Shard:
		return true
	default:
		return false
	}
}
