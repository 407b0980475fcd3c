package front

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// idSource makes request ids: 16 random hex digits of the process and a
// counter. They are unique across the fleet and say nothing about the caller.
type idSource struct {
	prefix string
	next   atomic.Uint64
}

func newIDSource() *idSource {
	var b [8]byte
	rand.Read(b[:])
	return &idSource{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (s *idSource) id() string {
	buf := make([]byte, 0, 32)
	buf = append(buf, s.prefix...)
	return string(strconv.AppendUint(buf, s.next.Add(1), 10))
}
