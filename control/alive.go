package control

import "slices"

// AliveVersion changes whenever the result of AliveNodes does.
func (m *Machine) AliveVersion() uint64 { return m.view.Version() }

// AliveNodes returns the nodes that may be given work according to this node's view, sorted
// by name. This node is included unless it is leaving.
func (m *Machine) AliveNodes() []NodeID {
	var alive []NodeID
	for _, n := range m.view.Nodes() {
		if m.view.Alive(n.Name) {
			alive = append(alive, NodeID(n.Name))
		}
	}
	if m.view.Alive(string(m.opts.Node)) {
		alive = append(alive, m.opts.Node)
	}
	slices.Sort(alive)
	return alive
}
