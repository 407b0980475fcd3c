package engine

import (
	"io"
	"net"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// reader gives a run's tokens to its connection, one event a Read. Closing it
// before the end cancels the run.
type reader struct {
	engine *Engine
	run    *run
	watch  *host.Watch
	// notify is the run's channel when this reader took the run.
	notify chan struct{}
	// faults are as they befell this reader's request.
	faults host.Faults
	// skip counts the body bytes that a resumed stream leaves out.
	skip int64
	// next is the number of the token to render next; MaxTokens stands for
	// the event that ends the stream.
	next int
	// pending is what is rendered and not yet read.
	pending []byte
}

func newReader(e *Engine, r *run, offset int64, conn net.Conn) *reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &reader{
		engine: e,
		run:    r,
		watch:  host.NewWatch(conn),
		notify: r.notify,
		faults: r.faults,
		skip:   offset,
	}
}

// Read implements io.Reader. An error other than io.EOF breaks the stream.
func (rd *reader) Read(p []byte) (int, error) {
	for len(rd.pending) == 0 {
		if rd.next > rd.run.call.MaxTokens {
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

// render waits for the next token and renders its event.
func (rd *reader) render() error {
	limit := rd.faults.BreakAfterTokens
	if limit > 0 && rd.next >= limit {
		rd.engine.leave(rd.run, rd.notify, journal.Broken)
		return host.ErrBroken
	}
	var event []byte
	if rd.next == rd.run.call.MaxTokens {
		event = []byte(doneEvent)
	} else {
		if err := rd.wait(rd.next + 1); err != nil {
			return err
		}
		event = rd.run.call.event(rd.run.entry.RequestID, rd.run.mark, rd.next)
	}
	rd.next++
	skipped := min(rd.skip, int64(len(event)))
	rd.skip -= skipped
	rd.pending = event[skipped:]
	return nil
}

// waitWhole waits until every token is generated.
func (rd *reader) waitWhole() error {
	return rd.wait(rd.run.call.MaxTokens)
}

// wait waits until so many tokens are generated.
func (rd *reader) wait(tokens int) error {
	for {
		ready, err := rd.progress(tokens)
		if ready || err != nil {
			return err
		}
		select {
		case <-rd.notify:
		case <-rd.watch.Gone:
			return io.ErrClosedPipe
		}
	}
}

// progress says whether so many tokens are generated, or why they never will be.
func (rd *reader) progress(tokens int) (bool, error) {
	rd.engine.mu.Lock()
	defer rd.engine.mu.Unlock()
	switch {
	case rd.run.notify != rd.notify:
		return false, host.ErrBroken
	case rd.run.produced >= tokens:
		return true, nil
	case rd.run.phase == phaseDropped:
		return false, host.ErrBroken
	default:
		return false, nil
	}
}

// Close implements io.Closer; fasthttp calls it when the answer was sent or broke.
func (rd *reader) Close() error {
	rd.watch.Stop()
	rd.engine.leave(rd.run, rd.notify, journal.Cancelled)
	return nil
}
