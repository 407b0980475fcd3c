package wire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// Decoder decodes the frames of one direction of a session. It is not safe for
// concurrent use, and must not be used after an error.
type Decoder struct {
	sender   Origin
	receiver Origin
	observe  Observer
	names    decodingTable[string]
	origins  decodingTable[Origin]
	shards   decodingTable[control.ShardID]
}

// NewDecoder returns a decoder with empty tables. The observer may be nil.
func NewDecoder(sender, receiver Origin, observe Observer) *Decoder {
	if observe == nil {
		observe = func(Kind, int) {}
	}
	return &Decoder{
		sender:   sender,
		receiver: receiver,
		observe:  observe,
		names:    decodingTable[string]{size: nameSlots},
		origins:  decodingTable[Origin]{size: originSlots},
		shards:   decodingTable[control.ShardID]{size: shardSlots},
	}
}

// DecodeFrame returns the messages of a frame in order and stores its definitions.
func (d *Decoder) DecodeFrame(frame *peerpb.Frame) ([]control.Message, error) {
	messages := make([]control.Message, 0, len(frame.Entries))
	for _, entry := range frame.Entries {
		if isDefinition(entry) {
			if err := d.define(entry); err != nil {
				return nil, err
			}
			d.observe(KindDefinition, proto.Size(entry))
			continue
		}
		message, err := d.decode(entry)
		if err != nil {
			return nil, err
		}
		d.observe(KindOf(message), proto.Size(entry))
		messages = append(messages, message)
	}
	return messages, nil
}

// define stores the value of a definition entry in its table.
func (d *Decoder) define(entry *peerpb.Entry) error {
	switch kind := entry.Kind.(type) {
	case *peerpb.Entry_Name:
		return d.defineName(kind.Name)
	case *peerpb.Entry_Origin:
		return d.defineOrigin(kind.Origin)
	case *peerpb.Entry_Shard:
		return d.defineShard(kind.Shard)
	default:
		return fmt.Errorf("%w: definition %T", ErrUnknownKind, kind)
	}
}

func (d *Decoder) defineName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%w: name of %d bytes", ErrMalformed, len(name))
	}
	d.names.define(name)
	return nil
}

func (d *Decoder) defineOrigin(definition *peerpb.OriginDefinition) error {
	node, err := d.name(definition.GetNode())
	if err != nil {
		return err
	}
	incarnation := control.Incarnation(definition.GetIncarnation())
	d.origins.define(Origin{Node: control.NodeID(node), Incarnation: incarnation})
	return nil
}

func (d *Decoder) defineShard(definition *peerpb.ShardDefinition) error {
	pool, err := d.name(definition.GetPool())
	if err != nil {
		return err
	}
	dataCentre, err := d.name(definition.GetDataCentre())
	if err != nil {
		return err
	}
	d.shards.define(control.ShardID{Pool: pool, DataCentre: dataCentre})
	return nil
}

func (d *Decoder) name(ref uint32) (string, error) {
	if ref == refNone {
		return "", nil
	}
	return d.names.get(int(ref) - firstNameRef)
}

func (d *Decoder) nameList(refs []uint32) ([]string, error) {
	if err := checkListLength(len(refs)); err != nil {
		return nil, err
	}
	var names []string
	for _, ref := range refs {
		name, err := d.name(ref)
		if err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

func (d *Decoder) origin(ref uint32) (Origin, error) {
	switch ref {
	case refSender:
		return d.sender, nil
	case refReceiver:
		return d.receiver, nil
	default:
		return d.origins.get(int(ref) - firstOriginRef)
	}
}

func (d *Decoder) shard(ref uint32) (control.ShardID, error) {
	if ref == refNone {
		return control.ShardID{}, nil
	}
	return d.shards.get(int(ref) - firstShardRef)
}
