// Package control is the decision logic of a router, written as a deterministic state
// machine. Step takes the current time and one typed event and returns typed commands. The
// package has no clock, no I/O, no goroutines and no global random source, so the same
// sequence of events always yields the same commands.
//
// One goroutine per process owns a Machine (see package router). Goroutines that handle
// traffic send events to it and receive commands; they never access its state.
//
// A machine has two roles at once. As an entry it holds the tickets of the requests that
// this node received and sends each one to the scheduler of a shard. As a scheduler it owns
// the queue of every shard that rendezvous hashing over the known members assigns to this
// node, and answers tickets with grants. A shard is the set of targets of one pool in one
// data centre.
//
// # Fairness
//
// A scheduler grants the backlogged workspace with the lowest normalised service: slot time
// divided by share, summed over the whole fleet. An estimate is charged when a grant is
// made; it is raised while the run lasts and corrected when the run ends. While two
// workspaces both stay backlogged in shards that both can use, the service they receive
// over any interval differs by at most
//
//	G = n_i*L_i/w_i + n_j*L_j/w_j + K*(E + E/2 + R)*max(1/w_i, 1/w_j)
//
// where w is the share, L the longest run of the workspace, n the number of its runs in
// progress at once, K the number of slots that both can use, E the exchange period and R
// the maximum message delay. The first two terms apply with a single scheduler too, because
// a run in progress is not preempted. The third is the work that all slots can do before
// other schedulers learn of it; it is zero if one scheduler serves all shards. In practice
// the difference is far below the bound, because each scheduler assumes that the others
// where the workspace waits grant as much as it does itself. Service given while nodes
// cannot reach each other for more than 3 s is not compensated later.
//
// Each workspace has one service level for the whole fleet; see package account. A
// workspace that had no waiting requests anywhere is raised to the lowest level among the
// workspaces that wait in the shard. One that also waits elsewhere, or did within the last
// 50 ms, keeps its shortfall below them as a credit, up to 5 slot seconds divided by its
// share. A workspace that was served only in another pool waits at most 3 s longer in a
// shard because of that.
//
// # Over-admission
//
// A scheduler never holds more grants of a target than its slots plus max(1, slots/4), and
// exceeds its slots only where the gap between two runs would leave the slot idle for more
// than a quarter of a percent of the time. After a change of scheduler, or while two
// schedulers are active, each keeps to that bound on its own and leaves room for the load
// that the target reports, so k schedulers hold at most k times as many grants. A new
// scheduler gives a target one grant until the first load report, or for half a second.
//
// # Cost
//
// The cost of Step depends on what changed: a grant examines only the targets of its own
// shard, and only a change of members or of the configuration iterates over all state.
package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/policy"
)

// Instant is a monotonic time, expressed as the duration since the process started. It is
// never sent to another node; messages carry durations instead.
type Instant = time.Duration

// NodeID is a router's name, as in its settings and in the platform's VM list.
type NodeID string

// Incarnation distinguishes the starts of a process. It is random, non-zero and never
// reused.
type Incarnation uint64

// RequestID identifies a request within one incarnation of its entry node.
type RequestID uint64

// TicketID identifies one attempt to get a grant for a request, unique in the fleet.
type TicketID struct {
	Node        NodeID
	Incarnation Incarnation
	Request     RequestID
	// Attempt numbers the tickets of the incarnation, from 1, across all of its requests. It
	// differs from RequestArrived.Attempt.
	Attempt uint32
}

// GrantID identifies a grant, unique in the fleet.
type GrantID struct {
	Scheduler   NodeID
	Incarnation Incarnation
	Seq         uint64
}

// ShardID identifies a shard: one pool in one data centre.
type ShardID struct {
	Pool       string
	DataCentre string
}

// Policy selects how capacity is shared.
type Policy string

// The policies.
const (
	// PolicyShardQueue: one queue for each shard, scheduled by one router.
	PolicyShardQueue Policy = "shard-queue"
	// PolicyAlone: each router enforces fairness independently and picks the least-loaded
	// target from load reports. This is the baseline for comparison.
	PolicyAlone Policy = "alone"
)

// Options configures a Machine. Zero values take the stated defaults.
type Options struct {
	// Node, Incarnation and DataCentre identify this process.
	Node        NodeID
	Incarnation Incarnation
	DataCentre  string
	// Cores is the number of processor cores of this node; zero: unknown. Nodes with less
	// than half the cores of the largest node schedule no shards.
	Cores float64
	// Policy defaults to PolicyShardQueue.
	Policy Policy
	// Seed seeds the machine's random source.
	Seed uint64
	// HeartbeatEvery is the heartbeat period. Default 500 ms.
	HeartbeatEvery time.Duration
	// MemberTimeout is how long a member may be silent before the others stop using it as a
	// scheduler. Default 2 s.
	MemberTimeout time.Duration
	// ExchangeEvery is the period at which service counts are exchanged. Default 10 ms for
	// each known node, at least 60 ms and at most 1 s.
	ExchangeEvery time.Duration
	// LocalAfter is how long a ticket may go unanswered before this node grants it locally,
	// from its own knowledge alone. Zero: the ticket waits until its scheduler answers or
	// another node takes over the shard.
	LocalAfter time.Duration
	// IgnoreReadings ignores the speeds that targets report.
	IgnoreReadings bool
	// IgnorePrefixes selects targets by load alone. By default a target that probably has
	// the start of the prompt in its cache is preferred among equally loaded ones.
	IgnorePrefixes bool
	// ColdOvershoot and ColdSlack set the limit on requests per second to a cold target:
	// ColdOvershoot times the pool's ColdPerSecond, plus ColdSlack. Default 1 and 0.
	ColdOvershoot, ColdSlack float64
	// Tokens is the policy for pools that count in tokens. Default policy.Default.
	Tokens policy.Tokens
}

// Event is an input to Machine.Step. See events.go.
type Event interface{ isEvent() }

// Command is an action that the caller of Machine.Step must carry out. See commands.go.
type Command interface{ isCommand() }

// Message is sent between the machines of different nodes. See messages.go.
type Message interface{ isMessage() }
