package control

import (
	"container/list"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// Bounds of the queue of a workspace at one router, where the configuration
// gives none.
const (
	defaultMaxQueued            = 256
	defaultMaxQueuedBytes int64 = 64 << 20
)

// Bounds of the advice when to come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// entry holds the requests that entered here.
type entry struct {
	requests map[RequestID]*request
	runs     map[GrantID]*run
	// granted finds the latest run of a request.
	granted map[RequestID]*run
	ended   map[endedKey]*endedRun
	// workspaces counts what waits here.
	workspaces map[string]*entryWorkspace
	// pools holds the requests that wait here, oldest first.
	pools map[string]*list.List
	hints map[ShardID]*shardHint
	// fullAt is when another node's scheduler last refused a request for want of capacity.
	fullAt map[ShardID]Instant
	// beyondShare is when another node's scheduler last refused a request of a workspace as beyond
	// its share.
	beyondShare map[workspaceAt]Instant
	// avoid holds until when a scheduler is not asked; see Machine.grantHere.
	avoid map[NodeID]Instant
	// nextAttempt numbers the tickets of this node.
	nextAttempt uint32
	nextProbe   Instant
}

// workspaceAt is a workspace at a shard.
type workspaceAt struct {
	shard     ShardID
	workspace string
}

// entryWorkspace counts what waits here for a workspace.
type entryWorkspace struct {
	count int
	bytes int64
	// since and grants give the rate of grants while something waits.
	since  Instant
	grants int
}

// request is a request that waits for a grant.
type request struct {
	ev RequestArrived
	id TicketID
	// shards are those that may serve it, in the order to ask them.
	shards []ShardID
	// regions are the allowed regions that its tickets carry.
	regions config.AllowedRegions
	asks    []*ask
	element *list.Element
	timer   timer
}

func newEntry() entry {
	return entry{
		requests:    make(map[RequestID]*request),
		runs:        make(map[GrantID]*run),
		granted:     make(map[RequestID]*run),
		ended:       make(map[endedKey]*endedRun),
		workspaces:  make(map[string]*entryWorkspace),
		pools:       make(map[string]*list.List),
		hints:       make(map[ShardID]*shardHint),
		fullAt:      make(map[ShardID]Instant),
		beyondShare: make(map[workspaceAt]Instant),
		avoid:       make(map[NodeID]Instant),
	}
}

// empty says that no request and no unacknowledged report is left.
func (e *entry) empty() bool {
	return len(e.requests) == 0 && len(e.runs) == 0 && len(e.ended) == 0
}

func (m *Machine) requestArrived(ev RequestArrived) {
	m.counters.RequestsArrived++
	if run := m.entry.granted[ev.Request]; run != nil && run.attempt >= ev.Attempt {
		return // doubled
	}
	if old := m.entry.requests[ev.Request]; old != nil {
		if old.ev.Attempt >= ev.Attempt {
			return // doubled
		}
		m.withdraw(old)
	}
	code := m.admit(ev)
	if code != result.OK {
		m.refuse(ev, code)
		return
	}
	ev.Excluded = m.withHeldOff(ev)
	shards := m.topo.candidates(ev, m.opts.DataCentre)
	if len(shards) == 0 {
		m.refuseNoCandidate(ev)
		return
	}
	r := &request{ev: ev, shards: shards, regions: m.topo.allowedRegions(ev)}
	m.hold(r)
	m.newTicket(r)
	m.askFirst(r)
}

// admit says whether a request may wait here: result.OK or the reason why not.
func (m *Machine) admit(ev RequestArrived) result.Code {
	if m.topo == nil {
		return result.NotReady
	}
	if m.draining && ev.Attempt <= 1 {
		return result.Draining // what was taken before is retried as ever
	}
	if ev.Deadline <= m.now {
		return result.DeadlineBeforeGrant
	}
	if m.convicted(ev.Fingerprint) {
		return result.Quarantined
	}
	w := m.entry.workspaces[ev.Workspace]
	if w == nil {
		return result.OK
	}
	decl := m.topo.decl.Workspaces[ev.Workspace]
	if w.count >= orDefault(decl.MaxQueued, defaultMaxQueued) {
		return result.QueueFull
	}
	if w.bytes+ev.Bytes > orDefault(decl.MaxQueuedBytes, defaultMaxQueuedBytes) {
		return result.QueueBytesFull
	}
	return result.OK
}

func orDefault[T int | int64](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// refuse ends an attempt that never waited or waits no longer.
func (m *Machine) refuse(ev RequestArrived, code result.Code) {
	m.refuseAfter(ev, code, m.retryAfter(ev.Workspace))
}

func (m *Machine) refuseAfter(ev RequestArrived, code result.Code, after time.Duration) {
	m.refuseWith(ev, Refuse{Code: code, RetryAfter: after})
}

// refuseWith ends an attempt for the given reason.
func (m *Machine) refuseWith(ev RequestArrived, why Refuse) {
	m.counters.RequestsRefused++
	why.Request, why.Attempt = ev.Request, ev.Attempt
	m.emit(why)
}

// retryAfter estimates how long the workspace's queue here takes to drain and
// spreads it, so that the refused do not come back together.
func (m *Machine) retryAfter(workspace string) time.Duration {
	drain := minRetryAfter
	if w := m.entry.workspaces[workspace]; w != nil && w.count > 0 {
		perGrant := (m.now - w.since) / time.Duration(w.grants+1)
		drain = min(max(perGrant*time.Duration(w.count), minRetryAfter), maxRetryAfter)
	}
	return m.jitter(drain)
}

// hold counts a request as waiting here.
func (m *Machine) hold(r *request) {
	e := &m.entry
	e.requests[r.ev.Request] = r
	w := e.workspaces[r.ev.Workspace]
	if w == nil {
		w = &entryWorkspace{since: m.now}
		e.workspaces[r.ev.Workspace] = w
	}
	w.count++
	w.bytes += r.ev.Bytes
	waiting := e.pools[r.ev.Pool]
	if waiting == nil {
		waiting = list.New()
		e.pools[r.ev.Pool] = waiting
	}
	r.element = waiting.PushBack(r)
}

// release counts a request as waiting no longer.
func (m *Machine) release(r *request) {
	e := &m.entry
	m.timers.stop(&r.timer)
	delete(e.requests, r.ev.Request)
	w := e.workspaces[r.ev.Workspace]
	w.count--
	w.bytes -= r.ev.Bytes
	if w.count == 0 {
		delete(e.workspaces, r.ev.Workspace)
	}
	waiting := e.pools[r.ev.Pool]
	waiting.Remove(r.element)
	if waiting.Len() == 0 {
		delete(e.pools, r.ev.Pool)
	}
}

// withdraw ends a request that waits, without an answer to the shell.
func (m *Machine) withdraw(r *request) {
	m.cancelAsks(r, ShardID{})
	m.release(r)
}

func (m *Machine) requestCancelled(ev RequestCancelled) {
	if r := m.entry.requests[ev.Request]; r != nil {
		m.withdraw(r)
	}
	if run := m.entry.granted[ev.Request]; run != nil {
		// The grant crossed the cancellation: nobody took it.
		m.endRun(run, OutcomeNotRun, 0)
	}
}

// fire implements timed: the deadline has come or a ticket is due again.
func (r *request) fire(m *Machine) {
	if m.now >= r.ev.Deadline {
		after := m.retryAfter(r.ev.Workspace)
		m.withdraw(r)
		m.refuseAfter(r.ev, result.DeadlineBeforeGrant, after)
		return
	}
	for _, a := range r.asks {
		if m.now >= m.due(a) {
			m.repeat(r, a)
		}
	}
	m.arm(r)
}

// retarget follows a new configuration version: the shards that may serve a
// waiting request may have changed.
func (m *Machine) retarget() {
	for _, r := range m.entry.sortedRequests() {
		r.shards = m.topo.candidates(r.ev, m.opts.DataCentre)
		if len(r.shards) == 0 {
			m.withdraw(r)
			m.refuseNoCandidate(r.ev)
			continue
		}
		if regions := m.topo.allowedRegions(r.ev); !regions.Equal(r.regions) {
			r.regions = regions
			m.cancelAsks(r, ShardID{})
			r.asks = nil
			m.newTicket(r)
			m.askFirst(r)
		}
	}
}

// arm sets the request's timer to the next thing to do.
func (m *Machine) arm(r *request) {
	at := r.ev.Deadline
	for _, a := range r.asks {
		at = min(at, m.due(a))
	}
	m.timers.set(&r.timer, r, at)
}
