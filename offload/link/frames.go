package link

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/offload/link/linkpb"
)

// The frames are encoded and decoded by hand with package protowire: the generated code allocates
// a message, its kind and a copy of its bytes for each frame.

const (
	// maxPartBytes bounds the request or response bytes in a frame that is sent. Accepted are
	// frames of maxFrameBytes, so that builds with longer parts are understood.
	maxPartBytes  = 16 << 10
	maxFrameBytes = 65 << 10
	// frameOverheadBytes bounds the encoded size of a frame without bytes and ID.
	frameOverheadBytes = 64
	// maxIDBytes is the length to which request IDs are cut.
	maxIDBytes = 256
)

// errFrame reports a frame that cannot be decoded or breaks the protocol.
var errFrame = errors.New("invalid frame")

// kind is the field number of a kind of frame in linkpb.Frame.
type kind = protowire.Number

const (
	kindRequest   kind = 1
	kindAnswer    kind = 2
	kindCancel    kind = 3
	kindTaken     kind = 4
	kindPing      kind = 5
	kindAllowance kind = 6
)

// frame is a decoded frame. Which fields are used depends on the kind. bytes refers to the
// decoded buffer.
type frame struct {
	kind    kind
	number  uint64
	id      string
	config  uint64
	waited  uint64
	size    uint64
	queued  uint64
	bytes   []byte
	end     linkpb.End
	taken   uint64
	wanted  uint64
	total   uint64
	maxOpen uint64
	closing bool
}

var ends = map[offload.Outcome]linkpb.End{
	offload.Complete: linkpb.End_END_COMPLETE,
	offload.Declined: linkpb.End_END_DECLINED,
	offload.Broken:   linkpb.End_END_BROKEN,
}

// outcomeOf returns the outcome of a request that ended.
func outcomeOf(end linkpb.End) offload.Outcome {
	switch end {
	case linkpb.End_END_COMPLETE:
		return offload.Complete
	case linkpb.End_END_DECLINED:
		return offload.Declined
	default:
		return offload.Broken
	}
}

// sizeUint returns the encoded size of a varint field; 0 is omitted. Field numbers are below 16.
func sizeUint(value uint64) int {
	if value == 0 {
		return 0
	}
	return 1 + protowire.SizeVarint(value)
}

// sizeBytes returns the encoded size of a bytes field; empty is omitted.
func sizeBytes(length int) int {
	if length == 0 {
		return 0
	}
	return 1 + protowire.SizeBytes(length)
}

func appendUint(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

func appendBytes[T string | []byte](b []byte, field protowire.Number, value T) []byte {
	if len(value) == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(value)))
	return append(b, value...)
}

// appendHead appends the length of a frame, its kind and the length of its message.
func appendHead(b []byte, k kind, messageBytes int) []byte {
	b = protowire.AppendVarint(b, uint64(1+protowire.SizeBytes(messageBytes)))
	b = protowire.AppendTag(b, k, protowire.BytesType)
	return protowire.AppendVarint(b, uint64(messageBytes))
}

// appendRequest appends a part of a request.
func appendRequest(b []byte, f frame) []byte {
	size := sizeUint(f.number) + sizeBytes(len(f.id)) + sizeUint(f.config) + sizeUint(f.waited) +
		sizeUint(f.size) + sizeBytes(len(f.bytes)) + sizeUint(f.queued)
	b = appendHead(b, kindRequest, size)
	b = appendUint(b, 1, f.number)
	b = appendBytes(b, 2, f.id)
	b = appendUint(b, 3, f.config)
	b = appendUint(b, 4, f.waited)
	b = appendUint(b, 5, f.size)
	b = appendBytes(b, 6, f.bytes)
	return appendUint(b, 7, f.queued)
}

func appendAnswer(b []byte, number uint64, bytes []byte, end linkpb.End) []byte {
	b = appendHead(b, kindAnswer, sizeUint(number)+sizeBytes(len(bytes))+sizeUint(uint64(end)))
	b = appendUint(b, 1, number)
	b = appendBytes(b, 2, bytes)
	return appendUint(b, 3, uint64(end))
}

func appendCancel(b []byte, number uint64) []byte {
	b = appendHead(b, kindCancel, sizeUint(number))
	return appendUint(b, 1, number)
}

func appendTaken(b []byte, number, bytes uint64) []byte {
	b = appendHead(b, kindTaken, sizeUint(number)+sizeUint(bytes))
	b = appendUint(b, 1, number)
	return appendUint(b, 2, bytes)
}

