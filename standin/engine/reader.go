package engine

import (
	"io"
	"net"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// reader is the body of a streamed answer: it yields the events of a run's tokens
// as they are generated. For an answer that is not streamed it only waits for the
// tokens. Closing it before the end cancels the run.
type reader struct {
	engine *Engine
	run    *run
	watch  *host.Watch
	// notify is the run's channel at the time when this reader was created. If
	// the run's channel differs, another reader has taken over the run.
	notify chan struct{}
	// faults are the faults to inject into this reader's request.
	faults host.Faults
	// skipBytes is how many bytes of the body a resumed stream has yet to skip.
	skipBytes int64
	// nextToken is the number of the token whose event comes next; MaxTokens
	// stands for the event that ends the stream.
	nextToken int
	// pending is what is encoded but not yet read.
	pending []byte
}

func newReader(e *Engine, r *run, offset int64, conn net.Conn) *reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &reader{
		engine:    e,
		run:       r,
		watch:     host.NewWatch(conn),
		notify:    r.notify,
		faults:    r.faults,
		skipBytes: offset,
	}
}

// Read implements io.Reader. An error other than io.EOF breaks the stream.
func (rd *reader) Read(p []byte) (int, error) {
	for len(rd.pending) == 0 {
		if rd.nextToken > rd.run.call.MaxTokens {
			rd.watch.Stop()
			return 0, io.EOF
		}
		if err := rd.render(); err != nil {
			return 0, err
		}
	}
	n := copy(p, rd.pending)
	rd.pending = rd.pending[n:]
	return n, nil
}

// render waits for the next token and encodes its event.
func (rd *reader) render() error {
	limit := rd.faults.BreakAfterTokens
	if limit > 0 && rd.nextToken >= limit {
		rd.engine.detachReader(rd.run, rd.notify, journal.Broken)
		return host.ErrBroken
	}
	var event []byte
	if rd.nextToken == rd.run.call.MaxTokens {
		event = []byte(doneEvent)
	} else {
		if err := rd.wait(rd.nextToken + 1); err != nil {
			return err
		}
		event = rd.run.call.eventBytes(rd.run.entry.RequestID, rd.run.mark, rd.nextToken)
	}
	rd.nextToken++
	skipped := min(rd.skipBytes, int64(len(event)))
	rd.skipBytes -= skipped
	rd.pending = event[skipped:]
	return nil
}

// waitAll waits until every token is generated.
func (rd *reader) waitAll() error {
	return rd.wait(rd.run.call.MaxTokens)
}

// wait waits until the given number of tokens is generated.
func (rd *reader) wait(tokens int) error {
	for {
		ready, err := rd.hasTokens(tokens)
		if ready || err != nil {
			return err
		}
		select {
		case <-rd.notify:
		case <-rd.watch.Closed:
			return io.ErrClosedPipe
		}
	}
}

// hasTokens reports whether the given number of tokens is generated. It returns an
// error if they never will be for this reader.
func (rd *reader) hasTokens(tokens int) (bool, error) {
	rd.engine.mu.Lock()
	defer rd.engine.mu.Unlock()
	switch {
	case rd.run.notify != rd.notify:
		return false, host.ErrBroken
	case rd.run.generated >= tokens:
		return true, nil
	case rd.run.phase == phaseDropped:
		return false, host.ErrBroken
	default:
		return false, nil
	}
}

// Close implements io.Closer. fasthttp calls it when the answer was sent or failed.
func (rd *reader) Close() error {
	rd.watch.Stop()
	rd.engine.detachReader(rd.run, rd.notify, journal.Cancelled)
	return nil
}
