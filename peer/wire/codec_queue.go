package wire

import (
	"errors"
	"fmt"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
	"github.com/walnutcove/walnutcove/result"
)

func (e *Encoder) encodeTicket(m control.Ticket) (*peerpb.Entry, error) {
	origin, errOrigin := e.originRef(m.ID.Node, m.ID.Incarnation)
	shard, errShard := e.shardRef(m.Shard)
	workspace, errWorkspace := e.nameRef(m.Workspace)
	excluded, errExcluded := e.nameRefs(m.Excluded)
	regions, errRegions := e.nameRefs(m.AllowedRegions.Regions)
	software, errSoftware := e.nameRef(m.Software.Version)
	if err := errors.Join(errOrigin, errShard, errWorkspace, errExcluded, errRegions, errSoftware); err != nil {
		return nil, err
	}
	p := &peerpb.Ticket{
		Origin:      origin,
		Request:     uint64(m.ID.Request),
		Attempt:     m.ID.Attempt,
		Shard:       shard,
		Workspace:   workspace,
		CostHint:    toMicros(m.CostHint),
		TimeLeft:    toMicros(m.TimeLeft),
		PrefixHash:  m.PrefixHash,
		Fingerprint: m.Fingerprint,
		Excluded:    excluded,
		Quiet:       m.Quiet,
		Objective:   toMicros(m.Objective),
		Again:       m.Again,
		Continues:   m.Continues,
		HomesBound:  m.AllowedRegions.Restricted,
		Home:        regions,

		SoftwareLimited: m.Software.Limited,
		Software:        software,
	}
	p.PromptTokens, p.OutputTokens = uint32(m.Work.PromptTokens), uint32(m.Work.OutputTokens)
	p.PartId, p.PartTokens = encodeParts(m.Work.Parts)
	return &peerpb.Entry{Kind: &peerpb.Entry_Ticket{Ticket: p}}, nil
}

func (d *Decoder) decodeTicket(p *peerpb.Ticket) (control.Message, error) {
	origin, errOrigin := d.origin(p.GetOrigin())
	shard, errShard := d.shard(p.GetShard())
	workspace, errWorkspace := d.name(p.GetWorkspace())
	excluded, errExcluded := d.nameList(p.GetExcluded())
	regions, errRegions := d.nameList(p.GetHome())
	software, errSoftware := d.name(p.GetSoftware())
	if err := errors.Join(errOrigin, errShard, errWorkspace, errExcluded, errRegions, errSoftware); err != nil {
		return nil, err
	}
	work, err := decodeWork(p)
	if err != nil {
		return nil, err
	}
	return control.Ticket{
		ID: control.TicketID{
			Node:        origin.Node,
			Incarnation: origin.Incarnation,
			Request:     control.RequestID(p.GetRequest()),
			Attempt:     p.GetAttempt(),
		},
		Shard:          shard,
		Workspace:      workspace,
		CostHint:       fromMicros(p.GetCostHint()),
		TimeLeft:       fromMicros(p.GetTimeLeft()),
		PrefixHash:     p.GetPrefixHash(),
		Fingerprint:    p.GetFingerprint(),
		Excluded:       excluded,
		Quiet:          p.GetQuiet(),
		Work:           work,
		Objective:      fromMicros(p.GetObjective()),
		Again:          p.GetAgain(),
		Continues:      p.GetContinues(),
		AllowedRegions: config.AllowedRegions{Restricted: p.GetHomesBound(), Regions: regions},
		Software:       config.SoftwareLimit{Limited: p.GetSoftwareLimited(), Version: software},
	}, nil
}

// encodeParts returns the IDs and the lengths in tokens of prompt parts.
func encodeParts(parts []control.PromptPart) (ids []uint64, tokens []uint32) {
	for _, part := range parts {
		ids = append(ids, part.ID)
		tokens = append(tokens, uint32(part.Tokens))
	}
	return ids, tokens
}

