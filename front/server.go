// Package front is the caller-side HTTP server: the accept filter of the
// pipeline. It reads each request into an exchange of its own, runs the
// pipeline, and writes the answer. It detects callers that disconnect, and shuts
// down without interrupting requests.
package front

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/settings"
)

// Defaults of Options.
const (
	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxHeldBytes   = 256 << 20
	DefaultMaxAnswerBytes = 256 << 20
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	DefaultWatchEvery     = 150 * time.Millisecond
	DefaultIdleGrace      = time.Second
	DefaultForceGrace     = time.Second
)

// callerConnRatio is the fraction of the process's descriptors that callers' connections
// may use before they are closed after their answers. As many again may be in use
// for requests in progress and for connections to targets.
const callerConnRatio = 0.4

// boundedSendBuffer is the size of the send buffer of a caller's connection, in bytes, where memory
// is limited. Without it the system holds up to 4 MiB for each caller that has stopped reading. It
// uses up to twice this size, so 500 such callers take 64 MiB. With half of it, an answer of 3 MiB
// took 1.3 s on loopback instead of 20 ms.
const boundedSendBuffer = 64 << 10

// maxHeaderCount limits the number of header lines of a request.
const maxHeaderCount = 100

// Options configure a Server. Zero values mean the stated defaults.
type Options struct {
	// MaxBodyBytes limits a request body. Default 8 MiB.
	MaxBodyBytes int
	// MaxHeaderBytes limits the request line and headers. Default 16 KiB.
	MaxHeaderBytes int
	// MaxHeldBytes limits the total size of the bodies held at the same time. A body
	// counts from the time its headers are read until its exchange ends. Default 256 MiB.
	MaxHeldBytes int
	// MaxAnswerBytes limits the total size of the answers held at the same time for callers
	// who have not read them yet. Past it, answers are passed on as their callers read them.
	// Default 256 MiB.
	MaxAnswerBytes int
	// SendBufferBytes is the size of the system's send buffer of each caller's connection.
	// Default 0: the system decides.
	SendBufferBytes int
	// Authenticate finds the workspace from the headers, before a body is read.
	// If it returns a refusal, that is the answer. Default: every body is read.
	Authenticate func(header func(name string) string) (workspace string, refusal *result.Error)
	// ReadTimeout limits the time in which a request must arrive. Default 10 s.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed. Default 60 s.
	IdleTimeout time.Duration
	// IdleLimit, if set, returns for how long callers may keep connections idle by the configuration in
	// force; zero if it does not state it. An idle connection is closed after the longer of it and
	// IdleTimeout. A limit that becomes longer applies to connections that are idle already, one that
	// becomes shorter does not.
	IdleLimit func() time.Duration
	// WriteTimeout limits how long a caller may read nothing of its answer. Default 30 s.
	WriteTimeout time.Duration
	// WatchEvery is the interval between checks for callers that have disconnected.
	// Default 150 ms.
	WatchEvery time.Duration
	// IdleGrace is how long an idle connection stays open during a Shutdown, so
	// that a request in transit is answered and not dropped. Default 1 s.
	IdleGrace time.Duration
	// ForceGrace is how long Close waits for its refusals to be written before
	// it closes the connections. Default 1 s.
	ForceGrace time.Duration
	// MaxKeptConns is how many connections may be open before each is closed after
	// its answer, so that descriptors are left for new callers and for targets.
	// Default 0: no limit.
	MaxKeptConns int
	// Shed, if set, reports whether the next request is refused before any work is done
	// for it. Its connection is closed, so that the caller's next connection may reach
	// another router. kept is set if a request has been answered on the connection before.
	Shed func(kept bool) bool
	// ConfirmShed, if set, is called for each request that Shed selected, with the host, the
	// path and a function that returns headers by name, which are valid until it returns. It
	// reports whether the request is not served here; if so, and if no executor takes it, it is
	// refused. countRefused, if not nil, is called if the request is refused, maybe later and
	// from another goroutine.
	ConfirmShed func(kept bool, host, path []byte, header func(name string) []byte) (shed bool, countRefused func())
	// Offload, if set, passes requests that are to be refused to executors. Only those that it
	// does not take are refused.
	Offload offload.Sender
	// ConfigNumber, if set, returns the number of the configuration version in force, which
	// executors must have as well.
	ConfigNumber func() uint64
	// RouteLimit, if set, returns the time limit of the route of a request, or zero. The arguments
	// are valid until it returns. It bounds how long an offloaded request waits for an executor
	// that is silent; others enforce the limit themselves.
	RouteLimit func(host, path []byte) time.Duration
	// Lag, if set, returns by how much this process lags behind. Offloaded requests count as
	// having waited for that time before they were read.
	Lag func() time.Duration
	// CloseAfterAnswer, if set, reports whether the connection of the next answer is
	// closed after it.
	CloseAfterAnswer func() bool
	// Dialect is the dialect that callers use. Default dialect.Own.
	Dialect *dialect.Dialect
	// Log defaults to slog.Default().
	Log *slog.Logger
}