func appendPing(b []byte, wanted uint64) []byte {
	b = appendHead(b, kindPing, sizeUint(wanted))
	return appendUint(b, 1, wanted)
}

func appendAllowance(b []byte, total, maxOpen uint64, closing bool) []byte {
	last := uint64(0)
	if closing {
		last = 1
	}
	b = appendHead(b, kindAllowance, sizeUint(total)+sizeUint(maxOpen)+sizeUint(last))
	b = appendUint(b, 1, total)
	b = appendUint(b, 2, maxOpen)
	return appendUint(b, 3, last)
}

// nextFrame splits the first frame off a buffer. message is nil if the buffer does not hold all
// of it; need is then the bytes that the buffer must hold, or 0 if unknown.
func nextFrame(buffer []byte) (message, rest []byte, need int, err error) {
	length, n := binary.Uvarint(buffer)
	switch {
	case n == 0 && len(buffer) < binary.MaxVarintLen64:
		return nil, buffer, 0, nil
	case n <= 0 || length == 0 || length > maxFrameBytes:
		return nil, buffer, 0, fmt.Errorf("%w: length", errFrame)
	case len(buffer)-n < int(length):
		return nil, buffer, n + int(length), nil
	}
	return buffer[n : n+int(length)], buffer[n+int(length):], 0, nil
}

// decodeFrame decodes the message of a frame. Unknown kinds have kind 0; unknown fields are
// skipped.
func decodeFrame(message []byte) (frame, error) {
	f := frame{}
	outer := fields{rest: message}
	for outer.next() {
		if outer.kind != protowire.BytesType || outer.number < kindRequest || outer.number > kindAllowance {
			continue
		}
		if f.kind != 0 {
			return f, fmt.Errorf("%w: two kinds", errFrame)
		}
		f.kind = outer.number
		if err := f.decodeKind(outer.bytes); err != nil {
			return f, err
		}
	}
	return f, outer.err
}

// decodeKind decodes the message inside a frame.
func (f *frame) decodeKind(message []byte) error {
	inner := fields{rest: message}
	for inner.next() {
		switch f.kind {
		case kindRequest:
			f.setRequest(&inner)
		case kindAnswer:
			f.setAnswer(&inner)
		case kindPing:
			f.setPing(&inner)
		case kindAllowance:
			f.setAllowance(&inner)
		default:
			f.setCancelOrTaken(&inner)
		}
	}
	return inner.err
}

func (f *frame) setRequest(field *fields) {
	switch field.number {
	case 1:
		f.number = field.value
	case 2:
		f.id = string(field.bytes)
	case 3:
		f.config = field.value
	case 4:
		f.waited = field.value
	case 5:
		f.size = field.value
	case 6:
		f.bytes = field.bytes
	case 7:
		f.queued = field.value
	}
}

func (f *frame) setAnswer(field *fields) {
	switch field.number {
	case 1:
		f.number = field.value
	case 2:
		f.bytes = field.bytes
	case 3:
		f.end = linkpb.End(field.value)
	}
}

func (f *frame) setCancelOrTaken(field *fields) {
	switch field.number {
	case 1:
		f.number = field.value
	case 2:
		f.taken = field.value
	}
}

func (f *frame) setPing(field *fields) {
	if field.number == 1 {
		f.wanted = field.value
	}
}

func (f *frame) setAllowance(field *fields) {
	switch field.number {
	case 1:
		f.total = field.value
	case 2:
		f.maxOpen = field.value
	case 3:
		f.closing = field.value != 0
	}
}

// fields iterates over the fields of an encoded message.
type fields struct {
	rest   []byte
	number protowire.Number
	kind   protowire.Type
	value  uint64 // of a varint field
	bytes  []byte // of a bytes field
	err    error
}

// next decodes the next field. It returns false at the end and on an error.
func (f *fields) next() bool {
	if len(f.rest) == 0 {
		return false
	}
	number, kind, n := protowire.ConsumeTag(f.rest)
	if n < 0 {
		return f.fail()
	}
	f.number, f.kind, f.value, f.bytes = number, kind, 0, nil
	f.rest = f.rest[n:]
	switch kind {
	case protowire.VarintType:
		f.value, n = protowire.ConsumeVarint(f.rest)
	case protowire.BytesType:
		f.bytes, n = protowire.ConsumeBytes(f.rest)
	default:
		n = protowire.ConsumeFieldValue(number, kind, f.rest)
	}
	if n < 0 {
		return f.fail()
	}
	f.rest = f.rest[n:]
	return true
}

func (f *fields) fail() bool {
	f.err = fmt.Errorf("%w: encoding", errFrame)
	return false
}
