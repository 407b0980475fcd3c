// Package relay is the last stage of the pipeline, which the filter dispatch calls: it
// takes over the target's answer and relays it to the caller, token by token for streams
// and buffered as a whole otherwise. A stream that breaks is resumed at its byte offset if the target
// supports that; otherwise the caller's connection is broken too and never
// closed cleanly.
package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
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
	// maxResumes bounds the resumes of one stream.
	maxResumes = 3
)

var (
	answeredCount    = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="answered"}`)
	targetErrorCount = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="target_error"}`)
	brokenCount      = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="broken"}`)
	callerGoneCount  = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="caller_gone"}`)
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
	start := time.Now()
	buffer := make([]byte, firstReadBytes)
	n, err := answer.Body.Read(buffer)
	firstPartSeconds.UpdateDuration(start)
	if n == 0 && err != nil && err != io.EOF {
		answer.Body.Close()
		return r.endBroken(ex, err)
	}
	body := newBody(ctx, r, ex, answer.Body, buffer[:n], err)
	if isStream(ex, answer) {
		ex.AnswerStream = body
		return nil
	}
	return r.readWhole(ex, body)
}

// readWhole reads the answer into memory. An answer over maxWholeBytes becomes a
// stream that begins with the part already read.
func (r *Relay) readWhole(ex *pipeline.Exchange, body *body) error {
	read, err := io.ReadAll(io.LimitReader(body, maxWholeBytes))
	if err != nil {
		body.Close()
		return toResultError(err)
	}
	if len(read) == maxWholeBytes {
		ex.AnswerStream = &prefixedStream{Reader: io.MultiReader(strings.NewReader(string(read)), body), Closer: body}
		return nil
	}
	body.Close()
	ex.AnswerBody = read
	return nil
}

// prefixedStream is a stream whose beginning has already been read.
type prefixedStream struct {
	io.Reader
	io.Closer
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
