package handoff

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// dialTimeout bounds connecting to a router of the same data centre.
	dialTimeout = 200 * time.Millisecond
	// maxAttempts bounds the number of offers per request.
	maxAttempts = 4
	// busyBackoff is how long a router is skipped after it refused a request, and
	// failureBackoff after it was unreachable or closed the connection before its answer.
	busyBackoff    = 100 * time.Millisecond
	failureBackoff = 2 * time.Second
	// copyBufferSize is the size of the buffers for copying answers.
	copyBufferSize = 8 << 10
	// logInterval is the minimum interval between log lines about handoffs.
	logInterval = time.Second
)

var (
	passed      = metrics.NewCounter(`walnut_handoff_requests_total{result="passed"}`)
	notTaken    = metrics.NewCounter(`walnut_handoff_requests_total{result="not_taken"}`)
	lost        = metrics.NewCounter(`walnut_handoff_requests_total{result="lost"}`)
	busyPeers   = metrics.NewCounter(`walnut_handoff_refusals_total{reason="busy"}`)
	unreachable = metrics.NewCounter(`walnut_handoff_refusals_total{reason="unreachable"}`)
)

// Outcome is the result of a handoff.
type Outcome int

const (
	// NotTaken: no router accepted the request, and nothing was sent to the caller.
	NotTaken Outcome = iota
	// Passed: a router accepted the request, and its answer was copied to the caller. The copy
	// may be incomplete if either connection failed.
	Passed
	// Lost: the connection failed before the answer started. The request may have run.
	Lost
)

// Peer is a router that requests can be handed off to.
type Peer struct {
	Name, Address string
	// Cores is the number of processor cores, by which the choice of peers is weighted.
	Cores float64
}

// Options configure a Sender. All are required.
type Options struct {
	// Peers returns the routers that requests can be handed off to.
	Peers func() []Peer
	// Preface returns the versions in force, or false if there are none yet.
	Preface func() (Preface, bool)
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	Log          *slog.Logger
}

// Sender hands off requests. It is safe for concurrent use.
type Sender struct {
	options Options
	buffers sync.Pool
	// logLimiter limits log lines about handoffs, and unlogged counts handoffs since the last one.
	logLimiter *rate.Limiter
	unlogged   atomic.Int64

	mu sync.Mutex
	// backoffUntil is keyed by the name of the peer.
	backoffUntil map[string]time.Time
}

// NewSender returns a sender.
func NewSender(options Options) *Sender {
	return &Sender{
		options:      options,
		buffers:      sync.Pool{New: func() any { return new([copyBufferSize]byte) }},
		logLimiter:   rate.NewLimiter(rate.Every(logInterval), 1),
		backoffUntil: make(map[string]time.Time),
	}
}

// HasPeers reports whether there is a peer to hand off requests to now.
func (s *Sender) HasPeers() bool {
	_, ready := s.options.Preface()
	_, found := s.pick("")
	return ready && found
}

// Send hands off a request, given as read from the caller, and copies the answer to the caller.
// If the caller closes its connection, the request is cancelled. Send does not close the caller's
// connection.
func (s *Sender) Send(request []byte, caller net.Conn) Outcome {
	preface, ready := s.options.Preface()
	if !ready {
		notTaken.Inc()
		return NotTaken
	}
	message := append(preface.append(make([]byte, 0, prefaceSize+len(request))), request...)
	last := ""
	for range maxAttempts {
		peer, found := s.pick(last)
		if !found {
			break
		}
		last = peer.Name
		if outcome := s.offer(peer, message, caller); outcome != NotTaken {
			return outcome
		}
	}
	notTaken.Inc()
	return NotTaken
}

// offer offers a request to one router.
func (s *Sender) offer(peer Peer, message []byte, caller net.Conn) Outcome {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(context.Background(), "tcp4", peer.Address)
	if err != nil {
		unreachable.Inc()
		s.backOff(peer, failureBackoff)
		s.options.Log.Warn("handoff: Router is unreachable.", "node", peer.Name, "error", err)
		return NotTaken
	}
	defer conn.Close()
	if _, err := conn.Write(message); err != nil {
		return s.recordLost(peer, err)
	}
	stop := s.closeWithCaller(caller, conn)
	defer stop()
	return s.copyAnswer(peer, conn, caller)
}

// closeWithCaller closes conn when the caller closes its connection. Callers send nothing more
// until they have the answer, so data from the caller ends the watch. The returned function stops
// the watch and waits for it to end.
func (s *Sender) closeWithCaller(caller, conn net.Conn) (stop func()) {
	done := make(chan struct{})
	_ = caller.SetReadDeadline(time.Time{}) // The read reports a closed connection.
	go func() {
		defer close(done)
		var b [1]byte
		if _, err := caller.Read(b[:]); err != nil {
			_ = conn.Close() // Cancels the request at the receiver.
		}
	}()
	return func() {
		_ = caller.SetReadDeadline(time.Unix(1, 0)) // If this fails, the connection is closed and the read returns.
		<-done
	}
}

// copyAnswer copies the answer of a peer to the caller.
func (s *Sender) copyAnswer(peer Peer, conn, caller net.Conn) Outcome {
	buffer := s.buffers.Get().(*[copyBufferSize]byte)
	defer s.buffers.Put(buffer)
	n, err := conn.Read(buffer[:])
	if n == 0 {
		return s.recordLost(peer, err)
	}
	if buffer[0] == busyByte {
		busyPeers.Inc()
		s.backOff(peer, busyBackoff)
		return NotTaken
	}
	s.recordAccepted(peer)
	for {
		if n > 0 {
			_ = caller.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)) // The write reports a closed connection.
			if _, err := caller.Write(buffer[:n]); err != nil {
				return Passed // Closing conn cancels the request at the receiver.
			}
		}
		if err != nil {
			return Passed
		}
		n, err = conn.Read(buffer[:])
	}
}

// recordLost records that the connection to a peer failed before its answer started.
func (s *Sender) recordLost(peer Peer, err error) Outcome {
	lost.Inc()
	s.backOff(peer, failureBackoff)
	s.options.Log.Warn("handoff: Connection failed before the answer.", "node", peer.Name, "error", err)
	return Lost
}

// recordAccepted counts an accepted request and logs the accumulated count at a limited rate.
func (s *Sender) recordAccepted(peer Peer) {
	passed.Inc()
	if count := s.unlogged.Add(1); s.logLimiter.Allow() {
		s.unlogged.Add(-count)
		s.options.Log.Info("handoff: Requests handed off.", "count", count, "last_to", peer.Name)
	}
}

// backOff excludes a peer from selection for the duration d.
func (s *Sender) backOff(peer Peer, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil[peer.Name] = time.Now().Add(d)
}

// pick returns a random peer, weighted by cores. It skips peers in backoff and the peer named
// exclude.
func (s *Sender) pick(exclude string) (Peer, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen Peer
	total := 0.0
	for _, peer := range s.options.Peers() {
		if peer.Name == exclude || now.Before(s.backoffUntil[peer.Name]) {
			continue
		}
		weight := max(peer.Cores, minWeight)
		total += weight
		if rand.Float64()*total < weight {
			chosen = peer
		}
	}
	return chosen, total > 0
}

// minWeight is the weight of a peer with an unknown number of cores.
const minWeight = 0.01
