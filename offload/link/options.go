package link

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// Default limits of a link. docs/PEERS.md lists them.
const (
	DefaultMaxRequestBytes   = 1 << 20
	DefaultMaxUnwrittenBytes = 4 << 20
	DefaultMaxUntakenBytes   = 64 << 10
	// DefaultMaxUnsentBytes bounds the response bytes that wait for an executor's writer.
	DefaultMaxUnsentBytes = 1 << 20
	// DefaultBudgetBytes bounds the requests that an executor without Options.Budget holds.
	DefaultBudgetBytes = 8 << 20

	// DefaultGatherTime bounds the wake-ups of both sides, which are most of the cost of a link;
	// see docs/design/0026-offloading.md.
	DefaultGatherTime     = 5 * time.Millisecond
	DefaultSilenceTimeout = time.Second
	DefaultPingInterval   = 250 * time.Millisecond
	DefaultPauseThreshold = 500 * time.Millisecond
	DefaultIdleTimeout    = 30 * time.Second
	// DefaultCheckInterval is also the longest time for which changes of the demand wait.
	DefaultCheckInterval = 50 * time.Millisecond
)

// takenStepBytes is the number of bytes written to a caller after which the executor is told. It
// is below half of every permitted Options.MaxUntakenBytes, so that a response never stalls.
const takenStepBytes = 32 << 10

// Options are the limits of a link. Zero values take the defaults.
type Options struct {
	// Log defaults to slog.Default().
	Log *slog.Logger
	// MaxRequestBytes bounds the bytes of one request.
	MaxRequestBytes int
	// MaxUnwrittenBytes bounds the bytes at the source that are not written to the link.
	MaxUnwrittenBytes int
	// MaxUntakenBytes bounds the bytes of a response that the source has not reported as taken;
	// at least DefaultMaxUntakenBytes.
	MaxUntakenBytes int
	// MaxUnsentBytes bounds the response bytes at the executor that are not written to the link.
	MaxUnsentBytes int
	// Budget bounds the request bytes that executors hold; links may share one.
	Budget *Budget
	// GatherTime is the least time between two writes under load.
	GatherTime time.Duration
	// SilenceTimeout is the time without a frame after which the other side of a link with open
	// requests counts as silent. The link then carries no new requests, and ends once nobody waits
	// for the open ones.
	SilenceTimeout time.Duration
	// PingInterval is the longest time without a frame to the other side while requests are open.
	PingInterval time.Duration
	// PauseThreshold is the delay of a timer from which on this process counts as paused.
	PauseThreshold time.Duration
	// IdleTimeout is the time without open requests after which the source closes the link. The
	// executor does after twice that time without a frame: a link that it closed first could
	// carry a request already.
	IdleTimeout time.Duration
	// CheckInterval is the time between checks while requests are open.
	CheckInterval time.Duration
}

func (o Options) complete() Options {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Budget == nil {
		o.Budget = NewBudget(DefaultBudgetBytes)
	}
	o.MaxRequestBytes = orDefault(o.MaxRequestBytes, DefaultMaxRequestBytes)
	o.MaxUnwrittenBytes = orDefault(o.MaxUnwrittenBytes, DefaultMaxUnwrittenBytes)
	o.MaxUntakenBytes = max(o.MaxUntakenBytes, DefaultMaxUntakenBytes)
	o.MaxUnsentBytes = orDefault(o.MaxUnsentBytes, DefaultMaxUnsentBytes)
	o.GatherTime = orDefault(o.GatherTime, DefaultGatherTime)
	o.SilenceTimeout = orDefault(o.SilenceTimeout, DefaultSilenceTimeout)
	o.PingInterval = orDefault(o.PingInterval, DefaultPingInterval)
	o.PauseThreshold = orDefault(o.PauseThreshold, DefaultPauseThreshold)
	o.IdleTimeout = orDefault(o.IdleTimeout, DefaultIdleTimeout)
	o.CheckInterval = orDefault(o.CheckInterval, DefaultCheckInterval)
	return o
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Budget bounds the request bytes that one or more executors hold.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// reserve takes bytes, or returns false if they exceed the limit.
func (b *Budget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.release(n)
	return false
}

func (b *Budget) release(n int) { b.used.Add(-int64(n)) }
