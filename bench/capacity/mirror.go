package capacity

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/affinity"
)

// mirror turns each message that the node sends to another node into the message
// that the other node, under the same load, sends back. A ticket for another node's
// shard comes back as that node's ticket for a shard of this node. The grant for the
// second ticket comes back as the grant for the first, and so on.
type mirror struct {
	node *node
	// tickets finds a pair of tickets by the sent one, byMirroredTicket by the
	// mirrored one.
	tickets          map[ticketKey]*ticketPair
	byMirroredTicket map[control.TicketID]*ticketPair
	// byGiven and byReceived find a pair of grants by either of the two.
	byGiven    map[control.GrantID]*grantPair
	byReceived map[control.GrantID]*grantPair
	nextID     control.RequestID
	heartbeats int
	// reportedAs holds the workspaces that were reported under the name of an
	// accounted one.
	reportedAs map[accountKey][]string
}

type ticketKey struct {
	ticket control.TicketID
	shard  control.ShardID
}

// ticketPair is a ticket that the node sent, and its mirrored ticket.
type ticketPair struct {
	to       control.NodeID
	sent     ticketKey
	mirrored ticketKey
}

// grantPair is a grant that the node gave for a mirrored ticket, and the one that it
// receives for the ticket that it sent.
type grantPair struct {
	tickets  *ticketPair
	given    control.Grant
	received control.Grant
}

type accountKey struct {
	source    control.NodeID
	workspace string
}

func newMirror(n *node) *mirror {
	return &mirror{
		node:             n,
		tickets:          make(map[ticketKey]*ticketPair),
		byMirroredTicket: make(map[control.TicketID]*ticketPair),
		byGiven:          make(map[control.GrantID]*grantPair),
		byReceived:       make(map[control.GrantID]*grantPair),
		reportedAs:       make(map[accountKey][]string),
	}
}

// reflect delivers the mirrored message for a message to another node.
func (m *mirror) reflect(to control.NodeID, message control.Message) {
	switch msg := message.(type) {
	case control.Ticket:
		m.ticket(to, msg)
	case control.CancelTicket:
		m.cancel(to, msg)
	case control.Grant:
		m.grant(msg)
	case control.Waiting:
		if pair := m.byMirroredTicket[msg.Ticket]; pair != nil {
			m.node.receiveLater(pair.to, control.Waiting{Ticket: pair.sent.ticket, Shard: pair.sent.shard, Ahead: msg.Ahead})
		}
	case control.Report:
		m.report(to, msg)
	case control.ReportAck:
		m.ack(msg)
	case control.Heartbeat:
		m.heartbeat(msg)
	case control.ServiceReport:
		m.serviceReport(to, msg)
	case control.ServiceTotals:
		m.serviceTotals(to, msg)
	case control.AffinityNotice:
		m.affinityNotice(to, msg)
	case control.Refusal:
		panic(fmt.Sprintf("a ticket was refused: %+v", msg))
	}
}

func (m *mirror) ticket(to control.NodeID, t control.Ticket) {
	key := ticketKey{t.ID, t.Shard}
	pair := m.tickets[key]
	if pair == nil {
		m.nextID++
		mirrored := ticketKey{
			ticket: control.TicketID{Node: to, Incarnation: 1, Request: m.nextID, Attempt: uint32(m.nextID)},
			shard:  m.node.owned[int(m.nextID)%len(m.node.owned)],
		}
		pair = &ticketPair{to: to, sent: key, mirrored: mirrored}
		m.tickets[key] = pair
		m.byMirroredTicket[mirrored.ticket] = pair
	}
	t.Workspace = m.node.fleet.size.equivalentWorkspace(t.Workspace, t.Shard.Pool, pair.mirrored.shard.Pool)
	t.ID = pair.mirrored.ticket
	t.Shard = pair.mirrored.shard
	m.node.receiveLater(to, t)
}

func (m *mirror) cancel(to control.NodeID, c control.CancelTicket) {
	if pair := m.tickets[ticketKey{c.Ticket, c.Shard}]; pair != nil {
		m.forget(pair)
		m.node.receiveLater(to, control.CancelTicket{Ticket: pair.mirrored.ticket, Shard: pair.mirrored.shard})
	}
}

func (m *mirror) forget(pair *ticketPair) {
	delete(m.tickets, pair.sent)
	delete(m.byMirroredTicket, pair.mirrored.ticket)
}

