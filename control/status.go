package control

// Status is a read-only picture of a machine for operators and metrics.
type Status struct {
	Node        NodeID
	Incarnation Incarnation
	// ConfigVersion is the version in force; zero if none.
	ConfigVersion uint64
	Draining      bool
	// Members are the nodes in view, without this one.
	Members []MemberStatus
	// Shards are the shards scheduled here.
	Shards []ShardStatus
	// Waiting and Running count the requests that entered here.
	Waiting int
	Running int
}

// MemberStatus is one node in view.
type MemberStatus struct {
	Node       NodeID
	DataCentre string
	Alive      bool
	Leaving    bool
}

// ShardStatus is one shard scheduled here.
type ShardStatus struct {
	Shard ShardID
	// Queued counts the waiting tickets.
	Queued int
	// Backlog counts the waiting tickets by workspace.
	Backlog map[string]int
}

// Status returns the present state. It reads everything: call it for operators,
// not per request.
func (m *Machine) Status() Status {
	st := Status{Node: m.opts.Node, Incarnation: m.opts.Incarnation, Draining: m.members.draining}
	if m.topo != nil {
		st.ConfigVersion = uint64(m.topo.version)
	}
	for _, node := range m.sortedPeers() {
		p := m.members.peers[node]
		st.Members = append(st.Members, MemberStatus{Node: node, DataCentre: p.dataCentre, Alive: m.alive(p), Leaving: p.leaving})
	}
	for id, s := range m.sched.shards {
		ss := ShardStatus{Shard: id, Queued: len(s.queue), Backlog: make(map[string]int)}
		for _, w := range s.queue {
			ss.Backlog[w.ticket.Workspace]++
		}
		st.Shards = append(st.Shards, ss)
	}
	for _, p := range m.entry.requests {
		if p.granted {
			st.Running++
		} else {
			st.Waiting++
		}
	}
	return st
}
