// Package classify is the filter that determines the properties of a request: the
// pool that serves it, whether it is idempotent, its deadline, its estimated cost,
// and the hashes used for cache affinity and quarantine.
package classify

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

// Paths of engine calls.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// serviceMethods are the HTTP methods that service pools accept.
var serviceMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
	http.MethodOptions,
}

// idempotentMethods are the service methods that HTTP defines as idempotent.
var idempotentMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPut,
	http.MethodDelete,
	http.MethodOptions,
}

// DefaultDeadline is the time allowed until dispatch if the caller sets no deadline.
const DefaultDeadline = 30 * time.Second

// Options configure a Filter. Zero values select the stated defaults.
type Options struct {
	// DefaultDeadline is the time allowed until dispatch if the caller sets no
	// deadline. Default 30 s.
	DefaultDeadline time.Duration
}

// Filter classifies requests.
type Filter struct {
	options Options
}

// New returns a filter.
func New(options Options) *Filter {
	if options.DefaultDeadline <= 0 {
		options.DefaultDeadline = DefaultDeadline
	}
	return &Filter{options: options}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "classify" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	if refusal := f.classify(ex); refusal != nil {
		refusals.Inc(refusal.Code)
		return refusal
	}
	return next(ctx, ex)
}

func (f *Filter) classify(ex *pipeline.Exchange) *result.Error {
	if refusal := f.setPool(ex); refusal != nil {
		return refusal
	}
	if refusal := f.readHeaders(ex); refusal != nil {
		return refusal
	}
	ex.Fingerprint = ex.HashContent()
	return nil
}

// setPool sets the pool, and for an engine call the fields that its body gives.
func (f *Filter) setPool(ex *pipeline.Exchange) *result.Error {
	name, refusal := f.findPool(ex)
	if refusal != nil {
		return refusal
	}
	if !slices.Contains(ex.Workspace.Pools, name) {
		return result.New(result.PoolNotAllowed, "The workspace may not use this pool.")
	}
	ex.PoolName = name
	ex.Pool = ex.Snapshot.Declarations.Pools[name]
	return nil
}

// findPool returns the name of the pool that serves the request.
func (f *Filter) findPool(ex *pipeline.Exchange) (string, *result.Error) {
	path, _, _ := strings.Cut(ex.Path, "?")
	if path == pathChat || path == pathCompletions {
		return findEnginePool(ex, path)
	}
	return findServicePool(ex)
}

// findEnginePool finds the pool by the model that the body names, and sets the fields
// that the body gives.
func findEnginePool(ex *pipeline.Exchange, path string) (string, *result.Error) {
	if ex.Method != http.MethodPost {
		return "", result.New(result.MethodNotAllowed, "Engine calls are sent by POST.")
	}
	call, refusal := parseCall(ex.Body)
	if refusal != nil {
		return "", refusal
	}
	ex.Model = call.model
	ex.Stream = call.stream
	ex.PrefixHash = targets.PrefixHash(call.messages)
	if path == pathCompletions {
		ex.PrefixHash = targets.PrefixHash(call.prompt)
	}
	name, ok := ex.Snapshot.Index().PoolByModel(call.model)
	if !ok {
		return "", result.New(result.UnknownModel, "No pool serves this model.")
	}
	return name, nil
}

// findServicePool finds the pool by the longest path prefix.
func findServicePool(ex *pipeline.Exchange) (string, *result.Error) {
	name, ok := ex.Snapshot.Index().PoolByPath(ex.Path)
	if !ok {
		return "", result.New(result.UnknownPath, "No pool serves this path.")
	}
	if !slices.Contains(serviceMethods, ex.Method) {
		return "", result.New(result.MethodNotAllowed, "Services take %s.", strings.Join(serviceMethods, ", "))
	}
	return name, nil
}

// isIdempotentByDefault reports whether a request is idempotent if its caller does not
// state it: engine calls are, because generating text changes no state; service calls
// are if HTTP defines their method as idempotent.
func isIdempotentByDefault(ex *pipeline.Exchange) bool {
	return ex.Pool.Kind == config.KindEngine || slices.Contains(idempotentMethods, ex.Method)
}