// grant delivers the grant for the ticket that the node sent.
func (m *mirror) grant(g control.Grant) {
	pair := m.byGiven[g.ID]
	if pair == nil {
		tickets := m.byMirroredTicket[g.Ticket]
		if tickets == nil {
			m.returnGrant(g)
			return
		}
		targets := m.node.fleet.targets[tickets.sent.shard]
		received := control.Grant{
			ID:     control.GrantID{Scheduler: tickets.to, Incarnation: 1, Seq: g.ID.Seq},
			Ticket: tickets.sent.ticket,
			Target: targets[int(g.ID.Seq)%len(targets)],
			Spare:  g.Spare,
		}
		pair = &grantPair{tickets: tickets, given: g, received: received}
		m.byGiven[g.ID] = pair
		m.byReceived[received.ID] = pair
	}
	m.node.receiveLater(pair.tickets.to, pair.received)
}

// returnGrant reports a grant as not run if its ticket was cancelled while the grant
// was on the way.
func (m *mirror) returnGrant(g control.Grant) {
	target := m.node.snapshot.Declarations.Targets[g.Target]
	m.node.receiveLater(g.Ticket.Node, control.Report{
		Grant:   g.ID,
		Ticket:  g.Ticket,
		Shard:   control.ShardID{Pool: target.Pool, DataCentre: target.DataCentre},
		Target:  g.Target,
		Phase:   control.PhaseEnded,
		Outcome: control.OutcomeNotRun,
	})
}

// report delivers the report on the grant that the node gave.
func (m *mirror) report(to control.NodeID, r control.Report) {
	pair := m.byReceived[r.Grant]
	if pair == nil {
		return
	}
	r.Workspace = m.node.fleet.size.equivalentWorkspace(r.Workspace, r.Shard.Pool, pair.tickets.mirrored.shard.Pool)
	r.Grant = pair.given.ID
	r.Ticket = pair.given.Ticket
	r.Target = pair.given.Target
	r.Shard = pair.tickets.mirrored.shard
	m.node.receiveLater(to, r)
}

// ack ends both runs of a pair and delivers the acknowledgement for the other one.
func (m *mirror) ack(a control.ReportAck) {
	pair := m.byGiven[a.Grant]
	if pair == nil {
		return
	}
	delete(m.byGiven, a.Grant)
	delete(m.byReceived, pair.received.ID)
	m.forget(pair.tickets)
	m.node.receiveLater(pair.tickets.to, control.ReportAck{Grant: pair.received.ID})
}

// heartbeat delivers the heartbeat of a node that this one watches, in turn, so that
// the node receives as many heartbeats as it sends.
func (m *mirror) heartbeat(sent control.Heartbeat) {
	if len(m.node.watched) == 0 {
		return
	}
	from := m.node.watched[m.heartbeats%len(m.node.watched)]
	m.heartbeats++
	m.node.receiveLater(from, control.Heartbeat{
		Incarnation:   max(1, m.node.incarnations[from]),
		ConfigVersion: sent.ConfigVersion,
	})
}

// affinityNotice delivers the records of as many streams that began at another node.
func (m *mirror) affinityNotice(to control.NodeID, notice control.AffinityNotice) {
	records := slices.Clone(notice.Records)
	for i := range records {
		records[i].Key = affinity.KeyOf(string(to), fmt.Sprint(records[i].Key))
	}
	m.node.receiveLater(to, control.AffinityNotice{Records: records})
}

// serviceReport delivers another node's report on workspaces whose totals this node
// keeps.
func (m *mirror) serviceReport(to control.NodeID, r control.ServiceReport) {
	counts := make([]control.ServiceCount, 0, len(r.Counts))
	for _, c := range r.Counts {
		hash := xxhash.Sum64String(string(to) + c.Workspace)
		name := m.node.accounted[hash%uint64(len(m.node.accounted))]
		key := accountKey{to, name}
		if !slices.Contains(m.reportedAs[key], c.Workspace) {
			m.reportedAs[key] = append(m.reportedAs[key], c.Workspace)
		}
		c.Workspace = name
		counts = append(counts, c)
	}
	m.node.receiveLater(to, control.ServiceReport{Counts: counts})
}

// serviceTotals delivers the totals of the workspaces that this node reported on.
func (m *mirror) serviceTotals(to control.NodeID, t control.ServiceTotals) {
	var counts []control.ServiceCount
	for _, c := range t.Counts {
		for _, name := range m.reportedAs[accountKey{to, c.Workspace}] {
			c.Workspace = name
			counts = append(counts, c)
		}
	}
	if len(counts) > 0 {
		m.node.receiveLater(to, control.ServiceTotals{Counts: counts})
	}
}
