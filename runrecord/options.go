package runrecord

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/store"
)

// Defaults of Options.
const (
	defaultTimeout          = 2 * time.Second
	defaultLease            = 10 * time.Minute
	defaultMaxStoredBytes   = 16 << 10
	defaultMaxPending       = 16384
	defaultMaxPendingBytes  = 8 << 20
	defaultRetryEvery       = 250 * time.Millisecond
	defaultEndDelay         = 200 * time.Millisecond
	defaultEpochLength      = time.Hour
	defaultRetention        = 24
	defaultClaimedRetention = 7 * 24
	defaultSweepEvery       = time.Minute
)

// Options configure a Keeper. Zero values take the stated defaults.
type Options struct {
	// Table is the platform's table. Required.
	Table store.Table
	// Node and Incarnation identify this process. Required.
	Node        control.NodeID
	Incarnation control.Incarnation
	// OwnerAlive says whether a process is thought to live. It decides only
	// whether a resend is told "in progress" or "may have run", never whether
	// it runs. Default: every process is alive.
	OwnerAlive func(control.NodeID, control.Incarnation) bool
	// Now is the monotonic clock. Default: time since New.
	Now func() control.Instant
	// WallClock stamps records for operators. Default time.Now.
	WallClock func() time.Time
	// Timeout bounds one claim, with all its calls to the table. Default 2s.
	Timeout time.Duration
	// Lease bounds the time from sending a claim to dispatch under it. It must
	// be far below the retention. Default 10m.
	Lease time.Duration
	// MaxStoredBytes bounds the header and body kept in a record; a larger
	// answer is not kept, only that there was one. Default 16 KiB.
	MaxStoredBytes int
	// MaxPending bounds the ended records waiting to be written. Default 16384.
	MaxPending int
	// MaxPendingBytes bounds the answers held by these; past it records are
	// written without their answers. Default 8 MiB.
	MaxPendingBytes int
	// RetryEvery is the pause before ended records are written again after
	// the table failed. Default 250ms.
	RetryEvery time.Duration
	// EndDelay is how long an ended record may wait for others to be written in
	// the same commit. It is not on the caller's path. Default 200ms.
	EndDelay time.Duration
	// EpochLength is the shortest length of a retention epoch. Default 1h.
	EpochLength time.Duration
	// Retention is for how many whole epochs a record is kept. Within it a
	// resend does not run again. Default 24.
	Retention int
	// ClaimedRetention is the same for records whose owner never ended them.
	// Default 168 (7 days).
	ClaimedRetention int
	// SweepEvery is the mean period of sweeps for expired records. Default 1m.
	SweepEvery time.Duration
	// Logger defaults to slog.Default().
	Logger *slog.Logger
	// Metrics is where the counters are registered. Default: the global set.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.OwnerAlive == nil {
		o.OwnerAlive = func(control.NodeID, control.Incarnation) bool { return true }
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() control.Instant { return time.Since(start) }
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	setDefault(&o.Timeout, defaultTimeout)
	setDefault(&o.Lease, defaultLease)
	setDefault(&o.MaxStoredBytes, defaultMaxStoredBytes)
	setDefault(&o.MaxPending, defaultMaxPending)
	setDefault(&o.MaxPendingBytes, defaultMaxPendingBytes)
	setDefault(&o.RetryEvery, defaultRetryEvery)
	setDefault(&o.EndDelay, defaultEndDelay)
	setDefault(&o.EpochLength, defaultEpochLength)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.ClaimedRetention, defaultClaimedRetention)
	setDefault(&o.SweepEvery, defaultSweepEvery)
	return o
}

// setDefault sets a field that was left zero.
func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
