package orders

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/targets"
)

// Defaults of Options.
const (
	DefaultEvery        = 2 * time.Second
	DefaultSoon         = 250 * time.Millisecond
	DefaultConfirmHolds = time.Second
	DefaultTimeout      = 400 * time.Millisecond
	DefaultMaxBackoff   = 30 * time.Second
	DefaultWorkers      = 32
)

// everyJitter is the part of a pause by which it varies either way.
const everyJitter = 0.25

// Client gives orders to targets. *targets.HTTPClient is one.
type Client interface {
	// OrderState asks the target at address ("ip:port") what its orders led to.
	OrderState(ctx context.Context, address string) (targets.OrderState, error)
	// GiveOrder sends an order with a fencing number. The error is a
	// *targets.FencedError if the target refused the number.
	GiveOrder(ctx context.Context, address string, order targets.Order, fence uint64) error
}

// Options configure a Reconciler. Zero values take the stated defaults.
type Options struct {
	// Client calls targets. Required.
	Client Client
	// Versions reads the configuration's table. Required.
	Versions Versions
	// Weights gives permits to load. Required.
	Weights store.Weights
	// Every is the pause between two looks at a target in its declared state,
	// or at one that loads. Default 2 s.
	Every time.Duration
	// Soon is the pause after an order, the first pause after a failure, and
	// the time over which the first looks are spread. Default 250 ms.
	Soon time.Duration
	// MaxBackoff bounds the pause after failures in a row. Default 30 s.
	MaxBackoff time.Duration
	// ConfirmHolds is how long after the start of a read of the table an order
	// may still be sent to a target that ignores fencing numbers. Default 1 s.
	ConfirmHolds time.Duration
	// Timeout bounds each call to a target. It is at most half of
	// ConfirmHolds. Default 400 ms.
	Timeout time.Duration
	// Workers bounds the targets looked at at once. Default 32.
	Workers int
	// Now is the clock of confirmations. Default time.Now.
	Now func() time.Time
	// Log takes the messages. Default slog.Default().
	Log *slog.Logger
	// Metrics receives the counters. Default: a set of the reconciler's own.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	setDefault(&o.Every, DefaultEvery)
	setDefault(&o.Soon, DefaultSoon)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.ConfirmHolds, DefaultConfirmHolds)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.Workers, DefaultWorkers)
	o.Timeout = min(o.Timeout, o.ConfirmHolds/2)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
