package control

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/result"
)

// Ticket asks the scheduler of a shard for a grant. It is small, as the request body stays
// at the entry. The entry sends it again until it is answered. CostHint, PrefixHash,
// Fingerprint and Excluded have the same meaning as in RequestArrived.
type Ticket struct {
	ID          TicketID
	Shard       ShardID
	Workspace   string
	CostHint    time.Duration
	TimeLeft    time.Duration // until the deadline
	PrefixHash  uint64
	Fingerprint uint64
	Excluded    []string
	// AllowedRegions are the regions whose targets may handle the request.
	AllowedRegions config.AllowedRegions
	// Software limits the software version of the targets that may handle the request.
	Software config.SoftwareLimit
	// Work describes the tokens of the request, for pools that count in tokens.
	Work Work
	// Objective is the time from now within which the answer should begin; zero if there is
	// none.
	Objective time.Duration
	// Again reports that the request was granted before and is to be continued, or run
	// again, on another target.
	Again bool
	// Continues has the same meaning as in RequestArrived.
	Continues bool
	// Quiet reports that the entry knows the shard's backlog: Waiting is sent only if the
	// ticket waits for long.
	Quiet bool
}

// Grant assigns one slot of a target to a ticket. The entry dispatches the request at once
// or returns the grant with a Report of OutcomeNotRun.
type Grant struct {
	ID     GrantID
	Ticket TicketID
	Target string
	// Spare is the number of slots still free in the shard after this grant; if negative,
	// the number of tickets waiting there.
	Spare int
	// PredictedStart is the predicted time from now until the answer begins, and Reads the
	// number of prompt tokens that the target has to read; for targets that count in
	// tokens.
	PredictedStart time.Duration
	Reads          int
	// FetchFrom is the target that has the shared parts of the prompt in its cache, if they
	// are to be fetched from it; empty otherwise.
	FetchFrom string
}

// Refusal ends a ticket at the scheduler without a grant.
type Refusal struct {
	Ticket TicketID
	Shard  ShardID
	Code   result.Code
	// RetryAfter is the time after which the caller is asked to retry; zero if the entry is
	// to estimate it.
	RetryAfter time.Duration
	// Excess reports that the request exceeded its workspace's share, and Ahead is the
	// number of tickets that waited at the shard.
	Excess bool
	Ahead  int
}

// CancelTicket withdraws a ticket because the caller disconnected or another shard granted
// first.
type CancelTicket struct {
	Ticket TicketID
	Shard  ShardID
}

// RunPhase is the state of a run in a Report.
type RunPhase int

// The phases of a run.
const (
	// PhaseRunning: the run is in progress. Sent at a long period, and to a new scheduler
	// of the shard so that it counts the slot as occupied.
	PhaseRunning RunPhase = iota
	// PhaseEnded: the run ended and its slot is free.
	PhaseEnded
	// PhaseBegan: the target has begun to answer, so it has read the prompt. Sent once, for
	// targets that count in tokens; if lost, the report of the next run compensates for it.
	PhaseBegan
	// PhaseOverdue: like PhaseRunning, for a run whose target has not begun to answer although
	// the request's deadline has passed. The answer may have been lost.
	PhaseOverdue
	// PhaseSilent: like PhaseRunning, for a run whose target has sent nothing for so long that
	// another one is asked for. Sent once for each such silence.
	PhaseSilent
)

// Report informs the scheduler of a shard about a run under a grant. PhaseEnded is sent
// again until a ReportAck arrives.
type Report struct {
	Grant     GrantID
	Ticket    TicketID
	Shard     ShardID
	Workspace string
	Target    string
	Phase     RunPhase
	Outcome   Outcome // set with PhaseEnded
	// Service is the slot time used so far; with PhaseBegan, the time from the grant's
	// arrival at the entry until the answer began.
	Service     time.Duration
	Fingerprint uint64
	// Work, Reads and Began describe a run to a scheduler that did not grant it: the
	// request's tokens, the number of prompt tokens that its target reads, and whether it
	// has begun to answer. They are empty for other schedulers.
	Work  Work
	Reads int
	Began bool
	// Load is what the target reported with its response, LoadAge before the report was sent;
	// the zero value if it reported nothing.
	Load    speed.Reading
	LoadAge time.Duration
}

