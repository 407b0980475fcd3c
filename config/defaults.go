package config

// Defaults of fields that a declaration omits.
const (
	// DefaultShare is the weight of a workspace.
	DefaultShare = 1.0
	// DefaultMaxQueued limits a workspace's queued requests at one router.
	DefaultMaxQueued = 256
	// DefaultMaxQueuedBytes limits a workspace's queued body bytes at one router: 64 MiB.
	DefaultMaxQueuedBytes = 64 << 20
	// DefaultTypicalMillis is the slot time charged at grant, in milliseconds.
	DefaultTypicalMillis = 1000
	// DefaultSlots is the number of requests that a target runs concurrently.
	DefaultSlots = 1
)

func defaultWorkspace() Workspace {
	return withWorkspaceDefaults(Workspace{})
}

func defaultPool() Pool {
	return withPoolDefaults(Pool{})
}

func defaultTarget() Target {
	return withTargetDefaults(Target{})
}

func withWorkspaceDefaults(w Workspace) Workspace {
	if w.Share == 0 {
		w.Share = DefaultShare
	}
	if w.MaxQueued == 0 {
		w.MaxQueued = DefaultMaxQueued
	}
	if w.MaxQueuedBytes == 0 {
		w.MaxQueuedBytes = DefaultMaxQueuedBytes
	}
	return normaliseWorkspace(w)
}

func withPoolDefaults(p Pool) Pool {
	if p.TypicalMillis == 0 {
		p.TypicalMillis = DefaultTypicalMillis
	}
	return normalisePool(p)
}

func withTargetDefaults(t Target) Target {
	if t.Slots == 0 {
		t.Slots = DefaultSlots
	}
	return normaliseTarget(t)
}

// WithDefaults returns a copy of d in which every zero field that has a
// default is set to it. It is meant for declarations built in Go; files and
// patches get their defaults during decoding, so that an explicit zero is
// rejected rather than replaced.
func WithDefaults(d Declarations) Declarations {
	return Declarations{
		Workspaces: mapValues(d.Workspaces, withWorkspaceDefaults),
		Pools:      mapValues(d.Pools, withPoolDefaults),
		Targets:    mapValues(d.Targets, withTargetDefaults),
		Routes:     mapValues(d.Routes, withRouteDefaults),
		Callers:    d.Callers,
	}
}

func mapValues[T any](old map[string]T, convert func(T) T) map[string]T {
	next := make(map[string]T, len(old))
	for name, value := range old {
		next[name] = convert(value)
	}
	return next
}
