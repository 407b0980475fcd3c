package peer

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
)

// Options configure a Mesh. Zero values take the stated defaults.
type Options struct {
	// Node and Incarnation identify this process. Required.
	Node        control.NodeID
	Incarnation control.Incarnation
	// ListenAddress is the "ip:port" for the other nodes. Required; port 0
	// picks a free port, see Mesh.Address.
	ListenAddress string
	// TLS is the configuration that tlsfiles loads. With nil, sessions are
	// plain, and every address must be on loopback.
	TLS *tls.Config
	// TrustNetwork allows plain sessions on any address: whoever reaches the
	// port is taken for a router.
	TrustNetwork bool
	// Logger defaults to slog.Default().
	Logger *slog.Logger
	// Metrics takes the counters. Default: the process's default set.
	Metrics *metrics.Set

	// QueueMessages bounds the messages that wait for one node. Default 4096.
	QueueMessages int
	// FlushEvery is the mean time between two writes to one node under load,
	// and the longest wait of a message for more. A few writes may follow each
	// other at once. Default 1 ms.
	FlushEvery time.Duration
	// DialTimeout bounds connecting, the TLS handshake and the hello. Default 2 s.
	DialTimeout time.Duration
	// WriteTimeout bounds a write and the answer to a ping. Default 3 s.
	WriteTimeout time.Duration
	// KeepAliveAfter is the silence after which a node is pinged. Default 5 s.
	KeepAliveAfter time.Duration
	// IdleAfter is the time without a message or call after which a session
	// is closed. Default 60 s.
	IdleAfter time.Duration
	// RetryMin and RetryMax bound the back-off between dials. Defaults 50 ms and 2 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// CallTimeout bounds a Call whose context has no earlier deadline. Default 30 s.
	CallTimeout time.Duration
	// MaxCallBytes bounds a call's request and its answer. Default 16 MiB.
	MaxCallBytes int
	// MaxCalls bounds the calls that one node may have open here. Default 16.
	MaxCalls int
	// MaxSessions bounds the sessions. Default 1024.
	MaxSessions int
}

const (
	defaultQueueMessages  = 4096
	defaultFlushEvery     = time.Millisecond
	defaultDialTimeout    = 2 * time.Second
	defaultWriteTimeout   = 3 * time.Second
	defaultKeepAliveAfter = 5 * time.Second
	defaultIdleAfter      = time.Minute
	defaultRetryMin       = 50 * time.Millisecond
	defaultRetryMax       = 2 * time.Second
	defaultCallTimeout    = 30 * time.Second
	defaultMaxCallBytes   = 16 << 20
	defaultMaxCalls       = 16
	defaultMaxSessions    = 1024
)

var (
	// ErrNotLoopback says that a plain session was asked for outside loopback.
	ErrNotLoopback = errors.New("plain sessions need a loopback address")
	// ErrWeakTLS says that a TLS configuration does not verify both sides.
	ErrWeakTLS = errors.New("TLS must be version 1.3 and verify both sides")
)

// Check says what New would refuse, but for an address that is in use.
func (o Options) Check() error { return o.complete() }

func (o *Options) complete() error {
	if o.Node == "" || o.Incarnation == 0 {
		return errors.New("peer: node and incarnation are required")
	}
	if err := o.checkSecurity(); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	o.QueueMessages = orDefault(o.QueueMessages, defaultQueueMessages)
	o.FlushEvery = orDefault(o.FlushEvery, defaultFlushEvery)
	o.DialTimeout = orDefault(o.DialTimeout, defaultDialTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteTimeout)
	o.KeepAliveAfter = orDefault(o.KeepAliveAfter, defaultKeepAliveAfter)
	o.IdleAfter = orDefault(o.IdleAfter, defaultIdleAfter)
	o.RetryMin = orDefault(o.RetryMin, defaultRetryMin)
	o.RetryMax = orDefault(o.RetryMax, defaultRetryMax)
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.MaxCallBytes = orDefault(o.MaxCallBytes, defaultMaxCallBytes)
	o.MaxCalls = orDefault(o.MaxCalls, defaultMaxCalls)
	o.MaxSessions = orDefault(o.MaxSessions, defaultMaxSessions)
	return nil
}

// checkSecurity refuses plain sessions outside loopback, and a TLS
// configuration that would let in a node without a certificate.
func (o *Options) checkSecurity() error {
	if o.TLS == nil && o.TrustNetwork {
		return nil
	}
	if o.TLS == nil {
		if err := checkLoopback(o.ListenAddress); err != nil {
			return fmt.Errorf("listen address %q: %w", o.ListenAddress, err)
		}
		return nil
	}
	if o.TLS.ClientAuth != tls.RequireAndVerifyClientCert || o.TLS.VerifyConnection == nil ||
		o.TLS.MinVersion < tls.VersionTLS13 || len(o.TLS.Certificates) == 0 {
		return ErrWeakTLS
	}
	leaf := o.TLS.Certificates[0].Leaf
	if leaf == nil || !names(leaf, o.Node) {
		return fmt.Errorf("certificate of node %q: %w", o.Node, errIdentity)
	}
	return nil
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// checkLoopback accepts "ip:port" with a loopback IP number only.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return err
	}
	if !ip.IsLoopback() {
		return ErrNotLoopback
	}
	return nil
}
