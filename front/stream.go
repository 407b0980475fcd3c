package front

import (
	"cmp"
	"fmt"
	"io"
)

// answerStream is the response body that fasthttp reads. The bytes of each Read are
// sent at once. On an error other than io.EOF, fasthttp closes the connection without
// the chunk that ends a body, so that the caller sees a truncated answer.
type answerStream struct {
	request *request
	source  io.ReadCloser
	ended   bool
}

// Read implements io.Reader.
func (a *answerStream) Read(p []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			n, err = 0, fmt.Errorf("front: answer stream panicked: %v", cause)
		}
		a.recordEnd(err)
	}()
	return a.source.Read(p)
}

// recordEnd records how the stream ended; err is nil while it has not.
func (a *answerStream) recordEnd(err error) {
	if err == nil {
		return
	}
	a.ended = true
	cutErr := a.request.endStream()
	if cutErr == nil && err == io.EOF {
		return
	}
	streamsBroken.Inc()
	a.request.err = cmp.Or(cutErr, err)
	a.request.conn.markTruncated()
}

// Close implements io.Closer. fasthttp calls it before the end of the stream if it
// could not write to the caller.
func (a *answerStream) Close() error {
	if !a.ended {
		a.ended = true
		cutErr := a.request.endStream()
		a.request.ex.MarkUnattended()
		a.request.err = cmp.Or(cutErr, a.request.conn.writeErr, errConnectionClosed)
		a.request.conn.markTruncated()
	}
	return a.source.Close()
}
