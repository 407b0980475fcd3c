package control

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// Send sends a message to another node. Delivery is best effort: the machine
// bears loss, delay, doubling and reordering.
type Send struct {
	To      NodeID
	Message Message
}

// Dispatch tells the entry's traffic goroutine to run the request on a target.
type Dispatch struct {
	Request RequestID
	Attempt uint32
	Grant   GrantID
	Target  string
	// Start, Reads and FetchFrom are as in the Grant.
	Start     time.Duration
	Reads     int
	FetchFrom string
}

// Refuse ends a waiting request with a numbered code.
type Refuse struct {
	Request    RequestID
	Attempt    uint32
	Code       result.Code
	RetryAfter time.Duration
	// Scheduler is the node that refused; empty if this one did before asking.
	// Excess and Ahead are as in its Refusal.
	Scheduler NodeID
	Excess    bool
	Ahead     int
}

// TargetJudged tells that this node, as a scheduler, has changed its mind about
// a target.
type TargetJudged struct {
	Target string
	// Failing says that it is passed over for Pause, after so many Failures in a
	// row; else it serves again. Cause is what spoke last.
	Failing  bool
	Failures int
	Pause    time.Duration
	Cause    string
}

// TargetCold reports that a target scheduled here is, or may be, cold for the given time.
type TargetCold struct {
	Target string
	For    time.Duration
}

// SchedulerAvoided tells that a scheduler left a ticket unanswered for Silent, and
// that this node grants by itself for a while.
type SchedulerAvoided struct {
	Node   NodeID
	Pool   string
	Silent time.Duration
}

// WatchTargets replaces the set of targets whose load this node polls.
type WatchTargets struct{ Targets []string }

// QuarantineChanged tells the guard filter that a fingerprint is or is no
// longer quarantined.
type QuarantineChanged struct {
	Fingerprint uint64
	Quarantined bool
}

// VersionSeen says that a member announced a configuration version newer than
// the one in force here: the follower fetches it from that member.
type VersionSeen struct {
	From    NodeID
	Version uint64
	// TargetsRevision is the revision of that member's listing of targets.
	TargetsRevision config.Revision
}

// FeedTurn says whether this node has to follow the platform's feeds itself. Others
// of its data centre tell it what they learn otherwise.
type FeedTurn struct {
	Wanted bool
	// Proves says that no other node proves, by calls of its own, that the platform takes
	// the calls that wait for changes.
	Proves bool
	// Ahead counts the nodes that would follow before this one and do not yet.
	Ahead int
}

// FeedsDoubted says that the platform was silent to another node: calls of this one that
// wait for changes may have been lost.
type FeedsDoubted struct{}

// Drained says that, after DrainStarted, no shard and no request is left here.
type Drained struct{}

func (Send) isCommand()              {}
func (Dispatch) isCommand()          {}
func (Refuse) isCommand()            {}
func (WatchTargets) isCommand()      {}
func (QuarantineChanged) isCommand() {}
func (VersionSeen) isCommand()       {}
func (FeedTurn) isCommand()          {}
func (FeedsDoubted) isCommand()      {}
func (Drained) isCommand()           {}
func (TargetJudged) isCommand()      {}
func (TargetCold) isCommand()        {}
func (SchedulerAvoided) isCommand()  {}
