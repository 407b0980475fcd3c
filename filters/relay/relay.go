// Package relay is the last filter: it takes the target's answer over and
// hands it to the caller, token by token for streams and whole otherwise. A
// stream that breaks is resumed by offset where the target can; otherwise the
// caller's connection breaks too and never ends cleanly.
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
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	// maxWholeBytes bounds an answer that is held whole; a larger one is streamed.
	maxWholeBytes = 4 << 20
	// firstReadBytes is the buffer for the first part of a streamed answer.
	firstReadBytes = 16 << 10
	// maxResumes bounds the resumes of one stream.
	maxResumes = 3
)

var (
	answered   = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="answered"}`)
	failed     = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="target_error"}`)
	broken     = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="broken"}`)
	gone       = metrics.GetOrCreateCounter(`walnut_relay_answers_total{result="caller_gone"}`)
	resumed    = metrics.GetOrCreateCounter(`walnut_relay_resumes_total`)
	firstBytes = metrics.GetOrCreateHistogram(`walnut_relay_first_part_seconds`)
)

// Relay takes answers over.
type Relay struct {
	// Client resumes broken streams.
	Client targets.Client
	// Request builds the call that resumes a stream at an offset.
	Request func(ex *pipeline.Exchange, offset int64) targets.Request
	// Log gets a line at warn for each stream that is resumed.
	Log *slog.Logger
}

// Answer sets the exchange's answer from the target's. An error means that no
// part of the answer has been shown to the caller, so that the request may be
// retried if it is idempotent.
func (r *Relay) Answer(ctx context.Context, ex *pipeline.Exchange, answer *targets.Response) error {
	ex.MarkBegan()
	ex.Status = answer.Status
	ex.AnswerHeader = answer.Header
	start := time.Now()
	first := make([]byte, firstReadBytes)
	n, err := answer.Body.Read(first)
	firstBytes.UpdateDuration(start)
	if n == 0 && err != nil && err != io.EOF {
		answer.Body.Close()
		return r.lost(ex, err)
	}
	body := newBody(ctx, r, ex, answer.Body, first[:n], err)
	if isStream(ex, answer) {
		ex.AnswerStream = body
		return nil
	}
	return r.whole(ex, body)
}

// whole reads the answer into memory; an answer over the limit becomes a
// stream that begins with the part already read.
func (r *Relay) whole(ex *pipeline.Exchange, body *body) error {
	held, err := io.ReadAll(io.LimitReader(body, maxWholeBytes))
	if err != nil {
		body.Close()
		return asResult(err)
	}
	if len(held) == maxWholeBytes {
		ex.AnswerStream = &prefixed{Reader: io.MultiReader(strings.NewReader(string(held)), body), Closer: body}
		return nil
	}
	body.Close()
	ex.AnswerBody = held
	return nil
}

// prefixed is a stream whose beginning has already been read.
type prefixed struct {
	io.Reader
	io.Closer
}

// lost ends the run of an answer that broke before its first part.
func (r *Relay) lost(ex *pipeline.Exchange, cause error) error {
	if ex.IsAbandoned() {
		gone.Inc()
		ex.Run.End(control.OutcomeCancelled)
		refusal := result.Wrap(result.CallerGone, cause, "The caller went away.")
		refusal.Ran = result.RanUnknown
		return refusal
	}
	broken.Inc()
	ex.Run.End(control.OutcomeLost)
	return result.Wrap(result.StreamBroken, cause, "The answer broke off.")
}

func isStream(ex *pipeline.Exchange, answer *targets.Response) bool {
	if ex.Stream {
		return true
	}
	return strings.HasPrefix(answer.Header["Content-Type"], "text/event-stream")
}

func asResult(err error) error {
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Wrap(result.StreamBroken, err, "The answer broke off.")
}