// workMessage is a message with the fields of control.Work.
type workMessage interface {
	GetPartId() []uint64
	GetPartTokens() []uint32
	GetPromptTokens() uint32
	GetOutputTokens() uint32
}

func decodeWork(p workMessage) (control.Work, error) {
	work := control.Work{PromptTokens: int(p.GetPromptTokens()), OutputTokens: int(p.GetOutputTokens())}
	ids, tokens := p.GetPartId(), p.GetPartTokens()
	if len(ids) != len(tokens) {
		return work, fmt.Errorf("%w: parts of unequal length", ErrMalformed)
	}
	if err := checkListLength(len(ids)); err != nil {
		return work, err
	}
	for i, id := range ids {
		work.Parts = append(work.Parts, control.PromptPart{ID: id, Tokens: int(tokens[i])})
	}
	return work, nil
}

func (e *Encoder) encodeGrant(m control.Grant) (*peerpb.Entry, error) {
	scheduler, errScheduler := e.originRef(m.ID.Scheduler, m.ID.Incarnation)
	origin, errOrigin := e.originRef(m.Ticket.Node, m.Ticket.Incarnation)
	target, errTarget := e.nameRef(m.Target)
	err := errors.Join(errScheduler, errOrigin, errTarget)
	if err != nil {
		return nil, err
	}
	p := &peerpb.Grant{
		Scheduler:    scheduler,
		Seq:          m.ID.Seq,
		TicketOrigin: origin,
		Request:      uint64(m.Ticket.Request),
		Attempt:      m.Ticket.Attempt,
		Target:       target,
		Spare:        int64(m.Spare),
		Start:        toMicros(m.PredictedStart),
		Reads:        uint32(m.Reads),
	}
	if m.FetchFrom != "" {
		if p.FetchFrom, err = e.nameRef(m.FetchFrom); err != nil {
			return nil, err
		}
	}
	return &peerpb.Entry{Kind: &peerpb.Entry_Grant{Grant: p}}, nil
}

func (d *Decoder) decodeGrant(p *peerpb.Grant) (control.Message, error) {
	id, errID := d.decodeGrantID(p.GetScheduler(), p.GetSeq())
	origin, errOrigin := d.origin(p.GetTicketOrigin())
	target, errTarget := d.name(p.GetTarget())
	fetchFrom := ""
	var errFetch error
	if p.GetFetchFrom() != 0 {
		fetchFrom, errFetch = d.name(p.GetFetchFrom())
	}
	if err := errors.Join(errID, errOrigin, errTarget, errFetch); err != nil {
		return nil, err
	}
	return control.Grant{
		ID: id,
		Ticket: control.TicketID{
			Node:        origin.Node,
			Incarnation: origin.Incarnation,
			Request:     control.RequestID(p.GetRequest()),
			Attempt:     p.GetAttempt(),
		},
		Target:         target,
		Spare:          int(p.GetSpare()),
		PredictedStart: fromMicros(p.GetStart()),
		Reads:          int(p.GetReads()),

		FetchFrom: fetchFrom,
	}, nil
}

func (e *Encoder) encodeRefusal(m control.Refusal) (*peerpb.Entry, error) {
	ticket, errTicket := e.encodeTicketID(m.Ticket)
	shard, errShard := e.shardRef(m.Shard)
	if err := errors.Join(errTicket, errShard); err != nil {
		return nil, err
	}
	p := &peerpb.Refusal{
		Ticket:     ticket,
		Shard:      shard,
		Code:       int64(m.Code),
		RetryAfter: toMicros(m.RetryAfter),
		Excess:     m.Excess,
		Ahead:      uint32(m.Ahead),
	}
	return &peerpb.Entry{Kind: &peerpb.Entry_Refusal{Refusal: p}}, nil
}

