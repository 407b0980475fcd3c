// Package pipeline chains the filters that handle a request. A request passes
// through these stages in a fixed, explicit order:
//
//	accept -> authenticate -> classify -> guard -> admit -> grant -> dispatch -> relay -> settle
//
// The codes of package result are grouped by these stages. accept is package front, and
// guard consists of the filters quarantine and runrecord. The filter retry repeats grant,
// dispatch and relay. Package router chains the filters.
//
// Each filter is a package under filters/ with one responsibility. A filter calls
// next to continue, or returns a *result.Error to refuse the request.
package pipeline

import "context"

// Handler runs the rest of the pipeline for an exchange. It returns nil, with the
// answer set on the exchange, or a *result.Error.
type Handler func(ctx context.Context, ex *Exchange) error

// Filter is one step of request handling.
type Filter interface {
	// Name is the filter's name in logs and metrics.
	Name() string
	// Serve handles the exchange and calls next unless it refuses.
	Serve(ctx context.Context, ex *Exchange, next Handler) error
}

// Chain returns a handler that runs the filters in order.
func Chain(filters ...Filter) Handler {
	handler := func(context.Context, *Exchange) error { return nil }
	return chain(filters, handler)
}

func chain(filters []Filter, last Handler) Handler {
	if len(filters) == 0 {
		return last
	}
	first := filters[0]
	rest := chain(filters[1:], last)
	return func(ctx context.Context, ex *Exchange) error {
		return first.Serve(ctx, ex, rest)
	}
}
