// Package route is the filter that finds the route of a request by host and
// path, its workspace by key, its pool by the route's split, and its deadline.
// It fixes the configuration version that the request is served by. It takes
// the place of authenticate and classify in a fleet whose configuration has
// routes:
//
//	[routes.deploy]
//	host = "hooks.example"
//	prefix = "/deploy/"
//	split = [{ pool = "site-ops", weight = 1 }]
//	kind = "non-idempotent"
//	timeout_millis = 1000
package route

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

const (
	// maxDeadline bounds the time that a caller may ask for.
	maxDeadline = 24 * time.Hour
	// The advice while no configuration is known lies between these, at random.
	// A router usually has one within half a second of its start.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

var refusals = codecounter.New("walnut_route_refusals_total",
	result.NotReady, result.UnknownPath, result.KeyMissing, result.KeyWrong, result.BadHeader)

// Source gives the configuration in force.
type Source interface {
	// InForce returns the snapshot in force; nil before there is one.
	InForce() *config.Snapshot
}

// Options configure a Filter.
type Options struct {
	// Source gives the configuration. Required.
	Source Source
	// Dialect names the headers. Required.
	Dialect *dialect.Dialect
	// DefaultDeadline is the time of a request whose caller and route set none.
	DefaultDeadline time.Duration
	// Lag returns how late this process takes in what arrives; nil: never.
	Lag func() time.Duration
}

// Filter finds routes.
type Filter struct{ options Options }

// New returns a filter.
func New(options Options) *Filter { return &Filter{options: options} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "route" }

// Serve implements pipeline.Filter. The context of what follows ends at the
// request's deadline.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if refusal := f.find(ex); refusal != nil {
		refusals.Inc(refusal.Code)
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, ex.Deadline)
	ex.OnEnd(func(error) { cancel() })
	return next(ctx, ex)
}

func (f *Filter) find(ex *pipeline.Exchange) *result.Error {
	ex.Snapshot = f.options.Source.InForce()
	if ex.Snapshot == nil {
		after := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
		return result.New(result.NotReady, "No configuration version is in force yet.").After(after)
	}
	ex.Route = ex.Snapshot.Index().RouteOf(ex.Host, ex.Path)
	if ex.Route == nil {
		return result.New(result.UnknownPath, "No route serves this host and path.")
	}
	if refusal := f.findWorkspace(ex); refusal != nil {
		return refusal
	}
	if refusal := f.findDeadline(ex); refusal != nil {
		return refusal
	}
	f.describe(ex)
	return nil
}

// findWorkspace finds the workspace by its key. Requests on public routes belong
// to none.
func (f *Filter) findWorkspace(ex *pipeline.Exchange) *result.Error {
	if ex.Route.Public {
		return nil
	}
	key := ex.Header[f.options.Dialect.Key]
	if key == "" {
		return result.New(result.KeyMissing, "The request has no workspace key.")
	}
	name, known := ex.Snapshot.Index().WorkspaceByKey([]byte(key))
	if !known {
		return result.New(result.KeyWrong, "The workspace key is not known.")
	}
	ex.WorkspaceName = name
	ex.Workspace = ex.Snapshot.Declarations.Workspaces[name]
	return nil
}

// mostLagPart is the part of a request's time that may count as spent before it was read:
// lateness is an average, and no request is given up for it alone.
const mostLagPart = 2

// findDeadline takes the sooner of the caller's deadline and the route's time limit. Both
// began when the request was sent, so what a late router took to read it has passed:
// targets worked on for callers that had left for as long.
func (f *Filter) findDeadline(ex *pipeline.Exchange) *result.Error {
	wait := f.options.DefaultDeadline
	if limit := ex.Route.Timeout(); limit > 0 {
		wait = limit
	}
	if text := ex.Header[f.options.Dialect.Deadline]; text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || !(millis >= 0) {
			return result.New(result.BadHeader, "The deadline is not a number of milliseconds.")
		}
		asked := time.Duration(min(millis, float64(maxDeadline.Milliseconds()))) * time.Millisecond
		wait = min(wait, asked)
	}
	if f.options.Lag != nil {
		wait -= min(f.options.Lag(), wait/mostLagPart)
	}
	ex.Deadline = ex.Arrived.Add(wait)
	return nil
}

// describe sets what follows from the route and the headers.
func (f *Filter) describe(ex *pipeline.Exchange) {
	ex.PoolName = ex.Route.Pick(rand.Float64())
	ex.Pool = ex.Snapshot.Declarations.Pools[ex.PoolName]
	ex.Stream = ex.Route.Kind == config.RouteStream
	ex.Idempotent = ex.Route.IsIdempotent()
	ex.Fingerprint = ex.HashContent()
	if f.options.Dialect.Work != nil {
		ex.Work = f.options.Dialect.Work(func(name string) string { return ex.Header[name] })
	}
}
