package host

import (
	"errors"
	"io"
)

// ErrBroken is returned by the body reader of an answer that a fault cuts short.
var ErrBroken = errors.New("standin: answer cut short by an injected fault")

// BrokenBody returns a reader that yields the first n bytes of a body and then
// fails, so that the server closes the connection. The body must be sent with
// chunked encoding, because only chunks are flushed before the failure.
func BrokenBody(body []byte, n int) io.Reader {
	return &brokenBody{remaining: body[:min(n, len(body))]}
}

type brokenBody struct{ remaining []byte }

// Read implements io.Reader.
func (b *brokenBody) Read(p []byte) (int, error) {
	if len(b.remaining) == 0 {
		return 0, ErrBroken
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}
