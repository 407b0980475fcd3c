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
	// ListenAddress is the "ip:port" that accepts sessions from other nodes.
	// Required; port 0 picks a free port, see Mesh.Address.
	ListenAddress string
	// TLS is the configuration returned by tlsfiles.Load. If nil, sessions are
	// not encrypted, and every address must be on loopback.
	TLS *tls.Config
	// TrustNetwork allows sessions without TLS on any address: whoever can
	// connect to the port is accepted as a router.
	TrustNetwork bool
	// Logger defaults to slog.Default().
	Logger *slog.Logger
	// Metrics receives the counters. Default: the process's default set.
	Metrics *metrics.Set

	// Channels serve the named channels of Mesh.OpenChannel. Others are refused.
	Channels map[string]ServeChannel

	// MaxQueuedMessages bounds the messages queued for one node. Default 4096.
	MaxQueuedMessages int
	// FlushInterval is the mean time between two writes to one node under load,
	// and the longest time that a message waits to be batched with others.
	// Short bursts of writes are not delayed. Default 1 ms.
	FlushInterval time.Duration
	// DialTimeout bounds connecting, the TLS handshake and the hello. Default 2 s.
	DialTimeout time.Duration
	// WriteTimeout bounds a write and the wait for the answer to a ping. Default 3 s.
	WriteTimeout time.Duration
	// KeepAliveAfter is the time without received data after which a node is
	// pinged. Default 5 s.
	KeepAliveAfter time.Duration
	// IdleTimeout is the time without a message or call after which a session
	// is closed. Default 60 s.
	IdleTimeout time.Duration
	// RetryMin and RetryMax bound the back-off between failed dials, before
	// jitter. Defaults 50 ms and 2 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// CallTimeout bounds a Call whose context has no earlier deadline. Default 30 s.
	CallTimeout time.Duration
	// MaxCallBytes bounds a call's request and its answer. Default 16 MiB.
	MaxCallBytes int
	// MaxCalls bounds the concurrent calls from one node. Default 16.
	MaxCalls int
	// MaxSessions bounds the open sessions with other nodes. Default 1024.
	MaxSessions int
}

const (
	defaultMaxQueuedMessages = 4096
	defaultFlushInterval     = time.Millisecond
	defaultDialTimeout       = 2 * time.Second
	defaultWriteTimeout      = 3 * time.Second
	defaultKeepAliveAfter    = 5 * time.Second
	defaultIdleTimeout       = time.Minute
	defaultRetryMin          = 50 * time.Millisecond
	defaultRetryMax          = 2 * time.Second
	defaultCallTimeout       = 30 * time.Second
	defaultMaxCallBytes      = 16 << 20
	defaultMaxCalls          = 16
	defaultMaxSessions       = 1024
)

var (
	// ErrNotLoopback is returned if TLS is off and the address is not loopback.
	ErrNotLoopback = errors.New("sessions without TLS require a loopback address")
	// ErrWeakTLS is returned if a TLS configuration allows versions before 1.3,
	// lacks a certificate or does not verify both sides.
	ErrWeakTLS = errors.New("TLS must be version 1.3 and verify both sides")
)

// Validate returns the error that New would return for these options, except
// for an address that is in use.
func (o Options) Validate() error { return o.complete() }

// complete validates the options and sets the defaults.
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
	o.MaxQueuedMessages = orDefault(o.MaxQueuedMessages, defaultMaxQueuedMessages)
	o.FlushInterval = orDefault(o.FlushInterval, defaultFlushInterval)
	o.DialTimeout = orDefault(o.DialTimeout, defaultDialTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteTimeout)
	o.KeepAliveAfter = orDefault(o.KeepAliveAfter, defaultKeepAliveAfter)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdleTimeout)
	o.RetryMin = orDefault(o.RetryMin, defaultRetryMin)
	o.RetryMax = orDefault(o.RetryMax, defaultRetryMax)
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.MaxCallBytes = orDefault(o.MaxCallBytes, defaultMaxCallBytes)
	o.MaxCalls = orDefault(o.MaxCalls, defaultMaxCalls)
	o.MaxSessions = orDefault(o.MaxSessions, defaultMaxSessions)
	return nil
}

// checkSecurity rejects sessions without TLS outside loopback, a TLS
// configuration that would accept a node without a certificate, and a
// certificate that is not for this node.
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
	if leaf == nil || !isCertificateFor(leaf, o.Node) {
		return fmt.Errorf("certificate of node %q: %w", o.Node, errWrongCertificate)
	}
	return nil
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// checkLoopback accepts only an "ip:port" whose host is a loopback IP address;
// host names are rejected.
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