func (d *Decoder) decodeRefusal(p *peerpb.Refusal) (control.Message, error) {
	ticket, errTicket := d.decodeTicketID(p.GetTicket())
	shard, errShard := d.shard(p.GetShard())
	if err := errors.Join(errTicket, errShard); err != nil {
		return nil, err
	}
	return control.Refusal{
		Ticket:     ticket,
		Shard:      shard,
		Code:       result.Code(p.GetCode()),
		RetryAfter: fromMicros(p.GetRetryAfter()),
		Excess:     p.GetExcess(),
		Ahead:      int(p.GetAhead()),
	}, nil
}

func (e *Encoder) encodeCancelTicket(m control.CancelTicket) (*peerpb.Entry, error) {
	ticket, errTicket := e.encodeTicketID(m.Ticket)
	shard, errShard := e.shardRef(m.Shard)
	if err := errors.Join(errTicket, errShard); err != nil {
		return nil, err
	}
	p := &peerpb.CancelTicket{Ticket: ticket, Shard: shard}
	return &peerpb.Entry{Kind: &peerpb.Entry_CancelTicket{CancelTicket: p}}, nil
}

func (d *Decoder) decodeCancelTicket(p *peerpb.CancelTicket) (control.Message, error) {
	ticket, errTicket := d.decodeTicketID(p.GetTicket())
	shard, errShard := d.shard(p.GetShard())
	if err := errors.Join(errTicket, errShard); err != nil {
		return nil, err
	}
	return control.CancelTicket{Ticket: ticket, Shard: shard}, nil
}

func (e *Encoder) encodeUnreadNotice(m control.UnreadNotice) (*peerpb.Entry, error) {
	shard, errShard := e.shardRef(m.Shard)
	workspace, errWorkspace := e.nameRef(m.Workspace)
	if err := errors.Join(errShard, errWorkspace); err != nil {
		return nil, err
	}
	p := &peerpb.UnreadNotice{Shard: shard, Workspace: workspace, Count: int64(m.Count)}
	return &peerpb.Entry{Kind: &peerpb.Entry_UnreadNotice{UnreadNotice: p}}, nil
}

func (d *Decoder) decodeUnreadNotice(p *peerpb.UnreadNotice) (control.Message, error) {
	shard, errShard := d.shard(p.GetShard())
	workspace, errWorkspace := d.name(p.GetWorkspace())
	if err := errors.Join(errShard, errWorkspace); err != nil {
		return nil, err
	}
	return control.UnreadNotice{Shard: shard, Workspace: workspace, Count: int(p.GetCount())}, nil
}

func (e *Encoder) encodeLeavingNotice(m control.LeavingNotice) (*peerpb.Entry, error) {
	target, err := e.nameRef(m.Target)
	if err != nil {
		return nil, err
	}
	p := &peerpb.LeavingNotice{Target: target, Start: m.Start}
	return &peerpb.Entry{Kind: &peerpb.Entry_LeavingNotice{LeavingNotice: p}}, nil
}

func (d *Decoder) decodeLeavingNotice(p *peerpb.LeavingNotice) (control.Message, error) {
	target, err := d.name(p.GetTarget())
	if err != nil {
		return nil, err
	}
	return control.LeavingNotice{Target: target, Start: p.GetStart()}, nil
}

func (e *Encoder) encodeWaiting(m control.Waiting) (*peerpb.Entry, error) {
	ticket, errTicket := e.encodeTicketID(m.Ticket)
	shard, errShard := e.shardRef(m.Shard)
	if err := errors.Join(errTicket, errShard); err != nil {
		return nil, err
	}
	p := &peerpb.Waiting{Ticket: ticket, Shard: shard, Ahead: int64(m.Ahead)}
	return &peerpb.Entry{Kind: &peerpb.Entry_Waiting{Waiting: p}}, nil
}

func (d *Decoder) decodeWaiting(p *peerpb.Waiting) (control.Message, error) {
	ticket, errTicket := d.decodeTicketID(p.GetTicket())
	shard, errShard := d.shard(p.GetShard())
	if err := errors.Join(errTicket, errShard); err != nil {
		return nil, err
	}
	return control.Waiting{Ticket: ticket, Shard: shard, Ahead: int(p.GetAhead())}, nil
}
