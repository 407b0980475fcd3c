package relay

import (
	"context"
	"io"
	"log/slog"
	"sync"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/pipeline"
)

// serverErrors is the first HTTP status that counts as a failed run.
const serverErrors = 500

// body is a target's answer on its way to the caller. It counts what was
// relayed, resumes a broken stream, and ends the run exactly once.
type body struct {
	ctx   context.Context
	relay *Relay
	ex    *pipeline.Exchange
	// run is the exchange's at the time, which a retry replaces.
	run pipeline.Run

	source  io.ReadCloser
	first   []byte // read already, not yet handed on
	sticky  error  // returned once first is empty
	offset  int64  // bytes handed on
	resumes int

	closeOnce sync.Once
}

func newBody(ctx context.Context, r *Relay, ex *pipeline.Exchange, source io.ReadCloser, first []byte, err error) *body {
	return &body{ctx: ctx, relay: r, ex: ex, run: ex.Run, source: source, first: first, sticky: err}
}

// Read hands on the next part. It returns io.EOF only for a whole answer.
func (b *body) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		b.offset += int64(n)
		return n, nil
	}
	if b.sticky == nil {
		n, err := b.source.Read(p)
		b.offset += int64(n)
		b.sticky = err
		if n > 0 || err == nil {
			return n, nil
		}
	}
	if b.sticky != io.EOF && b.resume() {
		b.sticky = nil
		return b.Read(p)
	}
	return 0, b.ended(b.sticky)
}

// resume opens the stream again at the offset reached.
func (b *body) resume() bool {
	if !b.canResume() {
		return false
	}
	b.resumes++
	answer, err := b.relay.Client.Do(b.ctx, b.relay.Request(b.ex, b.offset))
	if err != nil {
		return false
	}
	if answer.Status != b.ex.Status {
		_ = answer.Body.Close()
		return false
	}
	_ = b.source.Close()
	b.source = answer.Body
	resumed.Inc()
	pipeline.Log(b.ctx, b.relay.Log, slog.LevelWarn, b.ex, "relay: Stream broke and was resumed.", slog.Int64("offset", b.offset))
	return true
}

// canResume says whether the target may be asked to go on. At offset zero
// nothing was handed on, and the call would be a fresh run.
func (b *body) canResume() bool {
	if b.offset == 0 || b.resumes >= maxResumes || b.ctx.Err() != nil {
		return false
	}
	declared := b.ex.Snapshot.Declarations.Targets[b.ex.Target]
	return declared.Resumes
}

// ended ends the run after the last part or a break.
func (b *body) ended(err error) error {
	b.sticky = err
	switch {
	case err != io.EOF && b.ex.IsAbandoned():
		gone.Inc()
		b.run.End(control.OutcomeCancelled)
	case err != io.EOF:
		broken.Inc()
		b.run.End(control.OutcomeLost)
	case b.ex.Status >= serverErrors:
		failed.Inc()
		b.run.End(control.OutcomeFailed)
	default:
		answered.Inc()
		b.run.End(control.OutcomeAnswered)
	}
	return err
}

// Close ends the run. Before the answer's end it cancels the run.
func (b *body) Close() error {
	var err error
	b.closeOnce.Do(func() {
		err = b.source.Close()
		if b.sticky == nil || len(b.first) > 0 {
			gone.Inc()
		}
		b.run.End(control.OutcomeCancelled)
	})
	return err
}
