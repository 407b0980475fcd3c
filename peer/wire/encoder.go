package wire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// A reference is what a message contains in place of a name, an origin or a shard.
// References below the first*Ref values have fixed meanings; the others are slot
// numbers offset by these values.
const (
	// refNone refers to the empty name and the zero shard.
	refNone       = 0
	firstNameRef  = 1
	firstShardRef = 1
	// refSender and refReceiver refer to the two ends of the session.
	refSender      = 0
	refReceiver    = 1
	firstOriginRef = 2
)

// Encoder encodes the frames of one direction of a session. It is not safe for
// concurrent use.
type Encoder struct {
	sender     Origin
	receiver   Origin
	observe    Observer
	names      *encodingTable[string]
	origins    *encodingTable[Origin]
	shards     *encodingTable[control.ShardID]
	frame      *peerpb.Frame
	frameBytes int
}

// NewEncoder returns an encoder with empty tables. The observer may be nil.
func NewEncoder(sender, receiver Origin, observe Observer) *Encoder {
	if observe == nil {
		observe = func(Kind, int) {}
	}
	return &Encoder{
		sender:   sender,
		receiver: receiver,
		observe:  observe,
		names:    newEncodingTable[string](nameSlots, nameMargin),
		origins:  newEncodingTable[Origin](originSlots, originMargin),
		shards:   newEncodingTable[control.ShardID](shardSlots, shardMargin),
	}
}

// EncodeFrame encodes messages from the front of a list until the frame is full.
// It returns the frame and the number of messages taken from the list. On an error
// the last of these could not be encoded and is left out; the frame must be sent
// all the same, since it may hold definitions.
func (e *Encoder) EncodeFrame(messages []control.Message) (frame *peerpb.Frame, taken int, err error) {
	e.frame = &peerpb.Frame{}
	e.frameBytes = 0
	for taken < len(messages) && e.frameBytes < fullFrameBytes && err == nil {
		err = e.appendMessage(messages[taken])
		taken++
	}
	return e.frame, taken, err
}

// appendMessage encodes a message and adds its entry to the frame.
func (e *Encoder) appendMessage(message control.Message) error {
	entry, err := e.encode(message)
	if err != nil {
		return err
	}
	e.append(entry, KindOf(message))
	return nil
}

// append adds an entry to the frame and passes its size to the observer.
func (e *Encoder) append(entry *peerpb.Entry, kind Kind) {
	e.frame.Entries = append(e.frame.Entries, entry)
	size := proto.Size(entry)
	e.frameBytes += size
	e.observe(kind, size)
}

// nameRef returns the reference of a name, which it defines if needed.
func (e *Encoder) nameRef(name string) (uint32, error) {
	if name == "" {
		return refNone, nil
	}
	if len(name) > MaxNameBytes {
		return 0, fmt.Errorf("%w: name of %d bytes", ErrTooLarge, len(name))
	}
	slot, ok := e.names.lookup(name)
	if !ok {
		slot = e.names.define(name)
		e.append(&peerpb.Entry{Kind: &peerpb.Entry_Name{Name: name}}, KindDefinition)
	}
	return uint32(slot + firstNameRef), nil
}

func (e *Encoder) nameRefs(names []string) ([]uint32, error) {
	if err := checkListLength(len(names)); err != nil {
		return nil, err
	}
	var refs []uint32
	for _, name := range names {
		ref, err := e.nameRef(name)
		if err != nil {
			return nil, err
		}
		refs = append(refs, ref)
	}
	return refs, nil
}

// originRef returns the reference of an origin, which it defines if needed.
func (e *Encoder) originRef(node control.NodeID, incarnation control.Incarnation) (uint32, error) {
	origin := Origin{Node: node, Incarnation: incarnation}
	switch origin {
	case e.sender:
		return refSender, nil
	case e.receiver:
		return refReceiver, nil
	}
	slot, ok := e.origins.lookup(origin)
	if ok {
		return uint32(slot + firstOriginRef), nil
	}
	name, err := e.nameRef(string(node))
	if err != nil {
		return 0, err
	}
	slot = e.origins.define(origin)
	definition := &peerpb.OriginDefinition{Node: name, Incarnation: uint64(incarnation)}
	e.append(&peerpb.Entry{Kind: &peerpb.Entry_Origin{Origin: definition}}, KindDefinition)
	return uint32(slot + firstOriginRef), nil
}

// shardRef returns the reference of a shard, which it defines if needed.
func (e *Encoder) shardRef(shard control.ShardID) (uint32, error) {
	if shard == (control.ShardID{}) {
		return refNone, nil
	}
	slot, ok := e.shards.lookup(shard)
	if ok {
		return uint32(slot + firstShardRef), nil
	}
	pool, err := e.nameRef(shard.Pool)
	if err != nil {
		return 0, err
	}
	dataCentre, err := e.nameRef(shard.DataCentre)
	if err != nil {
		return 0, err
	}
	slot = e.shards.define(shard)
	definition := &peerpb.ShardDefinition{Pool: pool, DataCentre: dataCentre}
	e.append(&peerpb.Entry{Kind: &peerpb.Entry_Shard{Shard: definition}}, KindDefinition)
	return uint32(slot + firstShardRef), nil
}
