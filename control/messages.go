package control

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// Ticket asks the scheduler of a shard for a grant. It is small: the body
// stays at the entry. The entry sends it again until it is answered.
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
	// Work describes the tokens of the request, for pools that count in tokens.
	Work Work
	// Objective is the time from now within which the answer should begin; zero
	// if there is none.
	Objective time.Duration
	// Again says that the request was granted before and is to go on, or to be run
	// again, elsewhere.
	Again bool
	// Quiet says that the entry knows of the shard's backlog: Waiting is only
	// sent if the ticket waits long.
	Quiet bool
}

// Grant gives a ticket one slot of a target. The entry dispatches at once or
// returns the grant with a Report of OutcomeNotRun.
type Grant struct {
	ID     GrantID
	Ticket TicketID
	Target string
	// Spare counts the slots still free in the shard after this grant; if it
	// is negative, that many tickets wait there.
	Spare int
	// Start is when the answer is predicted to begin, from now, and Reads how
	// many tokens of the prompt the target has to read; for targets that count in
	// tokens.
	Start time.Duration
	Reads int
	// FetchFrom is the target that keeps the shared parts of the prompt, if they
	// are to be fetched from it; empty otherwise.
	FetchFrom string
}

// Refusal ends a ticket at the scheduler without a grant.
type Refusal struct {
	Ticket     TicketID
	Shard      ShardID
	Code       result.Code
	RetryAfter time.Duration
	// Excess says that the request lay beyond its workspace's share, and Ahead how
	// many tickets waited at the shard.
	Excess bool
	Ahead  int
}

// CancelTicket withdraws a ticket: the caller is gone, or another shard granted first.
type CancelTicket struct {
	Ticket TicketID
	Shard  ShardID
}

// RunPhase is the state of a run in a Report.
type RunPhase int

// The phases of a run.
const (
	// PhaseRunning: the run goes on. Sent on a slow period, and to a new
	// scheduler of the shard so that it counts the slot as taken.
	PhaseRunning RunPhase = iota
	// PhaseEnded: the run ended and the slot is free.
	PhaseEnded
	// PhaseBegan: the target has begun to answer, so it has read the prompt. Sent
	// once, for targets that count in tokens; a lost one is made up by the next run's.
	PhaseBegan
)

// Report tells the scheduler of a shard about a run under a grant. PhaseEnded
// is sent again until a ReportAck arrives.
type Report struct {
	Grant     GrantID
	Ticket    TicketID
	Shard     ShardID
	Workspace string
	Target    string
	Phase     RunPhase
	Outcome   Outcome // with PhaseEnded
	// Service is the slot time used so far.
	Service     time.Duration
	Fingerprint uint64
	// Work, Reads and Began describe a run to a scheduler that did not grant it: its
	// request, how many tokens of the prompt its target reads, and whether it has
	// begun to answer. Empty for others.
	Work  Work
	Reads int
	Began bool
}

// ReportAck ends the resending of a PhaseEnded report.
type ReportAck struct{ Grant GrantID }

// ServiceCount is one workspace's service in a ServiceReport or ServiceTotals,
// in slot time divided by share. Own and Total only grow.
type ServiceCount struct {
	Workspace string
	// Own is the scheduler's own cumulative service in its incarnation. In
	// ServiceTotals it is the part of Total that came from the receiver.
	Own time.Duration
	// Total is the workspace's level in the fleet as the sender knows it: its
	// service and what it was lifted by when it woke.
	Total time.Duration
	// Pending is what runs in progress are expected to take yet: the sender's
	// in a ServiceReport, all but the receiver's in ServiceTotals.
	Pending time.Duration
	// Waiting counts the schedulers at which something waits: the sender, in a
	// ServiceReport, or all but the receiver, in ServiceTotals.
	Waiting int
}

// ServiceReport goes from a scheduler to the accounting node of the
// workspaces, which rendezvous hashing picks. Counts are cumulative, so a lost,
// late or doubled report does no harm. It also asks for the totals.
type ServiceReport struct{ Counts []ServiceCount }

// ServiceTotals tells a scheduler the levels of the workspaces that it reported
// on of late.
type ServiceTotals struct{ Counts []ServiceCount }

// Heartbeat announces that a node lives. It goes to a bounded number of
// watchers, never to the whole fleet.
type Heartbeat struct {
	Incarnation   Incarnation
	ConfigVersion uint64
	// ConfigRevision and TargetsRevision are the revisions of the version and of the listing
	// of targets; see config.Order.
	ConfigRevision, TargetsRevision config.Revision
	Leaving                         bool
	// Follows says that the node follows the platform's feeds, and that they answer.
	Follows bool
}

// Waiting tells the entry that its ticket has to wait, so that it may also ask
// another shard. The first grant wins; the others are returned.
type Waiting struct {
	Ticket TicketID
	Shard  ShardID
	// Ahead counts the tickets of all workspaces waiting at the shard.
	Ahead int
}

// SuspectNotice says that a watcher no longer hears a node. The node refutes
// it with a heartbeat.
type SuspectNotice struct {
	Node        NodeID
	Incarnation Incarnation
}

// QuarantineNotice spreads evidence about requests that crash targets: either
// that targets crashed while they ran something, or that they did not crash
// after all, or that a request ran to completion. Each router judges by itself; see package control/quarantine.
type QuarantineNotice struct {
	// Crashes are the targets that crashed; empty if the notice tells of a
	// completion.
	Crashes []string
	// Running are the fingerprints that ran on a target that crashed, at most
	// 100. Empty beside Crashes: the targets have run without a crash for Age.
	Running []uint64
	// Fingerprint is the request that ran to completion.
	Fingerprint uint64
	// Age is how long ago it was.
	Age time.Duration
}

// UnreadNotice tells a scheduler that its sender refused requests of a workspace before it
// read them, as it had no processor time left. No ticket tells of those, and to the
// scheduler the workspace would seem content with what it is granted.
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
