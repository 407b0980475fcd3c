package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// exportLifetime is how long an encoded export is kept for further peers. Peers ask within
	// a second of a change.
	exportLifetime = 2 * time.Second
	// timedExportLifetime is the same for exports with times that are relative to now, which
	// become wrong by as much.
	timedExportLifetime = 100 * time.Millisecond
	// maxExports bounds the encoded exports that are kept, one for each cursor.
	maxExports = 8
)

var (
	exportsEncoded   = metrics.GetOrCreateCounter(`walnut_directory_exports_total{result="encoded"}`)
	exportsReused    = metrics.GetOrCreateCounter(`walnut_directory_exports_total{result="reused"}`)
	exportsAbandoned = metrics.GetOrCreateCounter(`walnut_directory_exports_total{result="abandoned"}`)
)

// exports keeps encoded exports: after a change, many peers that know the same ask at the same
// time. Exports are encoded one after another, so that the first peers are answered early.
type exports struct {
	// lock is held by sending to it. It guards the other fields.
	lock chan struct{}
	// generation is the generation of the state that encoded holds.
	generation uint64
	encoded    map[Cursor]encodedExport
}

type encodedExport struct {
	content []byte
	until   time.Time
}

func newExports() *exports { return &exports{lock: make(chan struct{}, 1)} }

// Export encodes what this router knows and the router with the given cursor does not. It returns
// the context's error if ctx ends before its turn has come. The result must not be modified.
func (f *Follower) Export(ctx context.Context, cursor Cursor) ([]byte, error) {
	select {
	case f.exports.lock <- struct{}{}:
		defer func() { <-f.exports.lock }()
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		exportsAbandoned.Inc()
		return nil, ctx.Err()
	}
	return f.exports.get(f, cursor, time.Now())
}

// get returns the export for a cursor. e.lock must be held.
func (e *exports) get(f *Follower, cursor Cursor, now time.Time) ([]byte, error) {
	f.mu.Lock()
	if f.generation != e.generation || e.encoded == nil {
		e.generation, e.encoded = f.generation, make(map[Cursor]encodedExport)
	}
	if known, found := e.encoded[cursor]; found && now.Before(known.until) {
		f.mu.Unlock()
		exportsReused.Inc()
		return known.content, nil
	}
	content := f.state.export(cursor, now)
	f.mu.Unlock()
	encoded, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("directory: encode for a peer: %w", err)
	}
	exportsEncoded.Inc()
	e.keep(cursor, encodedExport{content: encoded, until: now.Add(content.lifetime())})
	return encoded, nil
}

// keep keeps an encoded export until it expires. e.lock must be held.
func (e *exports) keep(cursor Cursor, export encodedExport) {
	if len(e.encoded) >= maxExports {
		clear(e.encoded)
	}
	e.encoded[cursor] = export
	time.AfterFunc(time.Until(export.until), e.dropExpired)
}

// dropExpired frees the memory of expired exports.
func (e *exports) dropExpired() {
	e.lock <- struct{}{}
	defer func() { <-e.lock }()
	now := time.Now()
	for cursor, export := range e.encoded {
		if !now.Before(export.until) {
			delete(e.encoded, cursor)
		}
	}
}

// lifetime returns how long the encoded content can be used.
func (c *peerExport) lifetime() time.Duration {
	timed := len(c.DeferredRemovals) > 0 || len(c.Unconfirmed) > 0
	for _, e := range c.Evacuations {
		timed = timed || e.Left > 0
	}
	if timed {
		return timedExportLifetime
	}
	return exportLifetime
}
