package runrecord

import (
	"io"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/runrecord"
)

// drainBytes is the size of the reads with which an answer is drained after its
// caller has disconnected.
const drainBytes = 16 << 10

// capturedStream is a streamed answer that is being relayed to the caller. It keeps
// a copy of a small answer and ends the claim as answered once the stream ends
// cleanly. If the caller disconnects, it still reads the rest.
type capturedStream struct {
	io.ReadCloser
	ex           *pipeline.Exchange
	claim        *runrecord.Claim
	maxKeptBytes int
	kept         []byte
	isTooLarge   bool // the answer is larger than maxKeptBytes
	hasEnded     bool
}

func newCapturedStream(ex *pipeline.Exchange, claim *runrecord.Claim, maxKeptBytes int) *capturedStream {
	return &capturedStream{ReadCloser: ex.AnswerStream, ex: ex, claim: claim, maxKeptBytes: maxKeptBytes}
}

// Read implements io.Reader.
func (c *capturedStream) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.keep(p[:n])
	c.hasEnded = c.hasEnded || err != nil
	if err == io.EOF {
		outcome := newOutcome(c.ex, c.kept)
		outcome.BodyOmitted = c.isTooLarge
		c.claim.Answered(outcome)
	}
	return n, err
}

// keep adds part to the kept copy, or drops the copy if the answer is too large.
func (c *capturedStream) keep(part []byte) {
	if c.isTooLarge || len(c.kept)+len(part) > c.maxKeptBytes {
		c.isTooLarge = true
		c.kept = nil
		return
	}
	c.kept = append(c.kept, part...)
}

// Close implements io.Closer. It first reads the rest of the answer if the run
// outlives its caller; the limits of the relay bound that wait.
func (c *capturedStream) Close() error {
	if c.ex.OutlivesCaller() {
		c.drain()
	}
	return c.ReadCloser.Close()
}

func (c *capturedStream) drain() {
	buffer := make([]byte, drainBytes)
	for !c.hasEnded {
		_, _ = c.Read(buffer)
	}
}
