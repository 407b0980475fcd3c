package runrecord

import (
	"io"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/runrecord"
)

// drainBytes is the size of the reads of an answer that no caller takes.
const drainBytes = 16 << 10

// capture is a streamed answer on its way to the caller. It keeps a copy of a
// small answer and ends the claim as answered once the stream ends cleanly. If
// the caller goes away, it reads the rest all the same.
type capture struct {
	io.ReadCloser
	ex    *pipeline.Exchange
	claim *runrecord.Claim
	limit int
	kept  []byte
	over  bool // the answer is larger than limit
	ended bool
}

func newCapture(ex *pipeline.Exchange, claim *runrecord.Claim, limit int) *capture {
	return &capture{ReadCloser: ex.AnswerStream, ex: ex, claim: claim, limit: limit}
}

// Read implements io.Reader.
func (c *capture) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.keep(p[:n])
	c.ended = c.ended || err != nil
	if err == io.EOF {
		outcome := outcomeOf(c.ex, c.kept)
		outcome.BodyOmitted = c.over
		c.claim.Answered(outcome)
	}
	return n, err
}

func (c *capture) keep(part []byte) {
	if c.over || len(c.kept)+len(part) > c.limit {
		c.over = true
		c.kept = nil
		return
	}
	c.kept = append(c.kept, part...)
}

// Close implements io.Closer. It reads what is left of the answer first, unless
// the run is not to outlive its caller; the target's time limits bound the wait.
func (c *capture) Close() error {
	if c.ex.OutlivesCaller() {
		c.drain()
	}
	return c.ReadCloser.Close()
}

func (c *capture) drain() {
	buffer := make([]byte, drainBytes)
	for !c.ended {
		_, _ = c.Read(buffer)
	}
}
