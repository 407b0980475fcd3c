// Package events relays event streams. It hands whole events to the caller as
// they arrive, and where the route allows it goes on at another target, behind
// the last whole event, when a target breaks off:
//
//	[routes.rewrite]
//	kind = "stream"
//	resumes = true
//	attempts = 2
package events

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

// bufferBytes is the first size of the buffer for events that have not arrived
// whole; maxEventBytes is its last.
const (
	bufferBytes   = 4 << 10
	maxEventBytes = 1 << 20
)

var (
	resumed   = metrics.GetOrCreateCounter(`walnut_events_resumes_total{result="resumed"}`)
	notResume = metrics.GetOrCreateCounter(`walnut_events_resumes_total{result="failed"}`)
	whole     = metrics.GetOrCreateCounter(`walnut_events_streams_total{result="whole"}`)
	broken    = metrics.GetOrCreateCounter(`walnut_events_streams_total{result="broken"}`)
	gone      = metrics.GetOrCreateCounter(`walnut_events_streams_total{result="caller_gone"}`)
)

// Reopen runs the exchange again on another target, from behind ex.AfterEvent.
// It sets ex.Run. An error says why it cannot.
type Reopen func(ctx context.Context, ex *pipeline.Exchange) (*targets.Response, error)

// Relay takes event streams over.
type Relay struct {
	// Reopen continues broken streams; nil: they are not continued.
	Reopen Reopen
	// Lag returns how late this process runs; nil: never. See gather.
	Lag func() time.Duration
	// Log gets a line for each stream that breaks.
	Log *slog.Logger
}

// Answer waits for the first event and makes the stream the exchange's answer.
// An error means that the caller has seen nothing, so that the request may be
// run again if its route allows it.
func (r *Relay) Answer(ctx context.Context, ex *pipeline.Exchange, answer *targets.Response) error {
	s := &stream{ctx: ctx, relay: r, ex: ex, run: ex.Run, source: answer.Body, buffer: make([]byte, 0, bufferBytes)}
	if err := s.fill(); err != nil && err != io.EOF {
		s.source.Close()
		s.end(err)
		return err
	}
	ex.Run.Begin()
	ex.MarkBegan()
	ex.Status = answer.Status
	ex.AnswerHeader = answer.Header
	ex.AnswerStream = s
	return nil
}

// stream is an event stream on its way to the caller. Read and Close may be
// called from different goroutines; Read from one at a time.
type stream struct {
	ctx    context.Context
	relay  *Relay
	ex     *pipeline.Exchange
	run    pipeline.Run
	source io.ReadCloser
	// buffer holds what has arrived and is not handed on; the first ready bytes
	// of it are whole events.
	buffer []byte
	ready  int
	// handedAt is when events were handed on last; zero before the first.
	handedAt time.Time
	// sticky is why the source ended; nil while it goes on.
	sticky error
	ended  sync.Once
}

// Read hands on whole events. It returns io.EOF only behind the last event of a
// stream that ended as its target framed it.
func (s *stream) Read(p []byte) (int, error) {
	s.gather()
	for s.ready == 0 {
		err := s.fill()
		if err == nil || s.ready > 0 {
			continue
		}
		if err == io.EOF || !s.resume(err) {
			return 0, s.end(err)
		}
	}
	n := copy(p, s.buffer[:s.ready])
	s.noteEvent(s.buffer[:n])
	s.handedAt = time.Now()
	s.ready -= n
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[n:])]
	return n, nil
}

// fill reads until a whole event is there or the source has ended.
func (s *stream) fill() error {
	for s.ready == 0 {
		if s.sticky != nil {
			return s.sticky
		}
		if len(s.buffer) == cap(s.buffer) {
			s.buffer = append(s.buffer, 0)[:len(s.buffer)]
		}
		from := len(s.buffer)
		n, err := s.source.Read(s.buffer[from:cap(s.buffer)])
		s.buffer = s.buffer[:from+n]
		s.sticky = err
		s.markReady(err == io.EOF)
	}
	return nil
}

// markReady counts the bytes that may be handed on: up to the end of the last
// whole event, or all where nothing could continue the stream anyway.
func (s *stream) markReady(atEnd bool) {
	if atEnd || !s.resumes() || len(s.buffer) >= maxEventBytes {
		s.ready = len(s.buffer)
		return
	}
	s.ready = wholeEvents(s.buffer)
}

func (s *stream) resumes() bool { return s.ex.Route.Resumes && s.relay.Reopen != nil }

// wholeEvents returns the length of the whole events at the beginning.
func wholeEvents(text []byte) int {
	lf := bytes.LastIndex(text, []byte("\n\n")) + len("\n\n")
	crlf := bytes.LastIndex(text, []byte("\r\n\r\n")) + len("\r\n\r\n")
	return max(0, max(absent(lf, len("\n\n")), absent(crlf, len("\r\n\r\n"))))
}

// absent turns the end of a separator that was not found into zero.
func absent(end, length int) int {
	if end < length {
		return 0
	}
	return end
}

// noteEvent keeps the id of the last event handed on.
func (s *stream) noteEvent(handed []byte) {
	if id := lastID(handed); id != "" {
		s.ex.AfterEvent = id
	}
}

// lastID returns the value of the last "id" line.
func lastID(text []byte) string {
	at := bytes.LastIndex(text, []byte("\nid:"))
	switch {
	case at >= 0:
		at++
	case bytes.HasPrefix(text, []byte("id:")):
		at = 0
	default:
		return ""
	}
	line, _, _ := bytes.Cut(text[at+len("id:"):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// resume goes on at another target behind the last whole event. The part of an
// event that arrived is dropped: the other target sends that event whole.
func (s *stream) resume(cause error) bool {
	if !s.resumes() || s.ex.AfterEvent == "" || s.ctx.Err() != nil {
		return false
	}
	s.source.Close()
	s.run.End(control.OutcomeLost)
	answer, err := s.relay.Reopen(s.ctx, s.ex)
	if err != nil {
		notResume.Inc()
		s.log("events: Stream broke and could not go on elsewhere.", slog.Any("cause", cause), slog.Any("error", err))
		return false
	}
	s.run = s.ex.Run
	s.run.Begin()
	s.source = answer.Body
	s.sticky = nil
	s.buffer = s.buffer[:0]
	resumed.Inc()
	s.log("events: Stream broke and goes on elsewhere.", slog.Any("cause", cause))
	return true
}

func (s *stream) log(message string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("after_event", s.ex.AfterEvent))
	pipeline.Log(s.ctx, s.relay.Log, slog.LevelWarn, s.ex, message, attrs...)
}

// end ends the run by how its stream ended, once, and returns the cause.
func (s *stream) end(cause error) error {
	s.ended.Do(func() {
		switch {
		case cause == io.EOF:
			whole.Inc()
			s.run.End(control.OutcomeAnswered)
		case s.ex.IsAbandoned() || s.ctx.Err() != nil:
			gone.Inc()
			s.run.End(control.OutcomeCancelled)
		default:
			broken.Inc()
			s.run.End(control.OutcomeLost)
		}
	})
	return cause
}

// Close ends the run; before the stream's end it cancels it.
func (s *stream) Close() error {
	err := s.source.Close()
	s.ended.Do(func() {
		gone.Inc()
		s.run.End(control.OutcomeCancelled)
	})
	return err
}
