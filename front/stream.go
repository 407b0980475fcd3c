package front

import (
	"fmt"
	"io"
)

// answerStream is the body that fasthttp reads. Every part that a Read returns
// is sent at once. An error other than io.EOF breaks the connection without
// the chunk that ends a body, so that the caller sees a truncated answer.
type answerStream struct {
	request *request
	from    io.ReadCloser
	ended   bool
}

// Read implements io.Reader.
func (a *answerStream) Read(p []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			n, err = 0, fmt.Errorf("front: answer stream panicked: %v", cause)
		}
		a.note(err)
	}()
	return a.from.Read(p)
}

func (a *answerStream) note(err error) {
	if err == nil {
		return
	}
	a.ended = true
	if err != io.EOF {
		streamsBroken.Inc()
		a.request.err = err
	}
}

// Close implements io.Closer. Before the end it means that the caller could
// not be written to.
func (a *answerStream) Close() error {
	if !a.ended {
		a.ended = true
		a.request.err = errConnectionClosed
		if writeErr := a.request.conn.writeErr; writeErr != nil {
			a.request.err = writeErr
		}
	}
	return a.from.Close()
}
