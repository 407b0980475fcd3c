package control

import (
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/speed"
)

// ConfigChanged reports that a newer configuration version is in force here.
type ConfigChanged struct{ Snapshot *config.Snapshot }

// RequestArrived asks for a grant for a request received by this node. It is sent again
// with a higher Attempt to retry on another target.
type RequestArrived struct {
	Request   RequestID
	Attempt   uint32
	Workspace string
	Pool      string
	// Route is the name of the route that the request matched; empty if there is none.
	Route string
	// CostHint is the caller's rough estimate of the slot time; zero if there is none.
	CostHint time.Duration
	// Deadline is the latest time for dispatch.
	Deadline Instant
	// Bytes is the size of the buffered request body.
	Bytes int64
	// PrefixHash is the hash of the start of the prompt; zero if there is none.
	PrefixHash uint64
	// Fingerprint is the hash by which quarantine identifies requests.
	Fingerprint uint64
	// Work describes the tokens of the request, for pools that count in tokens.
	Work Work
	// Objective is the time by which the answer should begin; zero if there is none.
	Objective Instant
	// Excluded lists targets that must not be granted.
	Excluded []string
	// Continues reports that the caller reconnects to a stream that is known to have begun.
	Continues bool
	// Software limits the targets to those of the version that began the stream, if the
	// request continues one.
	Software config.SoftwareLimit
}

// Work describes the tokens of a request.
type Work struct {
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// PromptTokens and OutputTokens are the length of the prompt and the approximate length
	// of the answer.
	PromptTokens, OutputTokens int
}

// PromptPart is one part of a prompt. Requests whose first parts are identical share the
// cached state of those parts on a target.
type PromptPart struct {
	// ID identifies the part's content.
	ID uint64
	// Tokens is the part's length in tokens.
	Tokens int
}

// RequestCancelled reports that the caller disconnected, or that the attempt was settled or is not
// needed any more, before dispatch. The attempt's slot or queue position is released.
type RequestCancelled struct {
	Request RequestID
	Attempt uint32
}

// Outcome is the way in which a run ended.
type Outcome int

// The outcomes of a run.
const (
	// OutcomeAnswered: the answer was complete.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun: no byte was written, or the target refused before running.
	OutcomeNotRun
	// OutcomeCancelled: the caller disconnected, so the run was cancelled.
	OutcomeCancelled
	// OutcomeFailed: the target answered with an error.
	OutcomeFailed
	// OutcomeLost: the connection broke during the run; the request may have been executed.
	OutcomeLost
	// OutcomeUnreachable: no connection to the target could be made; nothing ran.
	OutcomeUnreachable
	// OutcomeRefused: the target refused the request before running it.
	OutcomeRefused
)

// String returns the outcome as written in logs.
func (o Outcome) String() string {
	names := [...]string{"answered", "not run", "cancelled", "failed", "lost", "unreachable", "refused"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// RunBegan reports that the target of a run has begun to answer.
type RunBegan struct {
	Grant GrantID
	// After is the time from the grant's arrival at the entry.
	After time.Duration
	// Load is what the target reported with its response, LoadAge ago; the zero value if it
	// reported nothing.
	Load    speed.Reading
	LoadAge time.Duration
}

// RunSilent reports that the target of a run has sent nothing for so long that another one is asked
// for. The run continues.
type RunSilent struct{ Grant GrantID }

// RunOverdue reports that the target of a run has not begun to answer although the request's
// deadline, which it was told, has passed.
type RunOverdue struct{ Grant GrantID }

// RunEnded reports that the run under a grant ended.
type RunEnded struct {
	Request RequestID
	Grant   GrantID
	Outcome Outcome
	// Service is the slot time used.
	Service time.Duration
	// Load is what the target reported with its response, LoadAge ago; the zero value if it
	// reported nothing.
	Load    speed.Reading
	LoadAge time.Duration
}

// MessageReceived delivers a message from another node.
type MessageReceived struct {
	From        NodeID
	Incarnation Incarnation
	Message     Message
}

// PeerState reports whether a working connection to a node exists.
type PeerState struct {
	Node      NodeID
	Connected bool
}

// MembersListed carries the platform's list of VMs, which lags behind the actual state.
type MembersListed struct{ Members []Member }

// Member is one VM in the platform's list.
type Member struct {
	Node       NodeID
	DataCentre string
	Leaving    bool
	// Cores is the number of its processor cores; zero: unknown.
	Cores float64
}

// TargetLoad is a load report of a target that this node polled. It lags behind the actual
// load.
type TargetLoad struct {
	Target string
	// Running and Queued count the requests in the target.
	Running int
	Queued  int
	// Slots is the target's own limit; zero if it reports none.
	Slots int
	// Leaving reports that the target announced that it is leaving.
	Leaving bool
	// StartID distinguishes the starts of the target; zero if the target reports none.
	StartID uint64
	// CachedPrefixes are hashes of the prompt prefixes in the target's cache; they arrive
	// late and are incomplete.
	CachedPrefixes []uint64
}

// TargetUnreachable reports that a load poll of a target, or a connection to it, failed.
type TargetUnreachable struct{ Target string }

// TargetCacheReported lists the prompt parts that a target has cached, with the tokens now
// cached of each: the parts that changed, or all of them if Full. It lags behind, and some
// reports are lost.
type TargetCacheReported struct {
	Target string
	// Start distinguishes the starts of the target; see config.Target.Start.
	Start int64
	Full  bool
	Parts []PromptPart
}

// FeedState reports whether this node follows the platform's feeds and they answer.
type FeedState struct{ Live bool }

// RequestsRefusedUnread reports that this router refused requests before it read them. It
// is sent at most a few times a second for each pool and workspace.
type RequestsRefusedUnread struct {
	Pool, Workspace string
	Count           int
}

// DrainStarted reports that this node is leaving: its shards are handed over and no new
// requests are accepted.
type DrainStarted struct{}

// Tick advances the time. The caller of Step sends one at Machine.NextWake.
type Tick struct{}

func (ConfigChanged) isEvent()         {}
func (RequestArrived) isEvent()        {}
func (RequestCancelled) isEvent()      {}
func (RunSilent) isEvent()             {}
func (RunBegan) isEvent()              {}
func (RunOverdue) isEvent()            {}
func (RunEnded) isEvent()              {}
func (MessageReceived) isEvent()       {}
func (PeerState) isEvent()             {}
func (MembersListed) isEvent()         {}
func (TargetLoad) isEvent()            {}
func (TargetUnreachable) isEvent()     {}
func (TargetCacheReported) isEvent()   {}
func (FeedState) isEvent()             {}
func (RequestsRefusedUnread) isEvent() {}
func (DrainStarted) isEvent()          {}
func (Tick) isEvent()                  {}
