package wire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// References below these values have fixed meanings.
const (
	// refNone is the empty name and the zero shard.
	refNone       = 0
	firstNameRef  = 1
	firstShardRef = 1
	// refSender and refReceiver are the session's two ends.
	refSender      = 0
	refReceiver    = 1
	firstOriginRef = 2
)

// Encoder builds the frames of one direction of a session. It is not safe for
// concurrent use.
type Encoder struct {
	sender   Origin
	receiver Origin
	observe  Observer
	names    *encodingTable[string]
	origins  *encodingTable[Origin]
	shards   *encodingTable[control.ShardID]
	frame    *peerpb.Frame
	bytes    int
}

// NewEncoder starts with empty tables. The observer may be nil.
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

// Frame encodes messages from the front of a list until the frame is full. It
// returns the frame, to be sent in any case, and the count of messages taken.
// With an error the last message taken can't be encoded and is left out.
func (e *Encoder) Frame(messages []control.Message) (frame *peerpb.Frame, taken int, err error) {
	e.frame = &peerpb.Frame{}
	e.bytes = 0
	for taken < len(messages) && e.bytes < frameTargetBytes && err == nil {
		err = e.message(messages[taken])
		taken++
	}
	return e.frame, taken, err
}

func (e *Encoder) message(message control.Message) error {
	entry, err := e.encode(message)
	if err != nil {
		return err
	}
	e.append(entry, KindOf(message))
	return nil
}

func (e *Encoder) append(entry *peerpb.Entry, kind Kind) {
	e.frame.Entries = append(e.frame.Entries, entry)
	size := proto.Size(entry)
	e.bytes += size
	e.observe(kind, size)
}

// name returns the reference of a name and defines it if needed.
func (e *Encoder) name(name string) (uint32, error) {
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

func (e *Encoder) nameList(names []string) ([]uint32, error) {
	if err := checkList(len(names)); err != nil {
		return nil, err
	}
	var refs []uint32
	for _, name := range names {
		ref, err := e.name(name)
		if err != nil {
			return nil, err
		}
		refs = append(refs, ref)
	}
	return refs, nil
}

// origin returns the reference of an origin and defines it if needed.
func (e *Encoder) origin(node control.NodeID, incarnation control.Incarnation) (uint32, error) {
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
	name, err := e.name(string(node))
	if err != nil {
		return 0, err
	}
	slot = e.origins.define(origin)
	define := &peerpb.OriginDefinition{Node: name, Incarnation: uint64(incarnation)}
	e.append(&peerpb.Entry{Kind: &peerpb.Entry_Origin{Origin: define}}, KindDefinition)
	return uint32(slot + firstOriginRef), nil
}

// shard returns the reference of a shard and defines it if needed.
func (e *Encoder) shard(shard control.ShardID) (uint32, error) {
	if shard == (control.ShardID{}) {
		return refNone, nil
	}
	slot, ok := e.shards.lookup(shard)
	if ok {
		return uint32(slot + firstShardRef), nil
	}
	pool, err := e.name(shard.Pool)
	if err != nil {
		return 0, err
	}
	dataCentre, err := e.name(shard.DataCentre)
	if err != nil {
		return 0, err
	}
	slot = e.shards.define(shard)
	define := &peerpb.ShardDefinition{Pool: pool, DataCentre: dataCentre}
	e.append(&peerpb.Entry{Kind: &peerpb.Entry_Shard{Shard: define}}, KindDefinition)
	return uint32(slot + firstShardRef), nil
}
