// Package control is the decision core of a router: a pure state machine.
// Step takes the time and one typed event and returns typed commands. There is
// no clock, no I/O, no goroutine and no global random source inside, so the
// same events always give the same commands.
//
// One goroutine per process owns a Machine (see package router). Traffic
// goroutines send it events and receive commands; they never touch its state.
//
// The core plays two parts at once. As an entry it holds the tickets of the
// requests that came in here and sends each to the scheduler of a shard. As a
// scheduler it owns the queue of every shard that rendezvous hashing over the
// members in view gives to this node, and answers tickets with grants. A shard
// is the targets of one pool in one data centre.
//
// # Fairness
//
// A scheduler grants the backlogged workspace with the least normalised
// service: slot time divided by share, summed over the whole fleet. An estimate
// is charged at grant, grows as the run goes on, and is corrected at its end.
// While two workspaces stay backlogged in shards that both can use, what they
// receive differs over any interval by at most
//
//	G = n_i*L_i/w_i + n_j*L_j/w_j + K*(E + E/2 + R)*max(1/w_i, 1/w_j)
//
// where w is the share, L the longest run of the workspace, n the runs that it
// has in progress at once, K the slots that both can use, E the exchange period
// and R the longest time that a message takes. The first two terms are there
// with one scheduler too: a run in progress is not taken back. The third is what
// all slots can do before the news of it arrives; it is absent if one scheduler
// serves all shards. Schedulers keep far below it, as each counts on the others
// where the workspace waits to grant as much as it does itself. What is given
// while nodes cannot talk to each other for longer than 3 s is not made up later.
//
// Service adds up to one level for each workspace in the whole fleet; see package
// account. A workspace that had nothing waiting anywhere is lifted to the least
// of those that wait where it comes to wait. One that waits elsewhere too, or did
// up to 50 ms ago, is credited with what it lies below them, but not over 5 slot seconds
// divided by its share. One that was served in another pool only waits in a shard
// at most 3 s longer for that.
//
// # Over-admission
//
// A scheduler never holds more grants of a target than its slots and
// max(1, slots/4), and more than its slots only where the time between two runs
// would idle over a quarter of a percent of the slot. After a change of
// scheduler, or with two at once, each keeps to that bound by itself and leaves
// room for the load that it sees in the target's reports, so k schedulers hold at
// most k times as much. A new scheduler gives a target one grant until the first
// load report, or for half a second.
//
// # Limits of the parts
//
// Step costs what changed: a grant looks at the targets of its own shard, and
// only a change of members or of the configuration passes over everything here.
package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/policy"
)

// Instant is a monotonic time: the duration since the process started. It is
// never sent to another node; messages carry durations.
type Instant = time.Duration

// NodeID is a router's name, as in its settings and in the platform's VM list.
type NodeID string

// Incarnation tells one start of a process from the next. It is random, not
// zero, and never reused.
type Incarnation uint64

// RequestID identifies a request within one incarnation of its entry node.
type RequestID uint64

// TicketID identifies one try at getting a grant for a request, fleet-wide.
type TicketID struct {
	Node        NodeID
	Incarnation Incarnation
	Request     RequestID
	// Attempt counts grants asked for on behalf of the request, from 1.
	Attempt uint32
}

// GrantID identifies a grant, fleet-wide.
type GrantID struct {
	Scheduler   NodeID
	Incarnation Incarnation
	Seq         uint64
}

// ShardID names a shard: one pool in one data centre.
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
	// PolicyAlone: each router is fair alone and picks the least-loaded
	// target from load reports. This is the baseline.
	PolicyAlone Policy = "alone"
)

// Options configure a Machine. Zero values take the stated defaults.
type Options struct {
	// Node, Incarnation and DataCentre identify this process.
	Node        NodeID
	Incarnation Incarnation
	DataCentre  string
	// Cores is the processor that this node has; zero: not known. Nodes with less
	// than half of the largest one's schedule no shards.
	Cores float64
	// Policy defaults to PolicyShardQueue.
	Policy Policy
	// Seed seeds the machine's own random source.
	Seed uint64
	// HeartbeatEvery is the period of heartbeats. Default 500 ms.
	HeartbeatEvery time.Duration
	// MemberTimeout is how long a member may be silent before the others pass
	// over it as a scheduler. Default 2 s.
	MemberTimeout time.Duration
	// ExchangeEvery is the period of the exchange of service counts. Default
	// 10 ms for each node in view, at least 60 ms and at most 1 s.
	ExchangeEvery time.Duration
	// LocalAfter is how long a ticket may go unanswered before this node grants it
	// by itself, from what it knows alone. Zero: it waits for another scheduler.
	LocalAfter time.Duration
	// IgnorePrefixes chooses targets by load alone. Default: by load, then by
	// where the prompt's beginning is likely cached.
	IgnorePrefixes bool
	// ColdOvershoot and ColdSlack set the limit on requests per second to a cold target:
	// ColdOvershoot times its pool's ColdPerSecond, plus ColdSlack. Default 1 and 0.
	ColdOvershoot, ColdSlack float64
	// Tokens is the policy for pools that count in tokens. Default policy.Default.
	Tokens policy.Tokens
}

// Event is something that happened. See events.go.
type Event interface{ isEvent() }

// Command is something the shell must do. See commands.go.
type Command interface{ isCommand() }

// Message is sent between machines of different nodes. See messages.go.
type Message interface{ isMessage() }
