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
	dialled bool   // by this side
	seq     uint64 // counts the dialling side's dials
	raw     net.Conn
	// work tells the writer that messages wait; full, that a batch is complete.
	work chan struct{}
	full chan struct{}
	// calls holds a token for each call of the other side.
	calls chan struct{}
	// ctx ends with the session. started is closed when streams can be used.
	ctx     context.Context
	cancel  context.CancelFunc
	started chan struct{}

	mu    sync.Mutex
	ended bool
	// leaving is the reason of an end that this side announced.
	leaving endReason
	mux     *yamux.Session
	stream  *yamux.Stream // of the batches
	// writing guards writes to stream.
	writing sync.Mutex

	heardAt   atomic.Int64 // nanoseconds since Mesh.started of the last frame, call or ping answer
	usedAt    atomic.Int64 // nanoseconds since Mesh.started of the last frame or call
	openCalls atomic.Int64 // in both directions
	probing   atomic.Bool
}

func newSession(l *link, raw net.Conn, remote wire.Origin, dialled bool, seq uint64) *session {
	ctx, cancel := context.WithCancel(l.mesh.ctx)
	s := &session{
		mesh:    l.mesh,
		link:    l,
		remote:  remote,
		dialled: dialled,
		seq:     seq,
		raw:     raw,
		work:    make(chan struct{}, 1),
		full:    make(chan struct{}, 1),
		calls:   make(chan struct{}, l.mesh.options.MaxCalls),
		ctx:     ctx,
		cancel:  cancel,
		started: make(chan struct{}),
	}
	s.used()
	return s
}

// precedes decides between two connections of the same two processes: the one
// dialled by the lower node name stays, and the later of two by the same side.
func (s *session) precedes(old *session) bool {
	if s.dialled == old.dialled {
		return s.seq > old.seq
	}
	return s.dialled == (s.mesh.self.Node < s.remote.Node)
}

// start opens the streams of an installed session. The connection conn carries
// them; it is the TCP connection or TLS over it.
func (s *session) start(conn net.Conn) {
	if !s.startMux(conn) {
		return
	}
	ok := s.mesh.spawn(func() {
		if !s.openControl() {
			s.end(endLost)
			return
		}
		s.link.announce()
		close(s.started)
		s.mesh.spawn(s.write)
		s.mesh.spawn(s.serveCalls)
		s.read()
	})
	if !ok {
		s.end(endClosed)
	}
}

// startMux runs yamux over the connection, unless the session ended already.
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
		s.mesh.log.Error("peer: Session configuration is wrong.", "error", err)
		s.raw.Close()
		return false
	}
	s.mux = mux
	s.mesh.counters.sessionStarted(s.dialled)
	s.mesh.log.Info("peer: Session opened.", "node", s.remote.Node, "incarnation", s.remote.Incarnation, "dialled", s.dialled)
	return true
}

// openControl opens the stream of the batches: the dialling side's first.
func (s *session) openControl() bool {
	open := s.mux.AcceptStream
	if s.dialled {
		open = s.mux.OpenStream
	}
	stream, err := open()
	s.stream = stream
	return err == nil
}

// end closes the session, once, and takes it off its link.
func (s *session) end(reason endReason) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	if reason == endLost && s.leaving != "" {
		reason = s.leaving // the other side was first to close the connection
	}
	mux := s.mux
	s.mu.Unlock()
	s.cancel()
	s.raw.Close()
	if mux != nil {
		mux.Close()
	}
	s.mesh.counters.sessionEnded(reason, mux != nil)
	s.mesh.log.Info("peer: Session ended.", "node", s.remote.Node, "incarnation", s.remote.Incarnation, "reason", string(reason))
	s.link.removed(s, reason)
}

func (s *session) heard() { s.heardAt.Store(int64(s.mesh.age())) }

func (s *session) used() {
	now := int64(s.mesh.age())
	s.usedAt.Store(now)
	s.heardAt.Store(now)
}

// check closes an idle session and pings a silent one.
func (s *session) check(now time.Time) {
	silent := now.Sub(s.mesh.started) - time.Duration(s.heardAt.Load())
	idle := now.Sub(s.mesh.started) - time.Duration(s.usedAt.Load())
	switch {
	case idle >= s.mesh.options.IdleAfter && s.openCalls.Load() == 0:
		s.mesh.spawn(func() { s.farewell(endIdle) })
	case silent >= s.mesh.options.KeepAliveAfter:
		s.probe()
	}
}

// probe pings the other side in the background and ends the session if there is no answer.
func (s *session) probe() {
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	s.mesh.spawn(func() {
		defer s.probing.Store(false)
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
		s.heard()
	})
}
