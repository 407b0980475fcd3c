package wire

import (
	"errors"
	"fmt"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/affinity"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

func (e *Encoder) encodeAffinity(a affinity.Affinity) (*peerpb.Affinity, error) {
	pool, errPool := e.nameRef(a.Pool)
	software, errSoftware := e.nameRef(a.Software)
	if err := errors.Join(errPool, errSoftware); err != nil {
		return nil, err
	}
	return &peerpb.Affinity{Pool: pool, Software: software}, nil
}

func (d *Decoder) decodeAffinity(p *peerpb.Affinity) (affinity.Affinity, error) {
	pool, errPool := d.name(p.GetPool())
	software, errSoftware := d.name(p.GetSoftware())
	return affinity.Affinity{Pool: pool, Software: software}, errors.Join(errPool, errSoftware)
}

func decodeKey(encoded []byte) (affinity.Key, error) {
	if len(encoded) != len(affinity.Key{}) {
		return affinity.Key{}, fmt.Errorf("%w: key of %d bytes", ErrMalformed, len(encoded))
	}
	return affinity.Key(encoded), nil
}

func (e *Encoder) encodeAffinityNotice(m control.AffinityNotice) (*peerpb.Entry, error) {
	if err := checkListLength(len(m.Records)); err != nil {
		return nil, err
	}
	p := &peerpb.AffinityNotice{}
	for _, record := range m.Records {
		encoded, err := e.encodeAffinity(record.Affinity)
		if err != nil {
			return nil, err
		}
		p.Key = append(p.Key, record.Key[:])
		p.Affinity = append(p.Affinity, encoded)
	}
	return &peerpb.Entry{Kind: &peerpb.Entry_AffinityNotice{AffinityNotice: p}}, nil
}

func (d *Decoder) decodeAffinityNotice(p *peerpb.AffinityNotice) (control.Message, error) {
	keys, affinities := p.GetKey(), p.GetAffinity()
	if len(keys) != len(affinities) {
		return nil, fmt.Errorf("%w: affinities of unequal length", ErrMalformed)
	}
	if err := checkListLength(len(keys)); err != nil {
		return nil, err
	}
	var m control.AffinityNotice
	for i := range keys {
		key, errKey := decodeKey(keys[i])
		decoded, errAffinity := d.decodeAffinity(affinities[i])
		if err := errors.Join(errKey, errAffinity); err != nil {
			return nil, err
		}
		m.Records = append(m.Records, affinity.Record{Key: key, Affinity: decoded})
	}
	return m, nil
}

func (e *Encoder) encodeAffinityQuery(m control.AffinityQuery) (*peerpb.Entry, error) {
	pool, err := e.nameRef(m.Pool)
	if err != nil {
		return nil, err
	}
	p := &peerpb.AffinityQuery{Lookup: m.Lookup, Named: m.Named, Key: m.Key[:], Pool: pool}
	return &peerpb.Entry{Kind: &peerpb.Entry_AffinityQuery{AffinityQuery: p}}, nil
}

func (d *Decoder) decodeAffinityQuery(p *peerpb.AffinityQuery) (control.Message, error) {
	key, errKey := decodeKey(p.GetKey())
	pool, errPool := d.name(p.GetPool())
	if err := errors.Join(errKey, errPool); err != nil {
		return nil, err
	}
	return control.AffinityQuery{Lookup: p.GetLookup(), Named: p.GetNamed(), Key: key, Pool: pool}, nil
}

func (e *Encoder) encodeAffinityAnswer(m control.AffinityAnswer) (*peerpb.Entry, error) {
	encoded, errAffinity := e.encodeAffinity(m.Affinity)
	software, errSoftware := e.nameRefs(m.Software)
	if err := errors.Join(errAffinity, errSoftware); err != nil {
		return nil, err
	}
	p := &peerpb.AffinityAnswer{Lookup: m.Lookup, Known: m.Known, Affinity: encoded, Software: software}
	return &peerpb.Entry{Kind: &peerpb.Entry_AffinityAnswer{AffinityAnswer: p}}, nil
}

func (d *Decoder) decodeAffinityAnswer(p *peerpb.AffinityAnswer) (control.Message, error) {
	decoded, errAffinity := d.decodeAffinity(p.GetAffinity())
	software, errSoftware := d.nameList(p.GetSoftware())
	if err := errors.Join(errAffinity, errSoftware); err != nil {
		return nil, err
	}
	return control.AffinityAnswer{Lookup: p.GetLookup(), Known: p.GetKnown(), Affinity: decoded, Software: software}, nil
}
