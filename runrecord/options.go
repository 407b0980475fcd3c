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
	defaultRetention        = 24     // epochs
	defaultClaimedRetention = 7 * 24 // epochs
	defaultSweepEvery       = time.Minute
)

// Options configures a Manager. Zero fields take the stated defaults.
type Options struct {
	// Table is the platform's table. Required.
	Table store.Table
	// Node and Incarnation identify this process. Required.
	Node        control.NodeID
	Incarnation control.Incarnation
	// OwnerAlive reports whether a process is believed to be alive. It determines
	// only whether a resend is answered "in progress" or "may have run", never
	// whether it runs. Default: every process is alive.
	OwnerAlive func(control.NodeID, control.Incarnation) bool
	// Now is the monotonic clock. Default: time since New.
	Now func() control.Instant
	// WallClock gives the timestamps that records hold for operators. Default
	// time.Now.
	WallClock func() time.Time
	// Timeout limits one claim, including all its calls to the table. Default 2s.
	Timeout time.Duration
	// Lease limits the time from sending a claim to a dispatch under it. It must
	// be far below the retention. Default 10m.
	Lease time.Duration
	// MaxStoredBytes limits the header and body stored in a record; of a larger
	// answer only the fact that there was one is stored. Default 16 KiB.
	MaxStoredBytes int
	// MaxPending limits the ended records waiting to be written. Default 16384.
	MaxPending int
	// MaxPendingBytes limits the total size of the answers in those records;
	// beyond it, records are written without their answers. Default 8 MiB.
	MaxPendingBytes int
	// RetryEvery is the delay before ended records are written again after a
	// failure of the table. Default 250ms.
	RetryEvery time.Duration
	// EndDelay is how long an ended record may wait for others to be written in
	// the same commit. It does not delay the caller. Default 200ms.
	EndDelay time.Duration
	// EpochLength is the minimum length of a retention epoch. Default 1h.
	EpochLength time.Duration
	// Retention is the number of full epochs for which a record is kept. Within
	// it a resend does not run again. Default 24.
	Retention int
	// ClaimedRetention is the same for records that their owner never ended.
	// Default 168: 7 days of epochs of one hour.
	ClaimedRetention int
	// SweepEvery is the mean interval between sweeps for expired records. Default 1m.
	SweepEvery time.Duration
	// Logger receives the manager's messages. Default slog.Default().
	Logger *slog.Logger
	// Metrics is the set in which the counters are registered. Default: the
	// global set.
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

// setDefault sets a field to value if it is zero.
func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