// FromLimits returns the options for the limits of a settings file.
func FromLimits(limits settings.Limits) Options {
	options := Options{
		MaxBodyBytes:   limits.MaxBodyBytes,
		MaxHeaderBytes: limits.MaxHeaderBytes,
		MaxHeldBytes:   limits.MaxHeldBytes,
		MaxAnswerBytes: limits.AnswerBytes(),
		ReadTimeout:    time.Duration(limits.ReadTimeout),
		IdleTimeout:    time.Duration(limits.IdleTimeout),
		WriteTimeout:   time.Duration(limits.StallTimeout),
		MaxKeptConns:   int(callerConnRatio * float64(limits.MaxDescriptors)),
	}
	if limits.MemoryMiB > 0 {
		options.SendBufferBytes = boundedSendBuffer
	}
	return options
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.MaxHeldBytes, DefaultMaxHeldBytes)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&o.ReadTimeout, DefaultReadTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.WatchEvery, DefaultWatchEvery)
	setDefault(&o.IdleGrace, DefaultIdleGrace)
	setDefault(&o.ForceGrace, DefaultForceGrace)
	if o.Dialect == nil {
		o.Dialect = dialect.Own
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return o
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Server serves callers over HTTP. Create it with New.
type Server struct {
	options Options
	handler pipeline.Handler
	log     *slog.Logger
	http    *fasthttp.Server
	ids     *idSource
	watch   *watcher

	reservations *bodyReservations
	answerBudget *byteBudget

	// offloads is nil if offloading is off.
	offloads *offloads

	// refusalLogLimiter limits the log lines about refused requests, and unlogged counts
	// the refusals that were not logged since the last line.
	refusalLogLimiter *rate.Limiter
	unlogged          atomic.Int64

	// ctx is the parent of every exchange's context; cancel cancels them all.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// draining is true from Shutdown or Close on.
	draining atomic.Bool
	// started is when the server was created, and acceptedAt is when it last accepted a
	// connection, in nanoseconds since started.
	started    time.Time
	acceptedAt atomic.Int64
	backlog    acceptBacklog

	mu       sync.Mutex
	listener net.Listener
	serving  bool                     // Serve has not returned
	active   int                      // exchanges that have not ended
	conns    map[*callerConn]struct{} // open connections
	executed int                      // connections of conns that carry requests of other routers
	changed  chan struct{}            // closed and replaced by signal
}

// New returns a server that runs handler for every request.
func New(options Options, handler pipeline.Handler) *Server {
	options = options.withDefaults()
	s := &Server{
		options: options,
		handler: handler,
		log:     options.Log,
		ids:     newIDSource(),
		watch:   newWatcher(options.WatchEvery),

		refusalLogLimiter: rate.NewLimiter(maxRefusalLogsPerSecond, maxRefusalLogsPerSecond),

		started: time.Now(),

		reservations: newBodyReservations(int64(options.MaxHeldBytes), options.ReadTimeout+reservationMargin),
		answerBudget: newByteBudget(int64(options.MaxAnswerBytes)),

		conns:   make(map[*callerConn]struct{}),
		changed: make(chan struct{}),
	}
	s.offloads = newOffloads(s, options.Offload)
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	s.http = s.newHTTPServer()
	return s
}

// sinceStart returns the nanoseconds since the server was created.
func (s *Server) sinceStart() int64 { return int64(time.Since(s.started)) }

func (s *Server) newHTTPServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      s.serve,
		HeaderReceived:               s.headerReceived,
		ErrorHandler:                 s.writeReadRefusal,
		ConnState:                    s.connState,
		Name:                         "walnutcove",
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           s.options.MaxBodyBytes,
		ReadBufferSize:               s.options.MaxHeaderBytes,
		ReadTimeout:                  s.options.ReadTimeout,
		IdleTimeout:                  s.options.IdleTimeout,
		// Releases the buffers while a connection waits for a request, and sends each
		// answer at once even if the next request has already arrived.
		ReduceMemoryUsage: true,
		Logger:            httpLogger{s.log},
	}
}

// httpLogger passes the log messages of the HTTP library on to slog.
type httpLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.log.Debug("front: HTTP library message.", "message", fmt.Sprintf(format, args...))
}

// Serve accepts callers from listener until Shutdown or Close, and then
// returns nil. It may be called once.
func (s *Server) Serve(listener net.Listener) error {
	s.backlog.setListener(listener)
	s.setServing(true, listener)
	defer s.setServing(false, nil)
	if s.draining.Load() {
		_ = listener.Close() // Shutdown or Close was called first
		return nil
	}
	go s.watchCallers()
	return s.http.Serve(callerListener{Listener: listener, server: s, fastRefuser: newFastRefuser(listener, s)})
}

// watchCallers checks for callers that have disconnected until the last connection
// is closed.
func (s *Server) watchCallers() {
	go s.watch.run()
	// Without a deadline the wait ends only when all connections are closed.
	_ = s.waitUntil(context.Background(), s.allClosed)
	s.watch.close()
}

func (s *Server) setServing(serving bool, listener net.Listener) {
	s.mu.Lock()
	s.serving = serving
	s.listener = listener
	s.signal()
	s.mu.Unlock()
}
