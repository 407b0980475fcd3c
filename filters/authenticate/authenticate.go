// Package authenticate is the filter that finds the workspace of a request by its
// key. It also selects the configuration version that the request is served by.
package authenticate

import (
	"context"
	"strings"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

// Headers that carry a workspace key.
const (
	headerAuthorization = "Authorization"
	headerKey           = "Walnut-Key"
	bearerScheme        = "Bearer "
)

var refusals = codecounter.New("walnut_authenticate_refusals_total",
	result.KeyMissing, result.KeyWrong, result.NotReady)

// Source provides the configuration in force.
type Source interface {
	// InForce returns the snapshot in force, or nil if there is none yet.
	InForce() *config.Snapshot
}

// Filter authenticates callers.
type Filter struct {
	source Source
}

// New returns a filter that looks up keys in the source's snapshot.
func New(source Source) *Filter { return &Filter{source: source} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "authenticate" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	key := keyFromHeaders(func(name string) string { return ex.Header[name] })
	// The key must not be forwarded to a target.
	delete(ex.Header, headerKey)
	delete(ex.Header, headerAuthorization)
	snapshot, name, refusal := f.findWorkspace(key)
	if refusal != nil {
		return refusal
	}
	ex.Snapshot = snapshot
	ex.WorkspaceName = name
	ex.Workspace = snapshot.Declarations.Workspaces[name]
	return next(ctx, ex)
}

// Check finds the workspace of a request by its headers alone, so that no body
// is read for a caller without a valid key. header returns the value of a header by
// its canonical name.
func (f *Filter) Check(header func(name string) string) (workspace string, refusal *result.Error) {
	_, workspace, refusal = f.findWorkspace(keyFromHeaders(header))
	return workspace, refusal
}

// findWorkspace returns the configuration in force and the name of the key's workspace
// in it.
func (f *Filter) findWorkspace(key string) (*config.Snapshot, string, *result.Error) {
	if key == "" {
		return nil, "", refuse(result.KeyMissing, "Send the workspace key as Authorization: Bearer KEY or Walnut-Key: KEY.")
	}
	snapshot := f.source.InForce()
	if snapshot == nil {
		return nil, "", refuse(result.NotReady, "No configuration version is in force yet.")
	}
	// The lookup uses the digest of the key, so its duration does not reveal how much
	// of a guessed key is correct.
	name, ok := snapshot.Index().WorkspaceByKey([]byte(key))
	if !ok {
		return nil, "", refuse(result.KeyWrong, "The workspace key is not known.")
	}
	return snapshot, name, nil
}

// refuse counts and returns a refusal.
func refuse(code result.Code, detail string) *result.Error {
	refusals.Inc(code)
	return result.New(code, "%s", detail)
}

// keyFromHeaders returns the key in the headers, or "" if there is none.
func keyFromHeaders(header func(name string) string) string {
	if key := header(headerKey); key != "" {
		return key
	}
	authorization := header(headerAuthorization)
	if len(authorization) > len(bearerScheme) && strings.EqualFold(authorization[:len(bearerScheme)], bearerScheme) {
		return strings.TrimSpace(authorization[len(bearerScheme):])
	}
	return ""
}
