package wire

import (
	"fmt"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// A new message kind needs: a message and an Entry field in peer.proto, a line
// in KindOf, encode and decode below, and its two functions in codec_*.go.
// TestEveryKindHasCodec fails until it has them.

// Kinds are the kinds of all entries.
var Kinds = []Kind{
	KindDefinition, "ticket", "grant", "report", "report-ack", "refusal", "cancel-ticket", "waiting",
	"heartbeat", "service-report", "service-totals", "suspect-notice", "quarantine-notice", "unread-notice",
	"leaving-notice",
}

// KindOf names the kind of a message, for counters; "unknown" if it has no codec.
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
	case control.UnreadNotice:
		return "unread-notice"
	case control.LeavingNotice:
		return "leaving-notice"
	default:
		return "unknown"
	}
}

// encode builds the entry of a message. Definitions that it needs are
// appended to the frame before.
func (e *Encoder) encode(message control.Message) (*peerpb.Entry, error) {
	switch m := message.(type) {
	case control.Ticket:
		return e.ticket(m)
	case control.Grant:
		return e.grant(m)
	case control.Report:
		return e.report(m)
	case control.ReportAck:
		return e.reportAck(m)
	case control.Refusal:
		return e.refusal(m)
	case control.CancelTicket:
		return e.cancelTicket(m)
	case control.Waiting:
		return e.waiting(m)
	case control.Heartbeat:
		return e.heartbeat(m)
	case control.ServiceReport:
		return e.serviceReport(m)
	case control.ServiceTotals:
		return e.serviceTotals(m)
	case control.SuspectNotice:
		return e.suspectNotice(m)
	case control.QuarantineNotice:
		return e.quarantineNotice(m)
	case control.UnreadNotice:
		return e.unreadNotice(m)
	case control.LeavingNotice:
		return e.leavingNotice(m)
	default:
		return nil, fmt.Errorf("%w: %T", ErrUnknownKind, message)
	}
}

// decode reads the message of an entry.
func (d *Decoder) decode(entry *peerpb.Entry) (control.Message, error) {
	switch kind := entry.Kind.(type) {
	case *peerpb.Entry_Ticket:
		return d.ticket(kind.Ticket)
	case *peerpb.Entry_Grant:
		return d.grant(kind.Grant)
	case *peerpb.Entry_Report:
		return d.report(kind.Report)
	case *peerpb.Entry_ReportAck:
		return d.reportAck(kind.ReportAck)
	case *peerpb.Entry_Refusal:
		return d.refusal(kind.Refusal)
	case *peerpb.Entry_CancelTicket:
		return d.cancelTicket(kind.CancelTicket)
	case *peerpb.Entry_Waiting:
		return d.waiting(kind.Waiting)
	case *peerpb.Entry_Heartbeat:
		return d.heartbeat(kind.Heartbeat)
	case *peerpb.Entry_ServiceReport:
		return d.serviceReport(kind.ServiceReport)
	case *peerpb.Entry_ServiceTotals:
		return d.serviceTotals(kind.ServiceTotals)
	case *peerpb.Entry_SuspectNotice:
		return d.suspectNotice(kind.SuspectNotice)
	case *peerpb.Entry_QuarantineNotice:
		return d.quarantineNotice(kind.QuarantineNotice)
	case *peerpb.Entry_UnreadNotice:
		return d.unreadNotice(kind.UnreadNotice)
	case *peerpb.Entry_LeavingNotice:
		return d.leavingNotice(kind.LeavingNotice)
	default:
		return nil, fmt.Errorf("%w: entry %T", ErrUnknownKind, kind)
	}
}

// ticketID is shared by the messages that name a ticket.
func (e *Encoder) ticketID(id control.TicketID) (*peerpb.TicketID, error) {
	origin, err := e.origin(id.Node, id.Incarnation)
	if err != nil {
		return nil, err
	}
	return &peerpb.TicketID{Origin: origin, Request: uint64(id.Request), Attempt: id.Attempt}, nil
}

func (d *Decoder) ticketID(p *peerpb.TicketID) (control.TicketID, error) {
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

// grantID decodes the parts of a grant's identity.
func (d *Decoder) grantID(scheduler uint32, seq uint64) (control.GrantID, error) {
	origin, err := d.origin(scheduler)
	if err != nil {
		return control.GrantID{}, err
	}
	return control.GrantID{Scheduler: origin.Node, Incarnation: origin.Incarnation, Seq: seq}, nil
}
