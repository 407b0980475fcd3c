package front

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// requestID identifies a request.
type requestID struct {
	// sequence counts the requests of this process, from 1.
	sequence uint64
	// text is unique across the fleet: 16 random hex digits of the process and
	// the sequence. It says nothing about the caller.
	text string
}

type idSource struct {
	prefix string
	last   atomic.Uint64
}

func newIDSource() *idSource {
	var b [8]byte
	rand.Read(b[:])
	return &idSource{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (s *idSource) next() requestID {
	sequence := s.last.Add(1)
	text := make([]byte, 0, len(s.prefix)+20)
	text = append(text, s.prefix...)
	text = strconv.AppendUint(text, sequence, 10)
	return requestID{sequence: sequence, text: string(text)}
}
