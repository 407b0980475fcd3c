package targets

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/dialect"
)

// Defaults of Options.
const (
	DefaultConnectTimeout   = 2 * time.Second
	DefaultFirstByteTimeout = 60 * time.Second
	DefaultStallTimeout     = 30 * time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultMaxIdle          = 24
)

// Options configure an HTTPClient. Zero values take the stated defaults.
type Options struct {
	// ConnectTimeout bounds the opening of a connection. Default 2 s.
	ConnectTimeout time.Duration
	// FirstByteTimeout bounds the sending of a request and the wait for the head of the answer.
	// Default 60 s.
	FirstByteTimeout time.Duration
	// StallTimeout bounds the gap between parts of the body of an answer. Default 30 s.
	StallTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. Default 30 s.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections kept for one address. Default 24.
	MaxIdle int
	// Dialect is the protocol dialect of the targets. Default dialect.Own.
	Dialect *dialect.Dialect
	// Listing returns the targets that are listed now. It is called before each request is
	// sent, because another start may have taken the target's place by the time the answer is
	// read. Default: no target is listed.
	Listing func() Listing
	// OnNotice receives what answers announce about the targets that sent them, before the
	// answers are returned. It must not block. Default: dropped.
	OnNotice func(target string, start int64, n notice.Notice)
	// Metrics receives the counters. Default: a set of the client's own.
	Metrics *metrics.Set
	// Dial opens a connection. Default: TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Listing maps requests to the listed targets.
type Listing interface {
	// TargetOf returns the name and the start of the target that a request goes to; false if it
	// is not listed.
	TargetOf(req *Request) (name string, start int64, listed bool)
}

// emptyListing is a listing without targets.
type emptyListing struct{}

// TargetOf implements Listing.
func (emptyListing) TargetOf(*Request) (name string, start int64, listed bool) { return "", 0, false }

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&o.FirstByteTimeout, DefaultFirstByteTimeout)
	setDefault(&o.StallTimeout, DefaultStallTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxIdle, DefaultMaxIdle)
	if o.Dialect == nil {
		o.Dialect = dialect.Own
	}
	if o.Listing == nil {
		o.Listing = func() Listing { return emptyListing{} }
	}
	if o.OnNotice == nil {
		o.OnNotice = func(string, int64, notice.Notice) {}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Dial == nil {
		dialer := &net.Dialer{}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return o
}

func setDefault[T ~int | ~int64](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
