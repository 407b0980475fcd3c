package operator

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

const (
	defaultHistoryLimit = 50
	maxHistoryLimit     = 500
)

// route is one path of the API.
type route struct {
	method string
	// open is set if the route needs no key.
	open bool
	// fallback is the result code of errors that have none.
	fallback result.Code
	// serve returns the document to answer with; nil if it has answered itself.
	serve func(s *Server, ctx context.Context, req *fasthttp.RequestCtx) (any, error)
}

var routes = map[string]route{
	PathHealthz:  {fasthttp.MethodGet, true, result.PlatformUnavailable, (*Server).healthz},
	PathReadyz:   {fasthttp.MethodGet, true, result.PlatformUnavailable, (*Server).readyz},
	PathMetrics:  {fasthttp.MethodGet, false, result.PlatformUnavailable, (*Server).metrics},
	PathProfile:  {fasthttp.MethodGet, false, result.PlatformUnavailable, (*Server).cpuProfile},
	PathHeap:     {fasthttp.MethodGet, false, result.PlatformUnavailable, (*Server).heapProfile},
	PathConfig:   {fasthttp.MethodGet, false, result.PlatformUnavailable, (*Server).config},
	PathPatches:  {fasthttp.MethodPost, false, result.CommitUnknown, (*Server).patch},
	PathHistory:  {fasthttp.MethodGet, false, result.PlatformUnavailable, (*Server).history},
	PathRollback: {fasthttp.MethodPost, false, result.CommitUnknown, (*Server).rollback},
	PathStatus:   {fasthttp.MethodGet, false, result.PlatformUnavailable, (*Server).status},
	PathDrain:    {fasthttp.MethodPost, false, result.CommitUnknown, (*Server).drain},
}

// handle finds the route, checks the key and the method, and answers. Without a
// valid key, unknown paths are refused like known ones.
func (s *Server) handle(req *fasthttp.RequestCtx) {
	path := string(req.Path())
	found, ok := routes[path]
	switch {
	case !ok && !s.hasValidKey(req):
		s.refuse(req, result.New(result.OperatorKeyWrong, "operator key missing or wrong"), result.OperatorKeyWrong)
		return
	case !ok:
		s.refuse(req, result.New(result.UnknownPath, "no such path"), result.UnknownPath)
		return
	case !found.open && !s.hasValidKey(req):
		s.refuse(req, result.New(result.OperatorKeyWrong, "operator key missing or wrong"), result.OperatorKeyWrong)
		return
	case string(req.Method()) != found.method:
		req.Response.Header.Set(fasthttp.HeaderAllow, found.method)
		s.refuse(req, result.New(result.MethodNotAllowed, "use %s", found.method), result.MethodNotAllowed)
		return
	}
	requestCounter(path).Inc()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	document, err := found.serve(s, ctx, req)
	if err != nil {
		s.refuse(req, err, found.fallback)
		return
	}
	if document != nil {
		s.answer(req, fasthttp.StatusOK, document)
	}
}

func (s *Server) healthz(_ context.Context, req *fasthttp.RequestCtx) (any, error) {
	req.SetContentType("text/plain; charset=utf-8")
	req.SetBodyString("ok\n")
	return nil, nil
}

func (s *Server) readyz(_ context.Context, req *fasthttp.RequestCtx) (any, error) {
	readiness := s.backend.Ready()
	status := fasthttp.StatusOK
	if !readiness.Ready {
		status = fasthttp.StatusServiceUnavailable
	}
	s.answer(req, status, readiness)
	return nil, nil
}

func (s *Server) metrics(_ context.Context, req *fasthttp.RequestCtx) (any, error) {
	req.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	metrics.WritePrometheus(req, true)
	return nil, nil
}

func (s *Server) config(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	version, err := versionArg(req, "version")
	if err != nil {
		return nil, err
	}
	return s.backend.Config(ctx, version)
}

func (s *Server) history(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	before, err := versionArg(req, "before")
	if err != nil {
		return nil, err
	}
	limit, err := numberArg(req, "limit", defaultHistoryLimit)
	if err != nil {
		return nil, err
	}
	limit = min(limit, maxHistoryLimit)
	entries, err := s.backend.History(ctx, before, int(limit))
	if err != nil {
		return nil, err
	}
	return historyAnswer(entries), nil
}

func (s *Server) status(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	args := req.QueryArgs()
	detail := string(args.Peek("detail")) != "0"
	if args.GetBool("fleet") {
		return fleetStatus(ctx, s.backend, detail)
	}
	return s.backend.Status(ctx, StatusRequest{Detail: detail})
}

func (s *Server) drain(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var request DrainRequest
	if err := decode(req, &request); err != nil {
		return nil, err
	}
	if err := s.backend.Drain(ctx, request.Node); err != nil {
		return nil, err
	}
	s.log.Info("operator: Drain started.", "node", request.Node)
	return DrainStarted(request), nil
}

// versionArg reads a version from the query; zero if it is absent.
func versionArg(req *fasthttp.RequestCtx, name string) (config.Version, error) {
	number, err := numberArg(req, name, 0)
	return config.Version(number), err
}
