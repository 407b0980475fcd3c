package host

import (
	"errors"
	"io"
)

// ErrBroken breaks an answer off.
var ErrBroken = errors.New("standin: answer broken by a fault")

// BrokenBody returns a reader that gives the first n bytes of a body and then
// fails, so that the connection is cut. It is to be sent in chunks, because
// only these are flushed before the failure.
func BrokenBody(body []byte, n int) io.Reader {
	return &brokenBody{left: body[:min(n, len(body))]}
}

type brokenBody struct{ left []byte }

// Read implements io.Reader.
func (b *brokenBody) Read(p []byte) (int, error) {
	if len(b.left) == 0 {
		return 0, ErrBroken
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}
