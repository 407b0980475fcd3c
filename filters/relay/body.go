package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/pipeline"
)

// minServerErrorStatus is the lowest HTTP status that counts as a failed run.
const minServerErrorStatus = 500

// body is a target's answer that is being relayed to the caller. It counts the
// relayed bytes, resumes a broken stream, and ends the run exactly once.
type body struct {
	ctx   context.Context
	relay *Relay
	ex    *pipeline.Exchange
	// run is the exchange's run when the answer began; a retry replaces that of the
	// exchange.
	run pipeline.Run

	// sourceMu guards changes of source: the deadline closes it from another goroutine.
	sourceMu    sync.Mutex
	source      io.ReadCloser
	limits      limits
	buffered    []byte // read from source, not yet returned by Read
	sourceErr   error  // returned once buffered is empty
	offset      int64  // bytes returned by Read
	resumeCount int

	closeOnce sync.Once
}

func newBody(ctx context.Context, r *Relay, ex *pipeline.Exchange, source io.ReadCloser) *body {
	b := &body{ctx: ctx, relay: r, ex: ex, run: ex.Run, source: source}
	b.limits.begin(ex, b.closeSource)
	return b
}

// readFirst reads the first part of the answer, which Read returns again. It returns an error if the
// answer broke off before that.
func (b *body) readFirst() error {
	buffer := make([]byte, firstReadBytes)
	n, err := b.readSource(buffer)
	b.buffered, b.sourceErr = buffer[:n], err
	if n == 0 && err != io.EOF {
		return err
	}
	return nil
}

// readSource reads from the target, within the limits of the answer.
func (b *body) readSource(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.limits.add(n)
	if limitErr := b.limits.err(); limitErr != nil && err != io.EOF {
		err = limitErr
	}
	return n, err
}

// closeSource ends a wait for the target, and its run.
func (b *body) closeSource() {
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	_ = b.source.Close()
}

// replaceSource makes another call's body the source.
func (b *body) replaceSource(source io.ReadCloser) {
	b.sourceMu.Lock()
	_ = b.source.Close()
	b.source = source
	b.sourceMu.Unlock()
	if b.limits.err() != nil {
		b.closeSource()
	}
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete answer.
func (b *body) Read(p []byte) (int, error) {
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		b.offset += int64(n)
		return n, nil
	}
	if b.sourceErr == nil {
		n, err := b.readSource(p)
		if n > 0 {
			b.ex.MarkTargetHeard()
		}
		b.offset += int64(n)
		b.sourceErr = err
		if n > 0 || err == nil {
			return n, nil
		}
	}
	if b.sourceErr != io.EOF && b.resume() {
		b.sourceErr = nil
		return b.Read(p)
	}
	return 0, b.endRun(b.sourceErr)
}

// resume reopens the stream at the current offset. It reports whether it succeeded.
func (b *body) resume() bool {
	if !b.canResume() {
		return false
	}
	b.resumeCount++
	answer, err := b.relay.Client.Do(b.ctx, b.relay.Request(b.ex, b.offset))
	if err != nil {
		return false
	}
	if answer.Status != b.ex.Status {
		_ = answer.Body.Close()
		return false
	}
	b.replaceSource(answer.Body)
	resumedCount.Inc()
	pipeline.Log(b.ctx, b.relay.Log, slog.LevelWarn, b.ex, "relay: Stream broke and was resumed.", slog.Int64("offset", b.offset))
	return true
}

// canResume reports whether the target may be asked to continue the answer. At offset
// zero nothing has been relayed, and the call would start a new run.
func (b *body) canResume() bool {
	if b.offset == 0 || b.resumeCount >= maxResumes || b.ctx.Err() != nil || b.limits.err() != nil {
		return false
	}
	declared := b.ex.Snapshot.Declarations.Targets[b.ex.Target]
	return declared.Resumes
}

// endRun ends the run with the outcome that follows from err: io.EOF after a complete
// answer, any other error after a break. It returns err.
func (b *body) endRun(err error) error {
	b.sourceErr = err
	b.limits.stop()
	if errors.Is(err, errLimit) {
		pipeline.Log(b.ctx, b.relay.Log, slog.LevelWarn, b.ex, "relay: Answer did not end and the run was ended.", slog.Int64("bytes", b.offset), slog.Any("error", err))
	}
	switch {
	case err != io.EOF && b.ex.IsAbandoned():
		callerGoneCount.Inc()
		b.run.End(control.OutcomeCancelled)
	case err != io.EOF:
		brokenCount.Inc()
		b.run.End(control.OutcomeLost)
	case b.ex.Status >= minServerErrorStatus:
		targetErrorCount.Inc()
		b.run.End(control.OutcomeFailed)
	default:
		answeredCount.Inc()
		b.run.End(control.OutcomeAnswered)
	}
	return err
}

// Close ends the run. If the answer is not complete, the run is cancelled.
func (b *body) Close() error {
	var err error
	b.closeOnce.Do(func() {
		b.limits.stop()
		err = b.source.Close()
		if b.sourceErr == nil || len(b.buffered) > 0 {
			callerGoneCount.Inc()
		}
		b.run.End(control.OutcomeCancelled)
	})
	return err
}
