package wire

import (
	"errors"
	"fmt"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/affinity"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

func (e *Encoder) encodeAffinityNotice(m control.AffinityNotice) (*peerpb.Entry, error) {
	if err := checkListLength(len(m.Records)); err != nil {
		return nil, err
	}
	p := &peerpb.AffinityNotice{}
	for _, record := range m.Records {
		pool, errPool := e.nameRef(record.Affinity.Pool)
		software, errSoftware := e.nameRef(record.Affinity.Software)
		if err := errors.Join(errPool, errSoftware); err != nil {
			return nil, err
		}
		p.Key = append(p.Key, uint64(record.Key))
		p.Pool = append(p.Pool, pool)
		p.Software = append(p.Software, software)
	}
	return &peerpb.Entry{Kind: &peerpb.Entry_AffinityNotice{AffinityNotice: p}}, nil
}

func (d *Decoder) decodeAffinityNotice(p *peerpb.AffinityNotice) (control.Message, error) {
	length := len(p.GetKey())
	if len(p.GetPool()) != length || len(p.GetSoftware()) != length {
		return nil, fmt.Errorf("%w: affinities of unequal length", ErrMalformed)
	}
	if err := checkListLength(length); err != nil {
		return nil, err
	}
	var m control.AffinityNotice
	for i, key := range p.GetKey() {
		decoded, err := d.decodeAffinity(p.GetPool()[i], p.GetSoftware()[i])
		if err != nil {
			return nil, err
		}
		m.Records = append(m.Records, affinity.Record{Key: affinity.Key(key), Affinity: decoded})
	}
	return m, nil
}

func (d *Decoder) decodeAffinity(poolRef, softwareRef uint32) (affinity.Affinity, error) {
	pool, errPool := d.name(poolRef)
	software, errSoftware := d.name(softwareRef)
	return affinity.Affinity{Pool: pool, Software: software}, errors.Join(errPool, errSoftware)
}

func (e *Encoder) encodeAffinityQuery(m control.AffinityQuery) (*peerpb.Entry, error) {
	pool, err := e.nameRef(m.Pool)
	if err != nil {
		return nil, err
	}
	p := &peerpb.AffinityQuery{Lookup: m.Lookup, Named: m.Named, Key: uint64(m.Key), Pool: pool}
	return &peerpb.Entry{Kind: &peerpb.Entry_AffinityQuery{AffinityQuery: p}}, nil
}

func (d *Decoder) decodeAffinityQuery(p *peerpb.AffinityQuery) (control.Message, error) {
	pool, err := d.name(p.GetPool())
	if err != nil {
		return nil, err
	}
	return control.AffinityQuery{Lookup: p.GetLookup(), Named: p.GetNamed(), Key: affinity.Key(p.GetKey()), Pool: pool}, nil
}

func (e *Encoder) encodeAffinityAnswer(m control.AffinityAnswer) (*peerpb.Entry, error) {
	pool, errPool := e.nameRef(m.Affinity.Pool)
	software, errSoftware := e.nameRef(m.Affinity.Software)
	listed, errListed := e.nameRefs(m.Software)
	if err := errors.Join(errPool, errSoftware, errListed); err != nil {
		return nil, err
	}
	p := &peerpb.AffinityAnswer{Lookup: m.Lookup, Known: m.Known, Pool: pool, Software: software, ListedSoftware: listed, ListedLong: m.ListedLong}
	return &peerpb.Entry{Kind: &peerpb.Entry_AffinityAnswer{AffinityAnswer: p}}, nil
}

func (d *Decoder) decodeAffinityAnswer(p *peerpb.AffinityAnswer) (control.Message, error) {
	decoded, errAffinity := d.decodeAffinity(p.GetPool(), p.GetSoftware())
	listed, errListed := d.nameList(p.GetListedSoftware())
	if err := errors.Join(errAffinity, errListed); err != nil {
		return nil, err
	}
	return control.AffinityAnswer{Lookup: p.GetLookup(), Known: p.GetKnown(), Affinity: decoded, Software: listed, ListedLong: p.GetListedLong()}, nil
}
