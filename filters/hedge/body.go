package hedge

import (
	"io"

	"github.com/walnutcove/walnutcove/eventstream"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	// firstReadBytes is the size of the buffer for the beginning of another target's answer.
	firstReadBytes = 4 << 10
	// maxBeginBytes bounds the beginning of an event stream that is read before its first event is
	// complete.
	maxBeginBytes = 64 << 10
)

// awaitBody waits until the body of an answer has begun: for the first event of an event stream, for
// any bytes of other answers, or for the end.
func awaitBody(response *targets.Response, isEventStream bool) error {
	var scanner *eventstream.Scanner
	if isEventStream {
		scanner = &eventstream.Scanner{}
	}
	begin := make([]byte, 0, firstReadBytes)
	for {
		if len(begin) == cap(begin) {
			begin = append(make([]byte, 0, 2*cap(begin)), begin...)
		}
		n, err := response.Body.Read(begin[len(begin):cap(begin)])
		read := begin[len(begin) : len(begin)+n]
		begin = begin[:len(begin)+n]
		hasBegun := n > 0
		if scanner != nil {
			scanner.Scan(read)
			hasBegun = scanner.CompleteBytes() > 0 || len(begin) >= maxBeginBytes
		}
		if err != nil && err != io.EOF && !hasBegun {
			_ = response.Body.Close()
			return toResultError(err)
		}
		if hasBegun || err != nil {
			response.Body = &begunBody{ReadCloser: response.Body, unread: begin, err: err}
			return nil
		}
	}
}

// toResultError returns the error of an answer that broke off before it had begun.
func toResultError(err error) error {
	return result.Wrap(result.StreamBroken, err, "The other target's answer broke off.")
}

// begunBody is a body of which the beginning has been read, with the error of the last read.
type begunBody struct {
	io.ReadCloser
	unread []byte
	err    error
}

// Read implements io.Reader.
func (b *begunBody) Read(p []byte) (int, error) {
	if len(b.unread) > 0 {
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}
