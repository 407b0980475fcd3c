package peer

import (
	"context"
	"io"
)

// progressKey is the context key of the function that WithProgress sets.
type progressKey struct{}

// WithProgress returns a context for Mesh.Call that reports the bytes of the answer as they
// arrive. onBytes is called by the goroutine of the call and must not block.
func WithProgress(ctx context.Context, onBytes func(count int)) context.Context {
	return context.WithValue(ctx, progressKey{}, onBytes)
}

// withProgress returns a reader that reports to the function in the context, if there is one.
func withProgress(ctx context.Context, r io.Reader) io.Reader {
	onBytes, set := ctx.Value(progressKey{}).(func(count int))
	if !set {
		return r
	}
	return &progressReader{r, onBytes}
}

type progressReader struct {
	reader  io.Reader
	onBytes func(count int)
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if n > 0 {
		p.onBytes(n)
	}
	return n, err
}