// ReportAck confirms a PhaseEnded report, which is then no longer sent again.
type ReportAck struct{ Grant GrantID }

// ServiceCount is one workspace's service in a ServiceReport or ServiceTotals, in slot time
// divided by share. Own and Total never decrease.
type ServiceCount struct {
	Workspace string
	// Own is the cumulative service given by the scheduler in its current incarnation. In
	// ServiceTotals it is the part of Total that came from the receiver.
	Own time.Duration
	// Total is the workspace's service level in the fleet as known to the sender: its
	// service plus the amounts by which its level was raised when it began to wait.
	Total time.Duration
	// Pending is the expected remaining service of runs in progress: the sender's in a
	// ServiceReport, all but the receiver's in ServiceTotals.
	Pending time.Duration
	// Waiting counts the schedulers with waiting tickets of the workspace: the sender in a
	// ServiceReport, all but the receiver in ServiceTotals.
	Waiting int
}

// ServiceReport goes from a scheduler to the accounting node of the workspaces, which
// rendezvous hashing selects. Counts are cumulative, so lost, late or duplicate reports do
// no harm. It is also a request for the totals.
type ServiceReport struct{ Counts []ServiceCount }

// ServiceTotals sends a scheduler the levels of the workspaces that it recently reported
// on.
type ServiceTotals struct{ Counts []ServiceCount }

// Heartbeat announces that a node is alive. Periodic heartbeats are sent to a bounded
// number of watchers, never to the whole fleet.
type Heartbeat struct {
	Incarnation   Incarnation
	ConfigVersion uint64
	// ConfigRevision and TargetsRevision are the revisions of the configuration version and
	// of the listing of targets; see config.Order.
	ConfigRevision, TargetsRevision config.Revision
	Leaving                         bool
	// Follows reports that the node follows the platform's feeds and that they answer.
	Follows bool
	// WithoutState reports that version and revisions are omitted.
	WithoutState bool
}

// Waiting notifies the entry that its ticket has to wait, so that it may ask another shard as
// well. The first grant wins; the others are returned.
type Waiting struct {
	Ticket TicketID
	Shard  ShardID
	// Ahead counts the waiting tickets of all workspaces at the shard.
	Ahead int
}

// SuspectNotice reports that a watcher no longer receives heartbeats from a node. The node
// refutes it with a heartbeat.
type SuspectNotice struct {
	Node        NodeID
	Incarnation Incarnation
}

// QuarantineNotice distributes evidence about requests that crash targets: that targets
// crashed while they ran something, that they did not crash after all, or that a request
// ran to completion. Each router evaluates the evidence itself; see package
// control/quarantine.
type QuarantineNotice struct {
	// Crashes lists the targets that crashed; empty if the notice reports a completion.
	Crashes []string
	// Running lists the fingerprints that ran on a target that crashed, at most 100. If it
	// is empty while Crashes is not, those targets have run without a crash for Age.
	Running []uint64
	// Fingerprint identifies the request that ran to completion.
	Fingerprint uint64
	// Age is the time since the event.
	Age time.Duration
}

// UnreadNotice notifies a scheduler that its sender refused requests of a workspace before
// reading them, as it had no processor time left. No ticket is sent for these, so without
// the notice the scheduler would assume that the workspace is satisfied with what it is
// granted.
type UnreadNotice struct {
	Shard     ShardID
	Workspace string
	Count     int
}

func (Ticket) isMessage()           {}
func (Grant) isMessage()            {}
func (Refusal) isMessage()          {}
func (CancelTicket) isMessage()     {}
func (Report) isMessage()           {}
func (ReportAck) isMessage()        {}
func (ServiceReport) isMessage()    {}
func (ServiceTotals) isMessage()    {}
func (Heartbeat) isMessage()        {}
func (QuarantineNotice) isMessage() {}
func (UnreadNotice) isMessage()     {}
func (Waiting) isMessage()          {}
func (SuspectNotice) isMessage()    {}
