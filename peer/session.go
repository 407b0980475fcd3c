package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/walnutcove/walnutcove/peer/wire"
)

// session is one connection to a node.
type session struct {
	mesh    *Mesh
	link    *link
	remote  wire.Origin
	dialled bool     // whether this side dialled
	seq     uint64   // number of the dial, as counted by the side that dialled
	raw     net.Conn // the TCP connection, below TLS and yamux
	// pending signals the writer that messages are queued; batchFull, that they
	// are enough for a full batch.
	pending   chan struct{}
	batchFull chan struct{}
	// callSlots holds a token for each open call of the other side.
	callSlots chan struct{}
	// ctx is cancelled when the session ends. started is closed when streams can
	// be used.
	ctx     context.Context
	cancel  context.CancelFunc
	started chan struct{}

	mu    sync.Mutex
	ended bool
	// announcedEnd is the reason for which this side announced to the other that
	// it ends the session; empty if it did not.
	announcedEnd endReason
	mux          *yamux.Session
	stream       *yamux.Stream // carries the batches of control messages
	// writeMu guards writes to stream.
	writeMu sync.Mutex

	heardAt   atomic.Int64 // time of the last frame, call or ping answer, in nanoseconds since Mesh.startedAt
	usedAt    atomic.Int64 // time of the last frame or call, in nanoseconds since Mesh.startedAt
	openCalls atomic.Int64 // in both directions
	pinging   atomic.Bool
}

func newSession(l *link, raw net.Conn, remote wire.Origin, dialled bool, seq uint64) *session {
	ctx, cancel := context.WithCancel(l.mesh.ctx)
	s := &session{
		mesh:      l.mesh,
		link:      l,
		remote:    remote,
		dialled:   dialled,
		seq:       seq,
		raw:       raw,
		pending:   make(chan struct{}, 1),
		batchFull: make(chan struct{}, 1),
		callSlots: make(chan struct{}, l.mesh.options.MaxCalls),
		ctx:       ctx,
		cancel:    cancel,
		started:   make(chan struct{}),
	}
	s.markUsed()
	return s
}

// precedes reports whether s takes precedence over another connection between the
// same two processes: the one dialled by the node with the lower name does, or
// the later of two dialled by the same side.
func (s *session) precedes(old *session) bool {
	if s.dialled == old.dialled {
		return s.seq > old.seq
	}
	return s.dialled == (s.mesh.self.Node < s.remote.Node)
}

// start opens the streams of an installed session over conn, which is the TCP
// connection or the TLS connection over it.
func (s *session) start(conn net.Conn) {
	if !s.startMux(conn) {
		return
	}
	ok := s.mesh.spawn(func() {
		if !s.openControl() {
			s.end(endLost)
			return
		}
		s.link.notifyHandler()
		close(s.started)
		s.mesh.spawn(s.writeLoop)
		s.mesh.spawn(s.serveCalls)
		s.readLoop()
	})
	if !ok {
		s.end(endClosed)
	}
}

// startMux starts yamux over the connection, unless the session has already ended.
func (s *session) startMux(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	start := yamux.Server
	if s.dialled {
		start = yamux.Client
	}
	mux, err := start(&muxConn{Conn: conn, raw: s.raw}, s.mesh.muxConfig())
	if err != nil {
		s.mesh.log.Error("peer: Starting the yamux session failed.", "error", err)
		s.raw.Close()
		return false
	}
	s.mux = mux
	s.mesh.counters.countSessionStarted(s.dialled)
	s.mesh.log.Info("peer: Session opened.", "node", s.remote.Node, "incarnation", s.remote.Incarnation, "dialled", s.dialled)
	return true
}

// openControl opens the stream for control messages: the first stream of the
// session, opened by the side that dialled.
func (s *session) openControl() bool {
	open := s.mux.AcceptStream
	if s.dialled {
		open = s.mux.OpenStream
	}
	stream, err := open()
	s.stream = stream
	return err == nil
}

// end closes the session and removes it from its link. Only the first call has an
// effect.
func (s *session) end(reason endReason) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	if reason == endLost && s.announcedEnd != "" {
		reason = s.announcedEnd // the other side closed the connection first
	}
	mux := s.mux
	s.mu.Unlock()
	s.cancel()
	s.raw.Close()
	if mux != nil {
		mux.Close()
	}
	s.mesh.counters.countSessionEnded(reason, mux != nil)
	s.mesh.log.Info("peer: Session ended.", "node", s.remote.Node, "incarnation", s.remote.Incarnation, "reason", string(reason))
	s.link.sessionEnded(s, reason)
}

// markHeard records that the other side is alive.
func (s *session) markHeard() { s.heardAt.Store(int64(s.mesh.age())) }

// markUsed records a frame or call, which also shows that the other side is alive.
func (s *session) markUsed() {
	now := int64(s.mesh.age())
	s.usedAt.Store(now)
	s.heardAt.Store(now)
}

// check closes the session if it is idle, or pings the other side if nothing was
// received for a while.
func (s *session) check(now time.Time) {
	silentFor := now.Sub(s.mesh.startedAt) - time.Duration(s.heardAt.Load())
	idleFor := now.Sub(s.mesh.startedAt) - time.Duration(s.usedAt.Load())
	switch {
	case idleFor >= s.mesh.options.IdleTimeout && s.openCalls.Load() == 0:
		s.mesh.spawn(func() { s.closeGracefully(endIdle) })
	case silentFor >= s.mesh.options.KeepAliveAfter:
		s.ping()
	}
}

// ping pings the other side in the background and ends the session if there is no
// answer. It does nothing while another ping is in progress.
func (s *session) ping() {
	if !s.pinging.CompareAndSwap(false, true) {
		return
	}
	s.mesh.spawn(func() {
		defer s.pinging.Store(false)
		select {
		case <-s.started:
		case <-s.ctx.Done():
			return
		}
		s.mesh.counters.pings.Inc()
		if _, err := s.mux.Ping(); err != nil {
			s.end(endNoAnswer)
			return
		}
		s.markHeard()
	})
}
