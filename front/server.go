// Package front is the caller-side HTTP server: the accept filter of the
// pipeline. It reads each request into an exchange of its own, runs the
// pipeline, and writes the answer. It finds callers that went away, and stops
// without cutting a request.
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
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/settings"
)

// Defaults of Options.
const (
	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxHeldBytes   = 256 << 20
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	DefaultWatchEvery     = 150 * time.Millisecond
	DefaultIdleGrace      = time.Second
	DefaultForceGrace     = time.Second
)

// keptPart is the part of the process's descriptors that connections of callers
// may take before they are closed with their answers. As many again may be in use
// for requests in progress and towards targets.
const keptPart = 0.4

// maxHeaders bounds the number of header lines of a request.
const maxHeaders = 100

// Options configure a Server. Zero values take the stated defaults.
type Options struct {
	// MaxBodyBytes bounds a request body. Default 8 MiB.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the request line and headers. Default 16 KiB.
	MaxHeaderBytes int
	// MaxHeldBytes bounds the bodies that are held at once, from their
	// announcement to the end of their exchanges. Default 256 MiB.
	MaxHeldBytes int
	// Authenticate finds the workspace by the headers, before a body is read.
	// Its refusal is the answer. Default: every body is read.
	Authenticate func(header func(name string) string) (workspace string, refusal *result.Error)
	// ReadTimeout bounds the arrival of a request. Default 10 s.
	ReadTimeout time.Duration
	// IdleTimeout ends idle connections. Default 60 s.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller that does not read. Default 30 s.
	WriteTimeout time.Duration
	// WatchEvery is the period of looking for callers that went away.
	// Default 150 ms.
	WatchEvery time.Duration
	// IdleGrace is how long an idle connection stays open during a Shutdown, so
	// that a request that is on its way is answered and not dropped. Default 1 s.
	IdleGrace time.Duration
	// ForceGrace is how long Close waits for its refusals to be written before
	// it closes the connections. Default 1 s.
	ForceGrace time.Duration
	// KeptConns is how many connections may be open before each is closed with
	// its answer, so that descriptors are left for new callers and for targets.
	// Default 0: no bound.
	KeptConns int
	// Shed, if set, says that the next request is refused before anything is done
	// for it. Its connection is closed, so that its caller's next one may lead to
	// another router. kept says that the connection had an answer before.
	Shed func(kept bool) bool
	// OnShed, if set, learns of each such refusal, by what the headers tell. The function
	// gives headers by name; it and host and path are valid until OnShed returns.
	OnShed func(host, path []byte, header func(name string) []byte)
	// Release, if set, says that the connection of the next answer is closed with it.
	Release func() bool
	// Dialect is how the callers speak. Default dialect.Own.
	Dialect *dialect.Dialect
	// Log defaults to slog.Default().
	Log *slog.Logger
}

// FromLimits returns the options that a settings file asks for.
func FromLimits(limits settings.Limits) Options {
	return Options{
		MaxBodyBytes:   limits.MaxBodyBytes,
		MaxHeaderBytes: limits.MaxHeaderBytes,
		MaxHeldBytes:   limits.MaxHeldBytes,
		ReadTimeout:    time.Duration(limits.ReadTimeout),
		IdleTimeout:    time.Duration(limits.IdleTimeout),
		WriteTimeout:   time.Duration(limits.StallTimeout),
		KeptConns:      int(keptPart * float64(limits.MaxDescriptors)),
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.MaxHeldBytes, DefaultMaxHeldBytes)
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

func setDefault[T int | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

// Server answers callers. Create it with New.
type Server struct {
	options Options
	handler pipeline.Handler
	log     *slog.Logger
	http    *fasthttp.Server
	ids     *idSource
	watch   *watcher

	arrivals *arrivals

	// refusedLog bounds the lines about refused requests, and unlogged counts those
	// that were passed over since the last line.
	refusedLog *rate.Limiter
	unlogged   atomic.Int64

	// ctx is the parent of every exchange's context; cancel ends them all.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// draining is true from Shutdown or Close on.
	draining atomic.Bool
	// started is when the server was made, and acceptedAt the nanoseconds from then to the
	// last connection that it accepted.
	started    time.Time
	acceptedAt atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	serving  bool                     // Serve has not returned
	active   int                      // exchanges that have not ended
	conns    map[*callerConn]struct{} // open connections
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

		refusedLog: rate.NewLimiter(refusedLogged, refusedLogged),

		started: time.Now(),

		arrivals: newArrivals(int64(options.MaxHeldBytes), options.ReadTimeout+arrivalMargin),

		conns:   make(map[*callerConn]struct{}),
		changed: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	s.http = s.newHTTPServer()
	return s
}

// sinceStart is the nanoseconds since the server was made.
func (s *Server) sinceStart() int64 { return int64(time.Since(s.started)) }

func (s *Server) newHTTPServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      s.serve,
		HeaderReceived:               s.headerReceived,
		ErrorHandler:                 s.refuseUnread,
		ConnState:                    s.connState,
		Name:                         "walnutcove",
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           s.options.MaxBodyBytes,
		ReadBufferSize:               s.options.MaxHeaderBytes,
		ReadTimeout:                  s.options.ReadTimeout,
		IdleTimeout:                  s.options.IdleTimeout,
		// Gives the buffers back while a request waits, and sends each answer
		// at once even if the next request has already arrived.
		ReduceMemoryUsage: true,
		Logger:            httpLogger{s.log},
	}
}

// httpLogger passes what the HTTP library says on to slog.
type httpLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.log.Debug("front: HTTP library message.", "message", fmt.Sprintf(format, args...))
}

// Serve accepts callers from listener until Shutdown or Close, and then
// returns nil. It may be called once.
func (s *Server) Serve(listener net.Listener) error {
	s.setServing(true, listener)
	defer s.setServing(false, nil)
	if s.draining.Load() {
		_ = listener.Close() // Shutdown or Close may have been quicker
		return nil
	}
	go s.watchCallers()
	return s.http.Serve(callerListener{Listener: listener, server: s, atOnce: newAtOnce(listener, s)})
}

// watchCallers looks for callers that went away until the last connection is
// closed.
func (s *Server) watchCallers() {
	go s.watch.run()
	// Without a deadline the wait ends only when all is closed.
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
