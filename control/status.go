package control

import (
	"time"
)

// Counters counts what a machine did since it was created.
type Counters struct {
	RequestsArrived       uint64
	RequestsRefused       uint64
	TicketsSent           uint64
	TicketsResent         uint64
	TicketsQueued         uint64
	TicketsLapsed         uint64 // dropped as their entry no longer refreshed them or became unreachable
	TicketsHopeless       uint64 // refused while waiting: no target can be expected to serve them, or the request was convicted
	TicketsOverloaded     uint64
	TicketsDeferred       uint64
	TicketsLocal          uint64 // sent to this node's own queue after no answer
	UnreadWhileOwed       uint64 // requests refused unread while their workspace had share left and a target had room
	ShareGaps             uint64
	Dispatches            uint64
	GrantsMade            uint64
	GrantsResent          uint64
	GrantsReturned        uint64
	GrantsWithheld        uint64 // returned because of a notice of their target
	GrantsAdopted         uint64
	GrantsEnded           uint64
	GrantsReclaimed       uint64
	GrantsOverdue         uint64 // whose slots were freed as their answers were lost
	GrantsDisowned        uint64 // no longer tracked as their entry node was unreachable
	TargetsPaced          uint64 // targets passed over for a ticket, as reading its prompt would delay their answers beyond their deadlines
	GrantsMovedBySpeed    uint64 // that went to another target than without the speeds that targets report
	ReadingsUsed          uint64 // speeds that targets reported and that were used
	ReportsResent         uint64
	SchedulersUnanswering uint64
	NodesSuspected        uint64
	HeartbeatsReceived    uint64
	HeartbeatsAnswered    uint64 // of nodes that were behind
	TargetFailures        uint64
	TargetProbes          uint64 // runs granted to failing targets
	TargetsCold           uint64
	LoadReadings          uint64 // of targets scheduled here, by reports of runs
	Convictions           uint64
	TargetCrashes         uint64 // targets that lost all their runs at once
	PartConvictions       uint64 // sets of prompt parts that are refused from then on
	PartTrials            uint64 // requests queued to find out whether their parts crash targets
	PartClearances        uint64 // notices that suspected parts lived
	AffinitiesRecorded    uint64 // streams that began here
	AffinitiesCopied      uint64 // records sent after a change of members
	AffinitiesHere        uint64 // found at this node
	AffinitiesElsewhere   uint64 // found at another node
	AffinitiesUnknown     uint64
	MessagesSent          uint64
	StaleMessages         uint64
	Thaws                 uint64 // long pauses of the process
}

// Counters returns the counts so far.
func (m *Machine) Counters() Counters { return m.counters }

// Status is a read-only snapshot of a machine for operators.
type Status struct {
	Node        NodeID
	Incarnation Incarnation
	// ConfigVersion is the version in force; zero if none.
	ConfigVersion uint64
	Draining      bool
	// Members are the other nodes in view, in order of name.
	Members []MemberStatus
	// Shards are the shards scheduled here.
	Shards []ShardStatus
	// Waiting and Running count the requests that entered here and wait for a
	// grant or run under one.
	Waiting int
	Running int
	// ByWorkspace counts the requests that entered here, by workspace.
	ByWorkspace map[string]EntryCount
}

// EntryCount counts the requests of one workspace that entered here.
type EntryCount struct {
	Waiting      int
	WaitingBytes int64
	Running      int
}

// MemberStatus is one node in view.
type MemberStatus struct {
	Node       NodeID
	DataCentre string
	// Alive reports whether the node may be given work.
	Alive   bool
	Leaving bool
}

// ShardStatus is one shard scheduled here.
type ShardStatus struct {
	Shard ShardID
	// Owned reports whether this node owns the shard in its own view.
	Owned bool
	// Queued and Granted count the waiting tickets and the grants held.
	Queued  int
	Granted int
	// Backlog counts the waiting tickets by workspace.
	Backlog map[string]int
	Targets []TargetStatus
}

// TargetStatus is one target of a shard scheduled here.
type TargetStatus struct {
	Target string
	// Slots is the number of requests the target serves at once, Granted the number of
	// grants held, and Room how many more may be granted now.
	Slots   int
	Granted int
	Room    int
	Leaving bool
	// Evacuated reports whether the target's data centre is being evacuated.
	Evacuated bool
	// DownFor is how much longer the target gets no grants after failures.
	DownFor time.Duration
	// LoadAge is the age of the last load report; negative if there is none.
	LoadAge time.Duration
}

// Status returns the present state. It reads all of it, so call it for operators, not for
// each request.
func (m *Machine) Status() Status {
	st := Status{
		Node:        m.opts.Node,
		Incarnation: m.opts.Incarnation,
		Draining:    m.draining,
		Waiting:     len(m.entry.requests),
		Running:     len(m.entry.runs),
		ByWorkspace: make(map[string]EntryCount, len(m.entry.workspaces)),
	}
	if m.topo != nil {
		st.ConfigVersion = uint64(m.topo.order.Version)
	}
	for _, n := range m.view.Nodes() {
		st.Members = append(st.Members, MemberStatus{
			Node:       NodeID(n.Name),
			DataCentre: n.DataCentre,
			Alive:      m.view.Alive(n.Name),
			Leaving:    n.Leaving,
		})
	}
	for name, w := range m.entry.workspaces {
		st.ByWorkspace[name] = EntryCount{Waiting: w.count, WaitingBytes: w.bytes}
	}
	for _, r := range m.entry.runs {
		count := st.ByWorkspace[r.workspace]
		count.Running++
		st.ByWorkspace[r.workspace] = count
	}
	for _, s := range m.sched.sortedShards() {
		st.Shards = append(st.Shards, m.shardStatus(s))
	}
	return st
}

func (m *Machine) shardStatus(s *shard) ShardStatus {
	st := ShardStatus{
		Shard:   s.id,
		Owned:   s.owned,
		Queued:  len(s.queued),
		Granted: len(s.granted),
		Backlog: make(map[string]int),
	}
	for _, q := range s.queued {
		st.Backlog[q.workspace.name]++
	}
	for _, t := range s.targets {
		st.Targets = append(st.Targets, TargetStatus{
			Target:    t.name,
			Slots:     t.window.Slots(),
			Granted:   t.window.Held(),
			Room:      t.room(m.now),
			Leaving:   t.leaving || t.reportedLeaving,
			Evacuated: t.evacuated,
			DownFor:   max(0, t.backoffUntil-m.now),
			LoadAge:   t.loadAge(m.now),
		})
	}
	return st
}

func (t *target) loadAge(now Instant) time.Duration {
	if t.loadReportedAt < 0 {
		return -1
	}
	return now - t.loadReportedAt
}
