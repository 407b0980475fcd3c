package capacity

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/walnutcove/walnutcove/control"
)

// mirror turns what the node sends to another into what that other node, of
// the same load, sends here. A ticket for another node's shard comes back as
// that node's ticket for a shard here, the grant for it as the grant for the
// first, and so on.
type mirror struct {
	node *node
	// asks finds a pair of tickets by the own or by the mirrored one.
	asks     map[askKey]*ask
	mirrored map[control.TicketID]*ask
	// grants finds a pair of grants by the own or by the mirrored one.
	own    map[control.GrantID]*grantPair
	taken  map[control.GrantID]*grantPair
	nextID control.RequestID
	beats  int
	// behind finds the workspaces that stand behind an accounted one.
	behind map[accountKey][]string
}

type askKey struct {
	ticket control.TicketID
	shard  control.ShardID
}

// ask is a ticket that the node sent, and its image.
type ask struct {
	to    control.NodeID
	own   askKey
	image askKey
}

// grantPair is a grant that the node gave for an image, and the one that it
// gets for its own ticket.
type grantPair struct {
	ask   *ask
	given control.Grant
	taken control.Grant
}

type accountKey struct {
	source    control.NodeID
	workspace string
}

func newMirror(n *node) *mirror {
	return &mirror{
		node:     n,
		asks:     make(map[askKey]*ask),
		mirrored: make(map[control.TicketID]*ask),
		own:      make(map[control.GrantID]*grantPair),
		taken:    make(map[control.GrantID]*grantPair),
		behind:   make(map[accountKey][]string),
	}
}

// reflect answers a message to another node.
func (m *mirror) reflect(to control.NodeID, message control.Message) {
	switch msg := message.(type) {
	case control.Ticket:
		m.ticket(to, msg)
	case control.CancelTicket:
		m.cancel(to, msg)
	case control.Grant:
		m.grant(msg)
	case control.Waiting:
		if a := m.mirrored[msg.Ticket]; a != nil {
			m.node.receiveLater(a.to, control.Waiting{Ticket: a.own.ticket, Shard: a.own.shard, Ahead: msg.Ahead})
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
	case control.Refusal:
		panic(fmt.Sprintf("a ticket was refused: %+v", msg))
	}
}

func (m *mirror) ticket(to control.NodeID, t control.Ticket) {
	key := askKey{t.ID, t.Shard}
	a := m.asks[key]
	if a == nil {
		m.nextID++
		image := askKey{
			ticket: control.TicketID{Node: to, Incarnation: 1, Request: m.nextID, Attempt: uint32(m.nextID)},
			shard:  m.node.owned[int(m.nextID)%len(m.node.owned)],
		}
		a = &ask{to: to, own: key, image: image}
		m.asks[key] = a
		m.mirrored[image.ticket] = a
	}
	t.Workspace = m.node.fleet.size.workspaceLike(t.Workspace, t.Shard.Pool, a.image.shard.Pool)
	t.ID = a.image.ticket
	t.Shard = a.image.shard
	m.node.receiveLater(to, t)
}

func (m *mirror) cancel(to control.NodeID, c control.CancelTicket) {
	if a := m.asks[askKey{c.Ticket, c.Shard}]; a != nil {
		m.forget(a)
		m.node.receiveLater(to, control.CancelTicket{Ticket: a.image.ticket, Shard: a.image.shard})
	}
}

func (m *mirror) forget(a *ask) {
	delete(m.asks, a.own)
	delete(m.mirrored, a.image.ticket)
}

// grant hands the node the grant for its own ticket.
func (m *mirror) grant(g control.Grant) {
	pair := m.own[g.ID]
	if pair == nil {
		a := m.mirrored[g.Ticket]
		if a == nil {
			m.returnGrant(g)
			return
		}
		targets := m.node.fleet.targets[a.own.shard]
		taken := control.Grant{
			ID:     control.GrantID{Scheduler: a.to, Incarnation: 1, Seq: g.ID.Seq},
			Ticket: a.own.ticket,
			Target: targets[int(g.ID.Seq)%len(targets)],
			Spare:  g.Spare,
		}
		pair = &grantPair{ask: a, given: g, taken: taken}
		m.own[g.ID] = pair
		m.taken[taken.ID] = pair
	}
	m.node.receiveLater(pair.ask.to, pair.taken)
}

// returnGrant answers a grant that crossed the cancellation of its ticket.
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

// report brings the report on the grant that the node gave.
func (m *mirror) report(to control.NodeID, r control.Report) {
	pair := m.taken[r.Grant]
	if pair == nil {
		return
	}
	r.Workspace = m.node.fleet.size.workspaceLike(r.Workspace, r.Shard.Pool, pair.ask.image.shard.Pool)
	r.Grant = pair.given.ID
	r.Ticket = pair.given.Ticket
	r.Target = pair.given.Target
	r.Shard = pair.ask.image.shard
	m.node.receiveLater(to, r)
}

// ack ends a run on both sides.
func (m *mirror) ack(a control.ReportAck) {
	pair := m.own[a.Grant]
	if pair == nil {
		return
	}
	delete(m.own, a.Grant)
	delete(m.taken, pair.taken.ID)
	m.forget(pair.ask)
	m.node.receiveLater(pair.ask.to, control.ReportAck{Grant: pair.taken.ID})
}

// heartbeat brings the heartbeats of the nodes that this one watches, as many
// as it sends.
func (m *mirror) heartbeat(beat control.Heartbeat) {
	if len(m.node.watched) == 0 {
		return
	}
	from := m.node.watched[m.beats%len(m.node.watched)]
	m.beats++
	m.node.receiveLater(from, control.Heartbeat{
		Incarnation:   max(1, m.node.restarted[from]),
		ConfigVersion: beat.ConfigVersion,
	})
}

// serviceReport brings another node's report on workspaces accounted for here.
func (m *mirror) serviceReport(to control.NodeID, r control.ServiceReport) {
	counts := make([]control.ServiceCount, 0, len(r.Counts))
	for _, c := range r.Counts {
		pick := xxhash.Sum64String(string(to) + c.Workspace)
		name := m.node.accounted[pick%uint64(len(m.node.accounted))]
		key := accountKey{to, name}
		if !slices.Contains(m.behind[key], c.Workspace) {
			m.behind[key] = append(m.behind[key], c.Workspace)
		}
		c.Workspace = name
		counts = append(counts, c)
	}
	m.node.receiveLater(to, control.ServiceReport{Counts: counts})
}

// serviceTotals brings the totals of the workspaces that this node reported on.
func (m *mirror) serviceTotals(to control.NodeID, t control.ServiceTotals) {
	var counts []control.ServiceCount
	for _, c := range t.Counts {
		for _, name := range m.behind[accountKey{to, c.Workspace}] {
			c.Workspace = name
			counts = append(counts, c)
		}
	}
	if len(counts) > 0 {
		m.node.receiveLater(to, control.ServiceTotals{Counts: counts})
	}
}
