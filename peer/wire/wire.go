// Package wire encodes control messages into frames and decodes them.
//
// An Encoder and the Decoder at the other end of a session maintain identical
// tables of names, origins and shards: a definition entry assigns a value to the
// next slot of its table, and later messages refer to the value by the slot's
// number. The tables are ring buffers, so a session's memory is bounded; an
// evicted value is defined again when it is next used.
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
	// MaxFrameBytes bounds an encoded frame. A longer frame is rejected.
	MaxFrameBytes = 64 << 10
	// fullFrameBytes is the size at which a frame is full: no message is added
	// to a frame that has reached it.
	fullFrameBytes = 16 << 10
	// MaxNameBytes bounds a node, workspace, target, pool or data centre name.
	MaxNameBytes = 256
	// MaxListItems bounds the lists inside a message. Service reports and totals
	// with longer lists are split; other messages with longer lists can't be sent.
	MaxListItems = 100
)

// Errors of encoding and decoding, wrapped with details.
var (
	// ErrTooLarge reports that a name or a list exceeds its limit.
	ErrTooLarge = errors.New("message too large")
	// ErrUnknownKind reports that a message or an entry has no codec.
	ErrUnknownKind = errors.New("unknown message kind")
	// ErrBadReference reports that an entry refers to a slot that is not defined.
	ErrBadReference = errors.New("undefined reference")
	// ErrMalformed reports that a frame's content violates the protocol.
	ErrMalformed = errors.New("malformed frame")
)

// Origin is one incarnation of a node.
type Origin struct {
	Node        control.NodeID
	Incarnation control.Incarnation
}

// Observer is called with the kind and the encoded size of each entry.
// Definitions have the kind KindDefinition.
type Observer func(kind Kind, bytes int)

// Kind is the kind of an entry, used as a metric label.
type Kind string

// KindDefinition is the kind of the entries that define table slots.
const KindDefinition Kind = "definition"

// SplitServiceCounts splits each service report and each service totals message
// with more than MaxListItems counts into several. Other messages are unchanged.
func SplitServiceCounts(messages []control.Message) []control.Message {
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

// toMicros converts a duration to microseconds, the unit on the wire, rounding
// towards zero.
func toMicros(d time.Duration) int64 { return d.Microseconds() }

// fromMicros converts microseconds to a duration. Values out of range saturate.
func fromMicros(us int64) time.Duration {
	const limit = int64(1<<63-1) / int64(time.Microsecond)
	us = max(-limit, min(us, limit))
	return time.Duration(us) * time.Microsecond
}

// checkListLength rejects lists that are too long for one message.
func checkListLength(length int) error {
	if length > MaxListItems {
		return fmt.Errorf("%w: list of %d items", ErrTooLarge, length)
	}
	return nil
}

// isDefinition reports whether an entry defines a table slot.
func isDefinition(entry *peerpb.Entry) bool {
	switch entry.Kind.(type) {
	case *peerpb.Entry_Name, *peerpb.Entry_Origin, *peerpb.Entry_Shard:
		return true
	default:
		return false
	}
}
