package control

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// Send sends a message to another node. Delivery is best effort: the machine tolerates
// loss, delay, duplication and reordering.
type Send struct {
	To      NodeID
	Message Message
}

// Dispatch instructs the goroutine that handles the request to run it on a target.
type Dispatch struct {
	Request RequestID
	Attempt uint32
	Grant   GrantID
	Target  string
	// PredictedStart, Reads and FetchFrom have the same meaning as in Grant.
	PredictedStart time.Duration
	Reads          int
	FetchFrom      string
}

// Refuse ends a waiting request with a result code.
type Refuse struct {
	Request    RequestID
	Attempt    uint32
	Code       result.Code
	RetryAfter time.Duration
	// Scheduler is the node that refused; empty if this node refused without asking a
	// scheduler. Excess and Ahead have the same meaning as in Refusal.
	Scheduler NodeID
	Excess    bool
	Ahead     int
}

// TargetHealthChanged reports that this node, as a scheduler, changed its assessment of a
// target's health.
type TargetHealthChanged struct {
	Target string
	// Failing reports that the target gets no grants for Backoff, after Failures
	// consecutive failures; otherwise it serves again. Cause is the latest event that led
	// to the change.
	Failing  bool
	Failures int
	Backoff  time.Duration
	Cause    string
}

// TargetCold reports that a target scheduled here is, or may be, cold for the given time.
type TargetCold struct {
	Target string
	For    time.Duration
}

// SchedulerAvoided reports that a scheduler left a ticket unanswered, that nothing was
// received from it for UnresponsiveFor, and that this node grants locally for a while.
type SchedulerAvoided struct {
	Node            NodeID
	Pool            string
	UnresponsiveFor time.Duration
}

// WatchTargets replaces the set of targets whose load this node polls.
type WatchTargets struct{ Targets []string }

// QuarantineChanged notifies the guard filter that a fingerprint became quarantined, or is no
// longer quarantined.
type QuarantineChanged struct {
	Fingerprint uint64
	Quarantined bool
}

// VersionSeen reports that a member announced a configuration version, or a listing of
// targets, newer than the one in force here; package follower fetches it from that member.
type VersionSeen struct {
	From    NodeID
	Version uint64
	// ConfigRevision and TargetsRevision have the same meaning as in Heartbeat.
	ConfigRevision, TargetsRevision config.Revision
}

// FeedRole sets whether this node has to follow the platform's feeds itself. Otherwise
// other nodes of its data centre forward what they learn.
type FeedRole struct {
	Follow bool
	// Probe reports that no other node verifies, by calls of its own, that the platform
	// still accepts calls that wait for changes; this node has to.
	Probe bool
	// Ahead counts the nodes that rank before this one to follow the feeds and do not
	// follow yet.
	Ahead int
}

// RecheckFeeds reports that the platform stopped answering another node: this node's own
// calls that wait for changes may have been lost.
type RecheckFeeds struct{}

// Drained reports that no shard and no request is left here after DrainStarted.
type Drained struct{}

func (Send) isCommand()                {}
func (Dispatch) isCommand()            {}
func (Refuse) isCommand()              {}
func (WatchTargets) isCommand()        {}
func (QuarantineChanged) isCommand()   {}
func (VersionSeen) isCommand()         {}
func (FeedRole) isCommand()            {}
func (RecheckFeeds) isCommand()        {}
func (Drained) isCommand()             {}
func (TargetHealthChanged) isCommand() {}
func (TargetCold) isCommand()          {}
func (SchedulerAvoided) isCommand()    {}
