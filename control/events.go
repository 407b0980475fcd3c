package control

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// ConfigChanged says that a newer configuration version is in force here.
type ConfigChanged struct{ Snapshot *config.Snapshot }

// RequestArrived asks for a grant for a request that entered here. It is sent
// again with a higher Attempt to retry on another target.
type RequestArrived struct {
	Request   RequestID
	Attempt   uint32
	Workspace string
	Pool      string
	// Route is the name of the route that the request matched; empty if there is none.
	Route string
	// CostHint is the caller's rough slot time; zero if none.
	CostHint time.Duration
	// Deadline is the latest time of dispatch.
	Deadline Instant
	// Bytes is the size of the held body.
	Bytes int64
	// PrefixHash is the hash of the prompt's beginning; zero if none.
	PrefixHash uint64
	// Fingerprint is the hash that quarantine goes by.
	Fingerprint uint64
	// Work describes the tokens of the request, for pools that count in tokens.
	Work Work
	// Objective is the time by which the answer should begin; zero if none.
	Objective Instant
	// Excluded are targets that must not be granted.
	Excluded []string
}

// Work describes the tokens of a request.
type Work struct {
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// PromptTokens and OutputTokens are the length of the prompt and about that
	// of the answer.
	PromptTokens, OutputTokens int
}

// PromptPart is one part of a prompt. Requests whose first parts are the same
// share what a target keeps of them.
type PromptPart struct {
	// ID names the part's content.
	ID uint64
	// Tokens is the part's length.
	Tokens int
}

// RequestCancelled says that the caller went away or the request was settled
// before dispatch. The slot or queue place is freed.
type RequestCancelled struct{ Request RequestID }

// Outcome says how a run ended.
type Outcome int

// The outcomes of a run.
const (
	// OutcomeAnswered: the answer was whole.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun: no byte was written, or the target refused before running.
	OutcomeNotRun
	// OutcomeCancelled: the caller went away; the run was cancelled.
	OutcomeCancelled
	// OutcomeFailed: the target answered with an error.
	OutcomeFailed
	// OutcomeLost: the connection broke in the middle; the request may have run.
	OutcomeLost
	// OutcomeUnreachable: the target could not be connected to; nothing ran.
	OutcomeUnreachable
	// OutcomeRefused: the target refused the request before running it.
	OutcomeRefused
)

// String returns the outcome as it stands in logs.
func (o Outcome) String() string {
	names := [...]string{"answered", "not run", "cancelled", "failed", "lost", "unreachable", "refused"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// RunBegan says that the target of a run has begun to answer.
type RunBegan struct {
	Grant GrantID
	// After is the time from the grant's arrival at the entry.
	After time.Duration
}

// RunEnded says that the run under a grant ended.
type RunEnded struct {
	Request RequestID
	Grant   GrantID
	Outcome Outcome
	// Service is the slot time used.
	Service time.Duration
}

// MessageReceived delivers a message from another node.
type MessageReceived struct {
	From        NodeID
	Incarnation Incarnation
	Message     Message
}

// PeerState says whether the shell holds a working connection to a node.
type PeerState struct {
	Node      NodeID
	Connected bool
}

// MembersListed carries the platform's lagging list of VMs.
type MembersListed struct{ Members []Member }

// Member is one VM of the platform's list.
type Member struct {
	Node       NodeID
	DataCentre string
	Leaving    bool
	// Cores is the processor that it has; zero: not known.
	Cores float64
}

// TargetLoad is a load report of a target, polled by this node. It lags.
type TargetLoad struct {
	Target string
	// Running and Queued are counts of requests in the target.
	Running int
	Queued  int
	// Slots is the target's own limit; zero if it does not say.
	Slots int
	// Leaving says that the target announced its end.
	Leaving bool
	// StartID tells one start of the target from the next; zero if the target
	// reports none.
	StartID uint64
	// CachedPrefixes are hashes of prompt beginnings in the target's cache,
	// late and with gaps.
	CachedPrefixes []uint64
}

// TargetUnreachable says that a load poll or a connection to a target failed.
type TargetUnreachable struct{ Target string }

// TargetKept tells what a target keeps of prompts: the parts that changed, or all if
// Whole, with the tokens that are kept now. It lags, and some news are lost.
type TargetKept struct {
	Target string
	// Start tells one start of the target from the next; see config.Target.Start.
	Start int64
	Whole bool
	Parts []PromptPart
}

// FeedsFollowed says whether this node follows the platform's feeds and they answer.
type FeedsFollowed struct{ Live bool }

// RequestsUnread tells that this router refused requests before it read them. It is sent at
// most some times a second for each pool and workspace.
type RequestsUnread struct {
	Pool, Workspace string
	Count           int
}

// DrainStarted says that this node is leaving: shards are handed over and no
// new request is taken.
type DrainStarted struct{}

// Tick lets time pass. The shell sends one at Machine.NextWake.
type Tick struct{}

func (ConfigChanged) isEvent()     {}
func (RequestArrived) isEvent()    {}
func (RequestCancelled) isEvent()  {}
func (RunBegan) isEvent()          {}
func (RunEnded) isEvent()          {}
func (MessageReceived) isEvent()   {}
func (PeerState) isEvent()         {}
func (MembersListed) isEvent()     {}
func (TargetLoad) isEvent()        {}
func (TargetUnreachable) isEvent() {}
func (TargetKept) isEvent()        {}
func (FeedsFollowed) isEvent()     {}
func (RequestsUnread) isEvent()    {}
func (DrainStarted) isEvent()      {}
func (Tick) isEvent()              {}
