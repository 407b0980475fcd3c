// Package route is the filter that determines the route of a request by host and
// path, its workspace by key, its pool by the route's split, and its deadline.
// It also selects the configuration version that the request is served by. It
// replaces authenticate and classify in a fleet whose configuration has routes:
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
	// maxDeadline bounds the time that a caller may request.
	maxDeadline = 24 * time.Hour
	// While no configuration is in force, callers are told to retry after a random
	// time between these. A router usually has one within half a second of its start.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

var refusals = codecounter.New("walnut_route_refusals_total",
	result.NotReady, result.VersionBehind, result.UnknownPath, result.KeyMissing, result.KeyWrong, result.BadHeader)

// Source provides the configuration in force.
type Source interface {
	// InForce returns the snapshot in force, or nil if there is none yet.
	InForce() *config.Snapshot
}

// Options configure a Filter.
type Options struct {
	// Source provides the configuration. Required.
	Source Source
	// Dialect names the headers. Required.
	Dialect *dialect.Dialect
	// DefaultDeadline is the time allowed for a request if its route sets no time limit.
	DefaultDeadline time.Duration
	// Lag returns by how much this process lags behind in reading arriving requests;
	// nil means that it never lags.
	Lag func() time.Duration
	// IsBehind reports whether a newer configuration version is known of and not in force here
	// yet; nil means that there is none.
	IsBehind func() bool
}

// Filter determines the route of each request, and what follows from it.
type Filter struct{ options Options }

// New returns a filter.
func New(options Options) *Filter { return &Filter{options: options} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "route" }

// Serve implements pipeline.Filter. The context passed to next ends at the request's
// deadline.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if refusal := f.resolve(ex); refusal != nil {
		refusal = f.orBehind(refusal)
		refusals.Inc(refusal.Code)
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, ex.Deadline)
	ex.OnEnd(func(error) { cancel() })
	return next(ctx, ex)
}

// orBehind replaces the refusal of an unknown path or key while a newer version is being
// fetched, which may have it: the caller is told to come back instead of giving up.
func (f *Filter) orBehind(refusal *result.Error) *result.Error {
	isUnknown := refusal.Code == result.UnknownPath || refusal.Code == result.KeyWrong
	if !isUnknown || f.options.IsBehind == nil || !f.options.IsBehind() {
		return refusal
	}
	return result.Wrap(result.VersionBehind, refusal, "%s", result.VersionBehind.Info().Meaning).WithRetryAfter(retryAfter())
}

// retryAfter returns when a caller may come back to a router that lacks a version.
func retryAfter() time.Duration { return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) }

// resolve sets the snapshot, the route and all fields that follow from them.
func (f *Filter) resolve(ex *pipeline.Exchange) *result.Error {
	ex.Snapshot = f.options.Source.InForce()
	if ex.Snapshot == nil {
		return result.New(result.NotReady, "No configuration version is in force yet.").WithRetryAfter(retryAfter())
	}
	ex.Route = ex.Snapshot.Index().RouteOf(ex.Host, ex.Path)
	if ex.Route == nil {
		return result.New(result.UnknownPath, "No route serves this host and path.")
	}
	if refusal := f.setWorkspace(ex); refusal != nil {
		return refusal
	}
	if refusal := f.setDeadline(ex); refusal != nil {
		return refusal
	}
	f.setRouteFields(ex)
	return f.setResumedStream(ex)
}

// maxRequestIDLength bounds the id of a request that a caller names, in bytes. Longer ids
// are not accepted as ids either; see package front.
const maxRequestIDLength = 128

// setResumedStream sets the fields of a request that reconnects to a stream. It may name one
// that began when the route still allowed that.
func (f *Filter) setResumedStream(ex *pipeline.Exchange) *result.Error {
	if ex.Route.Kind != config.RouteStream {
		return nil
	}
	ex.ResumedRequest = ex.Header[f.options.Dialect.ResumedRequest]
	if ex.Route.Resumes {
		ex.CallerEventID = ex.Header[f.options.Dialect.ResumeAfter]
	}
	if len(ex.ResumedRequest) > maxRequestIDLength {
		ex.ResumedRequest = ""
		return result.New(result.BadHeader, "The id of the resumed request is longer than %d bytes.", maxRequestIDLength)
	}
	return nil
}

// setWorkspace sets the workspace by the key in the headers. Requests on public routes
// belong to no workspace.
func (f *Filter) setWorkspace(ex *pipeline.Exchange) *result.Error {
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

// lagShareDivisor limits the fraction (1/lagShareDivisor) of a request's time that may
// count as spent before the request was read: the lag is an average, and must not be the
// only reason to give up a request.
const lagShareDivisor = 2

// setDeadline sets the earlier of the caller's deadline and the route's time limit. Both
// times begin when the request is sent, so the router's lag in reading it is subtracted:
// without that, targets kept working for the length of the lag after callers had left.
func (f *Filter) setDeadline(ex *pipeline.Exchange) *result.Error {
	allowed := f.options.DefaultDeadline
	if limit := ex.Route.Timeout(); limit > 0 {
		allowed = limit
		ex.LimitedByRoute = true
	}
	if text := ex.Header[f.options.Dialect.Deadline]; text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || !(millis >= 0) {
			return result.New(result.BadHeader, "The deadline is not a number of milliseconds.")
		}
		requested := time.Duration(min(millis, float64(maxDeadline.Milliseconds()))) * time.Millisecond
		if requested < allowed {
			allowed = requested
			ex.LimitedByRoute = false
		}
	}
	if f.options.Lag != nil {
		allowed -= min(f.options.Lag(), allowed/lagShareDivisor)
	}
	ex.Deadline = ex.Arrived.Add(allowed)
	return nil
}

// setRouteFields sets the fields that follow from the route and the headers.
func (f *Filter) setRouteFields(ex *pipeline.Exchange) {
	ex.PoolName = ex.Route.PickPool(rand.Float64())
	ex.Pool = ex.Snapshot.Declarations.Pools[ex.PoolName]
	ex.Stream = ex.Route.Kind == config.RouteStream
	ex.Idempotent = ex.Route.IsIdempotent()
	ex.Fingerprint = ex.HashContent()
	if f.options.Dialect.Work != nil {
		ex.Work = f.options.Dialect.Work(func(name string) string { return ex.Header[name] })
	}
}
