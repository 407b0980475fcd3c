package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

const (
	maxHeaderBytes = 16 << 10
	maxConnections = 256

	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	writeTimeout   = 30 * time.Second
	requestTimeout = 20 * time.Second
)

// refusals counts refused requests by result code.
var refusals = codecounter.New("walnut_operator_refusals_total",
	result.VersionConflict,
	result.InvalidPatch,
	result.InvalidDeclaration,
	result.PlatformUnavailable,
	result.UnknownVersion,
	result.OperatorKeyWrong,
	result.CommitUnknown,
	result.UnknownRouter,
	result.RouterUnreachable,
)

// Options configures a Server.
type Options struct {
	// Address is the listener's "ip:port". It decides whether KeyHashes may be empty.
	Address string
	// KeyHashes are hex SHA-256 digests of the operators' keys.
	KeyHashes []string
	// Open serves everyone who can reach the address, without a key: for networks
	// that only operators can reach.
	Open bool
	// Log receives one line for each change and each refusal. Default slog.Default().
	Log *slog.Logger
}

// Server serves the operator API over a Backend.
type Server struct {
	backend Backend
	keys    keyring
	log     *slog.Logger
	http    *fasthttp.Server
}

// New returns a server. It refuses malformed key hashes, and an empty list of
// them if the address is not on loopback and Open is not set.
func New(backend Backend, options Options) (*Server, error) {
	keys, err := newKeyring(options.KeyHashes, options.Address, options.Open)
	if err != nil {
		return nil, err
	}
	s := &Server{backend: backend, keys: keys, log: options.Log}
	if s.log == nil {
		s.log = slog.Default()
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleReadError,
		StreamRequestBody:     true,
		MaxRequestBodySize:    prefetchBytes,
		ReadBufferSize:        maxHeaderBytes,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s, nil
}

// Serve accepts connections until Shutdown is called or the listener fails.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Shutdown stops accepting and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// handleReadError answers a request whose headers could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	code := result.BadRequest
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) {
		code = result.HeadersTooLarge
	}
	s.refuse(ctx, result.Wrap(code, err, "%s", code.Info().Meaning), code)
}

func (s *Server) hasValidKey(ctx *fasthttp.RequestCtx) bool {
	return s.keys.allows(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
}

// refuse answers with the error's document, counts the refusal and logs it.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, err error, fallback result.Code) {
	discardBody(ctx)
	body := errorBody(err, fallback)
	code := result.Code(body.Code)
	refusals.Inc(code)
	s.log.Info("operator: Request refused.", "path", string(ctx.Path()), "code", body.Code, "reason", body.Name, "error", err)
	s.answer(ctx, code.Info().Status, body)
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, status int, document any) {
	raw, err := json.Marshal(document)
	if err != nil {
		s.log.Error("operator: Answer cannot be encoded.", "error", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(raw, '\n'))
}

func requestCounter(route string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("walnut_operator_requests_total{route=%q}", route))
}

// discardLogger discards fasthttp's own log lines; refuse logs the refusals.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
