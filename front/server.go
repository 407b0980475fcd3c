// Package front is the caller-side HTTP server: the accept filter of the
// pipeline. It reads each request into an exchange of its own, runs the
// pipeline, and writes the answer. It finds callers that went away, and stops
// without cutting a request.
package front

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/pipeline"
)

// Defaults of Options.
const (
	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	DefaultWatchEvery     = 250 * time.Millisecond
)

// maxHeaders bounds the number of header lines of a request.
const maxHeaders = 100

// Options configure a Server. Zero values take the stated defaults.
type Options struct {
	// MaxBodyBytes bounds a request body. Default 8 MiB.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the request line and headers. Default 16 KiB.
	MaxHeaderBytes int
	// ReadTimeout bounds the arrival of a request. Default 10 s.
	ReadTimeout time.Duration
	// IdleTimeout ends idle connections. Default 60 s.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller that does not read. Default 30 s.
	WriteTimeout time.Duration
	// WatchEvery is the period of looking for callers that went away.
	// Default 250 ms.
	WatchEvery time.Duration
	// Log defaults to slog.Default().
	Log *slog.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.ReadTimeout, DefaultReadTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.WatchEvery, DefaultWatchEvery)
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

	// ctx is the parent of every exchange's context; cancel ends them all.
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	draining bool
	active   int
	idle     chan struct{} // closed when draining and active is zero
	listener net.Listener
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
		idle:    make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.serve,
		ErrorHandler:                 s.refuseUnread,
		ConnState:                    s.connState,
		Name:                         "walnutcove",
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		MaxRequestBodySize:           options.MaxBodyBytes,
		ReadBufferSize:               options.MaxHeaderBytes,
		ReadTimeout:                  options.ReadTimeout,
		IdleTimeout:                  options.IdleTimeout,
		// Releases buffers while a request waits, and sends each answer at
		// once even if the next request has already arrived.
		ReduceMemoryUsage: true,
		Logger:            httpLogger{options.Log},
	}
	return s
}

// httpLogger passes what fasthttp says on to slog.
type httpLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.log.Debug("front: HTTP library.", "message", sprintf(format, args...))
}

// Serve accepts callers from listener until Shutdown or Close. It then
// returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	draining := s.draining
	s.mu.Unlock()
	if draining {
		return listener.Close()
	}
	go s.watch.run()
	return s.http.Serve(callerListener{Listener: listener, writeTimeout: s.options.WriteTimeout})
}
