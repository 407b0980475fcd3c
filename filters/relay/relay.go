// Package relay is the last stage of the pipeline, which the filter dispatch calls: it
// takes over the target's answer and relays it to the caller, token by token for streams
// and buffered as a whole otherwise. A stream that breaks is resumed at its byte offset if the target
// supports that; otherwise the caller's connection is broken too and never
// closed cleanly.
package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/eventstream"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	// maxWholeBytes bounds an answer that is buffered completely; a larger one is
	// streamed.
	maxWholeBytes = 4 << 20
	// firstReadBytes is the size of the buffer for the first read of an answer.
	firstReadBytes = 16 << 10
	// minSpareBytes is the least free space in the first buffer of a whole answer.
	minSpareBytes = 512
	// maxResumes bounds the resumes of one stream.
	maxResumes = 3
)

var (
	answeredCount    = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="answered"}`)
	targetErrorCount = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="target_error"}`)
	brokenCount      = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="broken"}`)
	callerGoneCount  = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="caller_gone"}`)
	streamedLarge    = metrics.GetOrCreateCounter(`walnut_relay_streamed_total{reason="large"}`)
	streamedFull     = metrics.GetOrCreateCounter(`walnut_relay_streamed_total{reason="answer_bytes_full"}`)
	resumedCount     = metrics.GetOrCreateCounter(`walnut_relay_resumes_total`)
	firstPartSeconds = metrics.GetOrCreateHistogram(`walnut_relay_first_part_seconds`)
)

// Relay relays the answers of targets to callers.
type Relay struct {
	// Client resumes broken streams.
	Client targets.Client
	// Request builds the call that resumes a stream at an offset.
	Request func(ex *pipeline.Exchange, offset int64) targets.Request
	// Log gets a warning for each stream that is resumed.
	Log *slog.Logger
}

// Answer sets the exchange's answer from the target's. If it returns an error, the
// caller has received no part of the answer, so an idempotent request may be retried.
func (r *Relay) Answer(ctx context.Context, ex *pipeline.Exchange, answer *targets.Response) error {
	ex.MarkAnswerBegan()
	ex.Status = answer.Status
	ex.AnswerHeader = answer.Header
	body := newBody(ctx, r, ex, answer.Body)
	start := time.Now()
	err := body.readFirst()
	firstPartSeconds.UpdateDuration(start)
	if err != nil {
		body.limits.stop()
		answer.Body.Close()
		return r.endBroken(ex, err)
	}
	if isStream(ex, answer) {
		ex.AnswerStream = body
		return nil
	}
	return r.readWhole(ex, body)
}

// readWhole reads the answer into memory. An answer over maxWholeBytes, or for which there is no
// room, becomes a stream that begins with the part already read: its target waits for the caller.
func (r *Relay) readWhole(ex *pipeline.Exchange, body *body) error {
	// The first buffer is not accounted for: about as much is in body already.
	read := make([]byte, 0, len(body.buffered)+minSpareBytes)
	held := 0
	for {
		if len(read) == cap(read) {
			grown := min(2*cap(read), maxWholeBytes)
			switch {
			case len(read) >= maxWholeBytes:
				streamedLarge.Inc()
				ex.AnswerStream = newPrefixedStream(ex, read, body)
				return nil
			case !ex.HoldBytes(grown - held):
				streamedFull.Inc()
				ex.AnswerStream = newPrefixedStream(ex, read, body)
				return nil
			}
			held = grown
			read = append(make([]byte, 0, grown), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if err == nil {
			continue
		}
		body.Close()
		if err != io.EOF {
			ex.HoldBytes(-held)
			return toResultError(err)
		}
		ex.AnswerBody = read
		return nil
	}
}

// prefixedStream is a stream whose beginning has already been read.
type prefixedStream struct {
	io.Reader
	ex    *pipeline.Exchange
	body  *body
	ended bool
}

func newPrefixedStream(ex *pipeline.Exchange, prefix []byte, body *body) *prefixedStream {
	return &prefixedStream{Reader: io.MultiReader(bytes.NewReader(prefix), body), ex: ex, body: body}
}

// Read implements io.Reader.
func (p *prefixedStream) Read(into []byte) (int, error) {
	n, err := p.Reader.Read(into)
	p.ended = p.ended || err != nil
	return n, err
}

// Close implements io.Closer. It first reads the rest of the answer if the run outlives its
// caller, which closing the connection to the target would cut off.
func (p *prefixedStream) Close() error {
	if !p.ended && p.ex.OutlivesCaller() {
		_, _ = io.Copy(io.Discard, p) // the body reports how the run ended
	}
	return p.body.Close()
}

// endBroken ends the run of an answer that broke off before its first part, and
// returns the error.
func (r *Relay) endBroken(ex *pipeline.Exchange, cause error) error {
	if ex.IsAbandoned() {
		callerGoneCount.Inc()
		ex.Run.End(control.OutcomeCancelled)
		refusal := result.Wrap(result.CallerGone, cause, "The caller went away.")
		refusal.Ran = result.RanUnknown
		return refusal
	}
	brokenCount.Inc()
	ex.Run.End(control.OutcomeLost)
	if errors.Is(cause, errLimit) {
		return cause
	}
	return result.Wrap(result.StreamBroken, cause, "The answer broke off.")
}

func isStream(ex *pipeline.Exchange, answer *targets.Response) bool {
	if ex.Stream {
		return true
	}
	return eventstream.IsMediaType(answer.Header["Content-Type"])
}

func toResultError(err error) error {
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Wrap(result.StreamBroken, err, "The answer broke off.")
}
