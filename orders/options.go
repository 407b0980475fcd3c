package orders

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/targets"
)

// Defaults for the fields of Options.
const (
	DefaultCheckInterval   = 2 * time.Second
	DefaultRecheckDelay    = 250 * time.Millisecond
	DefaultConfirmationTTL = time.Second
	DefaultTimeout         = 400 * time.Millisecond
	DefaultMaxBackoff      = 30 * time.Second
	DefaultWorkers         = 32
)

// intervalJitterRatio is the largest fraction of a pause by which jitter shortens or
// lengthens it.
const intervalJitterRatio = 0.25

// Client reads the order state of targets and sends them orders.
// *targets.HTTPClient implements it.
type Client interface {
	// OrderState returns the state of the target at address ("ip:port"): its models,
	// its role and the highest fencing number that it has seen.
	OrderState(ctx context.Context, address string) (targets.OrderState, error)
	// GiveOrder sends an order with a fencing number. The error is a
	// *targets.FencedError if the target rejected the number as outdated.
	GiveOrder(ctx context.Context, address string, order targets.Order, fence uint64) error
}

// Options configure a Reconciler. Zero values take the stated defaults.
type Options struct {
	// Client sends the requests to targets. Required.
	Client Client
	// Versions reads the configuration versions. Required.
	Versions Versions
	// Weights grants permits to load models. Required.
	Weights store.Weights
	// CheckInterval is the pause between two checks of a target that is in its
	// declared state or is loading. Default 2 s.
	CheckInterval time.Duration
	// RecheckDelay is the pause after an order, the first pause after a failure,
	// and the time over which the first checks of targets are spread.
	// Default 250 ms.
	RecheckDelay time.Duration
	// MaxBackoff bounds the pause after failures in a row. Default 30 s.
	MaxBackoff time.Duration
	// ConfirmationTTL is the time after the start of a read of the table within
	// which an order may be sent to a target that ignores fencing numbers.
	// Default 1 s.
	ConfirmationTTL time.Duration
	// Timeout bounds each call to a target or to the weight store. It is at most
	// half of ConfirmationTTL. Default 400 ms.
	Timeout time.Duration
	// Workers bounds the targets that are checked concurrently. Default 32.
	Workers int
	// Now is the clock for confirmations and permits. Default time.Now.
	Now func() time.Time
	// Log receives the log lines. Default slog.Default().
	Log *slog.Logger
	// Metrics receives the counters. Default: a set of the reconciler's own.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	setDefault(&o.CheckInterval, DefaultCheckInterval)
	setDefault(&o.RecheckDelay, DefaultRecheckDelay)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.ConfirmationTTL, DefaultConfirmationTTL)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.Workers, DefaultWorkers)
	o.Timeout = min(o.Timeout, o.ConfirmationTTL/2)
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
