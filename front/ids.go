package front

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// requestID identifies a request.
type requestID struct {
	// sequence numbers the requests of this process from 1.
	sequence uint64
	// text is unique across the fleet: 16 hex digits, random for each process, and
	// the sequence number. It contains nothing about the caller.
	text string
}

// idSource generates request ids. It is safe for concurrent use.
type idSource struct {
	prefix string
	last   atomic.Uint64
}

func newIDSource() *idSource {
	var b [8]byte
	rand.Read(b[:])
	return &idSource{prefix: hex.EncodeToString(b[:]) + "-"}
}

// maxCallerIDLength limits a request id that a caller sets, in bytes.
const maxCallerIDLength = 128

// requestIDOf returns the id of a request: the caller's where the dialect lets callers
// set one, or else a new one.
func (s *Server) requestIDOf(header *fasthttp.RequestHeader) requestID {
	id := s.ids.next()
	if !s.options.Dialect.CallerSetsID {
		return id
	}
	given := header.Peek(s.options.Dialect.RequestID)
	if len(given) > 0 && len(given) <= maxCallerIDLength {
		id.text = string(given)
	}
	return id
}

func (s *idSource) next() requestID {
	sequence := s.last.Add(1)
	text := make([]byte, 0, len(s.prefix)+20)
	text = append(text, s.prefix...)
	text = strconv.AppendUint(text, sequence, 10)
	return requestID{sequence: sequence, text: string(text)}
}
