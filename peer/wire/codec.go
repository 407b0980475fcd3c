package wire

import (
	"fmt"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// A new message kind needs a message and an Entry field in peer.proto, a line in
// each of Kinds, KindOf, encode and decode below, and its encode and decode
// methods in a codec_*.go file. TestEveryKindHasCodec fails until all are there.

// Kinds lists the kinds of all entries.
var Kinds = []Kind{
	KindDefinition, "ticket", "grant", "report", "report-ack", "refusal", "cancel-ticket", "waiting",
	"heartbeat", "service-report", "service-totals", "suspect-notice", "quarantine-notice", "unread-notice",
	"leaving-notice", "affinity-notice", "affinity-query", "affinity-answer", "part-evidence",
}

// KindOf returns the kind of a message, or "unknown" if it has no codec.
func KindOf(message control.Message) Kind {
	switch message.(type) {
	case control.Ticket:
		return "ticket"
	case control.Grant:
		return "grant"
	case control.Report:
		return "report"
	case control.ReportAck:
		return "report-ack"
	case control.Refusal:
		return "refusal"
	case control.CancelTicket:
		return "cancel-ticket"
	case control.Waiting:
		return "waiting"
	case control.Heartbeat:
		return "heartbeat"
	case control.ServiceReport:
		return "service-report"
	case control.ServiceTotals:
		return "service-totals"
	case control.SuspectNotice:
		return "suspect-notice"
	case control.QuarantineNotice:
		return "quarantine-notice"
	case control.PartEvidence:
		return "part-evidence"
	case control.UnreadNotice:
		return "unread-notice"
	case control.LeavingNotice:
		return "leaving-notice"
	case control.AffinityNotice:
		return "affinity-notice"
	case control.AffinityQuery:
		return "affinity-query"
	case control.AffinityAnswer:
		return "affinity-answer"
	default:
		return "unknown"
	}
}

// encode builds the entry of a message, after appending the definitions that the
// entry refers to to the frame.
func (e *Encoder) encode(message control.Message) (*peerpb.Entry, error) {
	switch m := message.(type) {
	case control.Ticket:
		return e.encodeTicket(m)
	case control.Grant:
		return e.encodeGrant(m)
	case control.Report:
		return e.encodeReport(m)
	case control.ReportAck:
		return e.encodeReportAck(m)
	case control.Refusal:
		return e.encodeRefusal(m)
	case control.CancelTicket:
		return e.encodeCancelTicket(m)
	case control.Waiting:
		return e.encodeWaiting(m)
	case control.Heartbeat:
		return e.encodeHeartbeat(m)
	case control.ServiceReport:
		return e.encodeServiceReport(m)
	case control.ServiceTotals:
		return e.encodeServiceTotals(m)
	case control.SuspectNotice:
		return e.encodeSuspectNotice(m)
	case control.QuarantineNotice:
		return e.encodeQuarantineNotice(m)
	case control.PartEvidence:
		return e.encodePartEvidence(m)
	case control.UnreadNotice:
		return e.encodeUnreadNotice(m)
	case control.LeavingNotice:
		return e.encodeLeavingNotice(m)
	case control.AffinityNotice:
		return e.encodeAffinityNotice(m)
	case control.AffinityQuery:
		return e.encodeAffinityQuery(m)
	case control.AffinityAnswer:
		return e.encodeAffinityAnswer(m)
	default:
		return nil, fmt.Errorf("%w: %T", ErrUnknownKind, message)
	}
}

// decode returns the message of an entry that is not a definition.
func (d *Decoder) decode(entry *peerpb.Entry) (control.Message, error) {
	switch kind := entry.Kind.(type) {
	case *peerpb.Entry_Ticket:
		return d.decodeTicket(kind.Ticket)
	case *peerpb.Entry_Grant:
		return d.decodeGrant(kind.Grant)
	case *peerpb.Entry_Report:
		return d.decodeReport(kind.Report)
	case *peerpb.Entry_ReportAck:
		return d.decodeReportAck(kind.ReportAck)
	case *peerpb.Entry_Refusal:
		return d.decodeRefusal(kind.Refusal)
	case *peerpb.Entry_CancelTicket:
		return d.decodeCancelTicket(kind.CancelTicket)
	case *peerpb.Entry_Waiting:
		return d.decodeWaiting(kind.Waiting)
	case *peerpb.Entry_Heartbeat:
		return d.decodeHeartbeat(kind.Heartbeat)
	case *peerpb.Entry_ServiceReport:
		return d.decodeServiceReport(kind.ServiceReport)
	case *peerpb.Entry_ServiceTotals:
		return d.decodeServiceTotals(kind.ServiceTotals)
	case *peerpb.Entry_SuspectNotice:
		return d.decodeSuspectNotice(kind.SuspectNotice)
	case *peerpb.Entry_QuarantineNotice:
		return d.decodeQuarantineNotice(kind.QuarantineNotice)
	case *peerpb.Entry_PartEvidence:
		return d.decodePartEvidence(kind.PartEvidence)
	case *peerpb.Entry_UnreadNotice:
		return d.decodeUnreadNotice(kind.UnreadNotice)
	case *peerpb.Entry_LeavingNotice:
		return d.decodeLeavingNotice(kind.LeavingNotice)
	case *peerpb.Entry_AffinityNotice:
		return d.decodeAffinityNotice(kind.AffinityNotice)
	case *peerpb.Entry_AffinityQuery:
		return d.decodeAffinityQuery(kind.AffinityQuery)
	case *peerpb.Entry_AffinityAnswer:
		return d.decodeAffinityAnswer(kind.AffinityAnswer)
	default:
		return nil, fmt.Errorf("%w: entry %T", ErrUnknownKind, kind)
	}
}

// encodeTicketID encodes the ticket ID of messages that hold it as a submessage.
func (e *Encoder) encodeTicketID(id control.TicketID) (*peerpb.TicketID, error) {
	origin, err := e.originRef(id.Node, id.Incarnation)
	if err != nil {
		return nil, err
	}
	return &peerpb.TicketID{Origin: origin, Request: uint64(id.Request), Attempt: id.Attempt}, nil
}

func (d *Decoder) decodeTicketID(p *peerpb.TicketID) (control.TicketID, error) {
	origin, err := d.origin(p.GetOrigin())
	if err != nil {
		return control.TicketID{}, err
	}
	id := control.TicketID{
		Node:        origin.Node,
		Incarnation: origin.Incarnation,
		Request:     control.RequestID(p.GetRequest()),
		Attempt:     p.GetAttempt(),
	}
	return id, nil
}

// decodeGrantID decodes a grant ID from the reference of its scheduler's origin
// and its sequence number.
func (d *Decoder) decodeGrantID(scheduler uint32, seq uint64) (control.GrantID, error) {
	origin, err := d.origin(scheduler)
	if err != nil {
		return control.GrantID{}, err
	}
	return control.GrantID{Scheduler: origin.Node, Incarnation: origin.Incarnation, Seq: seq}, nil
}
