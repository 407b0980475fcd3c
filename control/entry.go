package control

import (
	"container/list"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// Default limits of the queue of a workspace at one router.
const (
	defaultMaxQueued            = 256
	defaultMaxQueuedBytes int64 = 64 << 20
)

// Limits of the time after which refused callers are asked to retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// entry holds the requests that this node received.
type entry struct {
	requests map[RequestID]*request
	runs     map[GrantID]*run
	// latestRun maps a request to its latest run.
	latestRun map[RequestID]*run
	// ended holds the reports of ended runs that are not acknowledged yet.
	ended map[endedKey]*endedRun
	// workspaces counts the waiting requests here by workspace.
	workspaces map[string]*workspaceBacklog
	// waitingByPool holds the requests that wait here by pool, oldest first.
	waitingByPool map[string]*list.List
	hints         map[ShardID]*shardHint
	// loadReports holds what was last reported of the targets' load.
	loadReports loadReports
	// overloadedAt is when another node's scheduler last refused a request for lack of
	// capacity.
	overloadedAt map[ShardID]Instant
	// beyondShareAt is when another node's scheduler last refused a request of a workspace
	// as beyond its share.
	beyondShareAt map[shardWorkspace]Instant
	// avoidUntil is the time until which a scheduler is not asked; see
	// Machine.grantLocally.
	avoidUntil map[NodeID]Instant
	// lastAttempt is the number of the latest ticket of this node.
	lastAttempt uint32
	nextProbeAt Instant
}

// shardWorkspace identifies a workspace at a shard.
type shardWorkspace struct {
	shard     ShardID
	workspace string
}

// workspaceBacklog counts the requests of a workspace that wait here.
type workspaceBacklog struct {
	count int
	bytes int64
	// since is when requests began to wait without interruption, and grants counts the
	// grants since then: together they give the rate of grants.
	since  Instant
	grants int
}

// request is a request that waits for a grant.
type request struct {
	ev RequestArrived
	// id is the id of its tickets at all shards.
	id TicketID
	// shards are those that may serve it, in the order in which they are asked.
	shards []ShardID
	// regions are the allowed regions that its tickets carry.
	regions     config.AllowedRegions
	tickets     []*sentTicket
	poolElement *list.Element
	timer       timer
}

func newEntry() entry {
	return entry{
		requests:      make(map[RequestID]*request),
		runs:          make(map[GrantID]*run),
		latestRun:     make(map[RequestID]*run),
		ended:         make(map[endedKey]*endedRun),
		workspaces:    make(map[string]*workspaceBacklog),
		waitingByPool: make(map[string]*list.List),
		hints:         make(map[ShardID]*shardHint),
		loadReports:   make(loadReports),
		overloadedAt:  make(map[ShardID]Instant),
		beyondShareAt: make(map[shardWorkspace]Instant),
		avoidUntil:    make(map[NodeID]Instant),
	}
}

// isEmpty reports whether no request, no run and no unacknowledged report is left.
func (e *entry) isEmpty() bool {
	return len(e.requests) == 0 && len(e.runs) == 0 && len(e.ended) == 0
}

func (m *Machine) requestArrived(ev RequestArrived) {
	m.counters.RequestsArrived++
	if run := m.entry.latestRun[ev.Request]; run != nil && run.attempt >= ev.Attempt {
		return // duplicate
	}
	if old := m.entry.requests[ev.Request]; old != nil {
		if old.ev.Attempt >= ev.Attempt {
			return // duplicate
		}
		m.withdrawRequest(old)
	}
	code := m.admissionCode(ev)
	switch code {
	case result.OK:
	case result.PartQuarantined:
		m.refuseAfter(ev, code, m.jitter(partRetryAfter))
		return
	default:
		m.refuse(ev, code)
		return
	}
	ev.Excluded = m.excludedTargets(ev)
	shards := m.topo.candidateShards(ev, m.opts.DataCentre)
	if len(shards) == 0 {
		m.refuseNoCandidate(ev)
		return
	}
	r := &request{ev: ev, shards: shards, regions: m.topo.allowedRegions(ev)}
	m.addWaiting(r)
	m.assignTicketID(r)
	m.sendFirstTickets(r)
}

// admissionCode returns result.OK if a request may wait here, otherwise the reason why not.
func (m *Machine) admissionCode(ev RequestArrived) result.Code {
	if m.topo == nil {
		return result.NotReady
	}
	if m.draining && ev.Attempt <= 1 {
		return result.Draining // requests accepted before are still retried
	}
	if ev.Deadline <= m.now {
		return result.DeadlineBeforeGrant
	}
	if m.isConvicted(ev.Fingerprint) {
		return result.Quarantined
	}
	if m.refusesParts(ev.Pool, ev.Work) {
		return result.PartQuarantined
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

func orDefault[T int | int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// refuse ends an attempt that never waited or no longer waits.
func (m *Machine) refuse(ev RequestArrived, code result.Code) {
	m.refuseAfter(ev, code, m.retryAfter(ev.Workspace))
}

func (m *Machine) refuseAfter(ev RequestArrived, code result.Code, retryAfter time.Duration) {
	m.refuseWith(ev, Refuse{Code: code, RetryAfter: retryAfter})
}

// refuseWith ends an attempt with the given refusal.
func (m *Machine) refuseWith(ev RequestArrived, refuse Refuse) {
	m.counters.RequestsRefused++
	refuse.Request, refuse.Attempt = ev.Request, ev.Attempt
	m.emit(refuse)
}

// retryAfter estimates how long the workspace's queue here takes to empty and adds jitter,
// so that refused callers do not retry all at once.
func (m *Machine) retryAfter(workspace string) time.Duration {
	wait := minRetryAfter
	if w := m.entry.workspaces[workspace]; w != nil && w.count > 0 {
		perGrant := (m.now - w.since) / time.Duration(w.grants+1)
		wait = min(max(perGrant*time.Duration(w.count), minRetryAfter), maxRetryAfter)
	}
	return m.jitter(wait)
}

// addWaiting counts a request as waiting here.
func (m *Machine) addWaiting(r *request) {
	e := &m.entry
	e.requests[r.ev.Request] = r
	w := e.workspaces[r.ev.Workspace]
	if w == nil {
		w = &workspaceBacklog{since: m.now}
		e.workspaces[r.ev.Workspace] = w
	}
	w.count++
	w.bytes += r.ev.Bytes
	waiting := e.waitingByPool[r.ev.Pool]
	if waiting == nil {
		waiting = list.New()
		e.waitingByPool[r.ev.Pool] = waiting
	}
	r.poolElement = waiting.PushBack(r)
}

// removeWaiting counts a request as no longer waiting.
func (m *Machine) removeWaiting(r *request) {
	e := &m.entry
	m.timers.stop(&r.timer)
	delete(e.requests, r.ev.Request)
	w := e.workspaces[r.ev.Workspace]
	w.count--
	w.bytes -= r.ev.Bytes
	if w.count == 0 {
		delete(e.workspaces, r.ev.Workspace)
	}
	waiting := e.waitingByPool[r.ev.Pool]
	waiting.Remove(r.poolElement)
	if waiting.Len() == 0 {
		delete(e.waitingByPool, r.ev.Pool)
	}
}

// withdrawRequest ends a waiting request without emitting a result for it.
func (m *Machine) withdrawRequest(r *request) {
	m.cancelTickets(r, ShardID{})
	m.removeWaiting(r)
}

func (m *Machine) requestCancelled(ev RequestCancelled) {
	if r := m.entry.requests[ev.Request]; r != nil && r.ev.Attempt == ev.Attempt {
		m.withdrawRequest(r)
	}
	if run := m.entry.runOf(ev.Request, ev.Attempt); run != nil {
		// The grant and the cancellation crossed: no one has used the grant.
		m.endRun(run, OutcomeNotRun, 0)
	}
}

// runOf returns the run of an attempt; nil if there is none.
func (e *entry) runOf(request RequestID, attempt uint32) *run {
	latest := e.latestRun[request]
	if latest == nil || latest.attempt == attempt {
		return latest
	}
	for _, run := range e.runs {
		if run.request == request && run.attempt == attempt {
			return run
		}
	}
	return nil
}

// fire implements timerOwner: the deadline has passed or a ticket is due again.
func (r *request) fire(m *Machine) {
	if m.now >= r.ev.Deadline {
		retryAfter := m.retryAfter(r.ev.Workspace)
		m.withdrawRequest(r)
		m.refuseAfter(r.ev, result.DeadlineBeforeGrant, retryAfter)
		return
	}
	for _, sent := range r.tickets {
		if m.now >= m.resendAt(sent) {
			m.resendTicket(r, sent)
		}
	}
	m.armRequest(r)
}

// updateCandidateShards applies a new configuration version: the shards that may serve a
// waiting request may have changed.
func (m *Machine) updateCandidateShards() {
	for _, r := range m.entry.sortedRequests() {
		r.shards = m.topo.candidateShards(r.ev, m.opts.DataCentre)
		if len(r.shards) == 0 {
			m.withdrawRequest(r)
			m.refuseNoCandidate(r.ev)
			continue
		}
		if regions := m.topo.allowedRegions(r.ev); !regions.Equal(r.regions) {
			r.regions = regions
			m.cancelTickets(r, ShardID{})
			r.tickets = nil
			m.assignTicketID(r)
			m.sendFirstTickets(r)
		}
	}
}

// armRequest sets the request's timer to the next time at which it needs attention.
func (m *Machine) armRequest(r *request) {
	at := r.ev.Deadline
	for _, sent := range r.tickets {
		at = min(at, m.resendAt(sent))
	}
	m.timers.set(&r.timer, r, at)
}
