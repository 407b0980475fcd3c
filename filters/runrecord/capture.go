package runrecord

import (
	"io"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/runrecord"
)

// capture is a streamed answer on its way to the caller. It keeps a copy of a
// small answer and ends the claim as answered once the stream ends cleanly.
type capture struct {
	io.ReadCloser
	ex    *pipeline.Exchange
	claim *runrecord.Claim
	limit int
	kept  []byte
	over  bool // the answer is larger than limit
}

func newCapture(ex *pipeline.Exchange, claim *runrecord.Claim, limit int) *capture {
	return &capture{ReadCloser: ex.AnswerStream, ex: ex, claim: claim, limit: limit}
}

// Read implements io.Reader.
func (c *capture) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.keep(p[:n])
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
