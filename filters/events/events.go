// Package events relays event streams, in place of package relay, on routes of kind
// stream. It passes complete events to the caller as they arrive. If a target breaks off,
// or is silent until another one has begun to answer, and the route allows it, the stream
// resumes after the last complete event on the other target, of the same software version:
//
//	[routes.rewrite]
//	kind = "stream"
//	resumes = true
//	attempts = 2
package events

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/eventstream"
	"github.com/walnutcove/walnutcove/filters/hedge"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
	"github.com/walnutcove/walnutcove/wait"
)

// The buffer for events that have not arrived completely has minBufferBytes at first
// and grows; from maxEventBytes on, or if the router holds too many bytes of answers, its
// content is relayed even if it is not a complete event.
const (
	minBufferBytes = 4 << 10
	maxEventBytes  = 1 << 20
)

// maxPendingBytes is how many bytes may arrive after an event without completing another one.
// Before the first event, the limit is maxEventBytes.
const maxPendingBytes = 4 << 20

// errNoEvent reports a target whose stream goes on without an event.
var errNoEvent = errors.New("events: the stream goes on without an event")

var (
	resumedCount      = metrics.GetOrCreateCounter(`walnut_events_resumes_total{result="resumed"}`)
	resumeFailedCount = metrics.GetOrCreateCounter(`walnut_events_resumes_total{result="failed"}`)
	wholeCount        = metrics.GetOrCreateCounter(`walnut_events_streams_total{result="whole"}`)
	brokenCount       = metrics.GetOrCreateCounter(`walnut_events_streams_total{result="broken"}`)
	// splitCount counts parts of events that were relayed as there was no room to hold more.
	splitCount = metrics.GetOrCreateCounter(`walnut_events_split_total`)
	// noEventCount counts streams that were given up as they went on without an event.
	noEventCount = metrics.GetOrCreateCounter(`walnut_events_without_event_total`)
	// prefetchFullCount counts the times at which there was no room to read further ahead.
	prefetchFullCount = metrics.GetOrCreateCounter(`walnut_events_prefetch_full_total`)
	callerGoneCount   = metrics.GetOrCreateCounter(`walnut_events_streams_total{result="caller_gone"}`)
)

// Relay relays the event streams of targets to callers.
type Relay struct {
	// Reopen resumes streams on another target, starting after the attempt's LastEventID; nil
	// means that they are not resumed.
	Reopen hedge.Opener
	// Began is called when the first event of a stream that may be resumed has arrived,
	// before the caller gets it; may be nil.
	Began func(ex *pipeline.Exchange)
	// Lag returns by how much this process lags behind; nil means that it never lags.
	// See gather.
	Lag func() time.Duration
	// Log gets a warning for each stream that breaks and may be resumed.
	Log *slog.Logger
}

// Answer waits for the first event and makes the stream the exchange's answer.
// If it returns an error, the caller has received nothing, so the request may be
// run again if its route allows that.
func (r *Relay) Answer(ctx context.Context, ex *pipeline.Exchange, answer *targets.Response) error {
	s := &stream{ctx: ctx, relay: r, ex: ex, run: ex.Run, response: answer, buffer: make([]byte, 0, minBufferBytes)}
	s.setSource(answer.Body)
	s.watchSilence()
	if err := s.fill(); err != nil && err != io.EOF {
		s.watch.Stop()
		s.watch.Account()
		s.source.Close()
		s.end(err)
		return err
	}
	ex.Run.Begin()
	ex.MarkAnswerBegan()
	ex.Software = config.OnlySoftware(ex.TargetSoftware)
	if r.Began != nil && ex.Route.Resumes {
		r.Began(ex)
	}
	ex.Status = s.response.Status
	ex.AnswerHeader = s.response.Header
	ex.AnswerStream = s
	return nil
}

// watchSilence begins to watch how long the target is silent, if the stream may be resumed.
func (s *stream) watchSilence() {
	if !s.canResume() {
		return
	}
	s.watch = hedge.New(s.ctx, s.ex, hedge.Options{
		Open:    s.relay.Reopen,
		Limit:   func() time.Duration { return hedge.SilenceLimit(s.ex, s.relay.Lag) },
		Allowed: func() bool { return s.mayHedge.Load() && !s.closed.Load() },
		MaxRuns: s.ex.Route.Attempts,
		Events:  true,
		Log:     s.relay.Log,
	})
}

// stream is an event stream that is being relayed to the caller. Read and Close may
// be called from different goroutines; Read from one at a time.
type stream struct {
	ctx   context.Context
	relay *Relay
	ex    *pipeline.Exchange
	run   pipeline.Run
	// response is the target's answer, and source its body.
	response *targets.Response
	source   io.ReadCloser
	// watch asks for another target while this one is silent; nil if the stream cannot be resumed.
	watch *hedge.Watch
	// prefetcher is the source if events are gathered for GatherEvents; else nil.
	prefetcher *prefetcher
	// buffer holds the bytes that have arrived and were not returned by Read yet. Its
	// first readyBytes bytes may be returned: they are complete events.
	buffer     []byte
	readyBytes int
	// anyReady reports whether any bytes were ready yet.
	anyReady bool
	// scanner follows the source, and passedBytes is how many of the source's bytes were
	// returned by Read.
	scanner     eventstream.Scanner
	passedBytes int64
	// deliveredAt is when Read last returned events; zero before the first.
	deliveredAt time.Time
	// sourceErr is why the source ended; nil while it is open.
	sourceErr error
	endOnce   sync.Once
	// mayHedge is the result of mayResume at the beginning of a wait for the source.
	mayHedge atomic.Bool
	// closed is set by Close.
	closed atomic.Bool
}

// setSource sets the response of a target as the source.
func (s *stream) setSource(body io.ReadCloser) {
	s.source = body
	if s.ex.GatherEvents {
		s.prefetcher = newPrefetcher(body, s.ex.HoldBytes)
		s.source = s.prefetcher
	}
}

// HasEvents reports whether Read returns events at once.
func (s *stream) HasEvents() bool { return s.readyBytes > 0 }

// Read returns complete events. It returns io.EOF only after the last event of a
// stream that its target ended properly, by the HTTP framing.
func (s *stream) Read(p []byte) (int, error) {
	s.gather()
	for s.readyBytes == 0 {
		err := s.fill()
		if err == nil || s.readyBytes > 0 {
			continue
		}
		if err == io.EOF || !s.resume(err) {
			s.watch.Stop()
			return 0, s.end(err)
		}
	}
	n := copy(p, s.buffer[:s.readyBytes])
	s.deliveredAt = time.Now()
	s.readyBytes -= n
	s.passedBytes += int64(n)
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[n:])]
	return n, nil
}

// fill reads until a complete event is in the buffer or the source has ended.
func (s *stream) fill() error {
	for s.readyBytes == 0 {
		if s.sourceErr != nil {
			return s.sourceErr
		}
		if len(s.buffer) == cap(s.buffer) && !s.grow() {
			splitCount.Inc()
			s.readyBytes, s.anyReady = len(s.buffer), true
			s.recordLastID()
			return nil
		}
		s.mayHedge.Store(s.mayResume())
		s.watch.Begin(s.closeSource)
		since, events := time.Now(), s.scanner.Events()
		err := s.readEvent()
		s.ex.RecordEvents(s.scanner.Events()-events, time.Since(since))
		if other := s.watch.End(err != nil && err != io.EOF); other != nil {
			s.continueOn(other, err)
			continue
		}
		s.sourceErr = err
		if errors.Is(err, errNoEvent) {
			continue
		}
		s.markReady(err == io.EOF)
		s.anyReady = s.anyReady || s.readyBytes > 0
		s.recordLastID()
	}
	return nil
}

// readEvent reads from the source until an event is complete or the buffer has no room: a target
// that sends only parts of an event, or comments, counts as silent.
func (s *stream) readEvent() error {
	for {
		length := len(s.buffer)
		n, err := s.source.Read(s.buffer[length:cap(s.buffer)])
		if n > 0 {
			s.ex.MarkTargetHeard()
		}
		s.buffer = s.buffer[:length+n]
		s.scanner.Scan(s.buffer[length:])
		err = s.checkPending(err)
		hasEvent := s.scanner.CompleteBytes() > s.passedBytes
		if err != nil || hasEvent || !s.canResume() || len(s.buffer) >= maxEventBytes {
			return err
		}
		if len(s.buffer) == cap(s.buffer) && !s.grow() {
			return nil
		}
	}
}

// checkPending returns the error of a read, or the reason why the stream is not read any further.
func (s *stream) checkPending(err error) error {
	limit := int64(maxPendingBytes)
	if s.scanner.CompleteBytes() == 0 {
		limit = maxEventBytes
	}
	if err != nil || s.scanner.PendingBytes() < limit {
		return err
	}
	noEventCount.Inc()
	_ = s.source.Close()
	return result.Wrap(result.StreamBroken, errNoEvent, "The target's stream goes on without an event.")
}

// grow doubles the buffer, and reports whether there was room.
func (s *stream) grow() bool {
	size := cap(s.buffer)
	if !s.ex.HoldBytes(size) {
		return false
	}
	s.buffer = append(make([]byte, 0, 2*size), s.buffer...)
	return true
}

// markReady sets readyBytes: up to the end of the last complete event, or all bytes if
// the stream has ended, has begun and cannot be resumed anyway, or has filled the buffer.
func (s *stream) markReady(atEOF bool) {
	hasBegun := s.scanner.CompleteBytes() > 0
	if atEOF || hasBegun && !s.canResume() || len(s.buffer) >= maxEventBytes {
		s.readyBytes = len(s.buffer)
		return
	}
	s.readyBytes = int(max(0, s.scanner.CompleteBytes()-s.passedBytes))
}

// canResume reports whether a broken stream may be resumed on another target.
func (s *stream) canResume() bool { return s.ex.Route.Resumes && s.relay.Reopen != nil }

// recordLastID records the id of the last event that is ready. The stream is resumed only once
// all of them have been returned by Read.
func (s *stream) recordLastID() {
	if id := lastID(s.buffer[:s.readyBytes]); id != "" {
		s.ex.LastEventID = id
	}
}

// lastID returns the value of the last "id" line that is not empty; empty if there is none.
func lastID(text []byte) string {
	id := ""
	for len(text) > 0 {
		line := text
		if end := bytes.IndexAny(text, "\r\n"); end >= 0 {
			line, text = text[:end], text[end+1:]
		} else {
			text = nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if value = bytes.TrimSpace(value); len(value) > 0 {
				id = string(value)
			}
		}
	}
	return id
}

// mayResume reports whether another target may continue the stream now. A stream of which nothing
// was relayed yet is begun again there.
func (s *stream) mayResume() bool {
	return s.canResume() && s.ctx.Err() == nil && !s.closed.Load() && !s.isInsideEvent() && (s.ex.LastEventID != "" || !s.anyReady)
}

// resume continues a stream that broke on another target after the last complete event, and reports
// whether that succeeded.
func (s *stream) resume(cause error) bool {
	if !s.mayResume() || !s.anyReady {
		return false
	}
	s.source.Close()
	s.run.End(control.OutcomeLost)
	other, err := s.openOther()
	if err != nil {
		resumeFailedCount.Inc()
		s.log("events: Stream broke and could not be resumed on another target.", append(s.brokenAttrs(cause), slog.Any("error", err))...)
		return false
	}
	s.continueOn(other, cause)
	return true
}

// maxResumePause is the longest pause before another target is asked for again.
const maxResumePause = 400 * time.Millisecond

// openOther asks for another target for a stream that broke, again while what stands in the way may
// pass: the caller waits for the rest in any case.
func (s *stream) openOther() (*hedge.Answer, error) {
	for pause := maxResumePause / 8; ; pause = min(2*pause, maxResumePause) {
		other, err := s.watch.Open()
		if err == nil || !hedge.IsTransient(err) || !s.mayResume() {
			return other, err
		}
		if !wait.For(s.ctx, pause/2+rand.N(pause/2)) {
			return nil, err
		}
	}
}

// continueOn takes the answer of another target as the source; cause is why the former one ended. A
// partly received event is discarded, because the other target sends it completely.
func (s *stream) continueOn(other *hedge.Answer, cause error) {
	broken := s.brokenAttrs(cause)
	message := "events: Stream broke and was resumed on another target."
	outcome := control.OutcomeLost
	if other.Interrupted {
		message = "events: Target was silent and the stream was resumed on another one."
		outcome = control.OutcomeCancelled
	}
	s.source.Close()
	s.run.End(outcome)
	s.ex.Adopt(other.Attempt)
	s.run = s.ex.Run
	s.run.Begin()
	s.response = other.Response
	s.setSource(other.Response.Body)
	s.sourceErr = nil
	s.scanner = eventstream.Scanner{}
	s.passedBytes = 0
	s.buffer = s.buffer[:0]
	resumedCount.Inc()
	s.log(message, broken...)
}

// brokenAttrs describes the target that a stream leaves.
func (s *stream) brokenAttrs(cause error) []slog.Attr {
	return []slog.Attr{
		slog.Any("cause", cause), slog.String("broke_at", s.ex.Target), slog.String("broke_software", s.ex.TargetSoftware),
		slog.Duration("silent", s.ex.TargetSilence(time.Now())),
	}
}

// closeSource ends a wait for the source.
func (s *stream) closeSource() { _ = s.source.Close() }

// isInsideEvent reports whether the caller has a part of an event that did not fit in the
// buffer, so that no other stream can follow.
func (s *stream) isInsideEvent() bool { return s.passedBytes > s.scanner.CompleteBytes() }

func (s *stream) log(message string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("after_event", s.ex.LastEventID))
	pipeline.Log(s.ctx, s.relay.Log, slog.LevelWarn, s.ex, message, attrs...)
}

// end ends the run with the outcome that follows from cause, once, and returns cause.
func (s *stream) end(cause error) error {
	s.endOnce.Do(func() {
		switch {
		case cause == io.EOF:
			wholeCount.Inc()
			s.run.End(control.OutcomeAnswered)
		case s.ex.IsAbandoned() || s.ctx.Err() != nil || s.closed.Load():
			callerGoneCount.Inc()
			s.run.End(control.OutcomeCancelled)
		default:
			brokenCount.Inc()
			s.run.End(control.OutcomeLost)
		}
	})
	return cause
}

// Close ends the run. If the stream has not ended, the run is cancelled.
func (s *stream) Close() error {
	s.closed.Store(true)
	s.watch.Stop()
	err := s.source.Close()
	s.endOnce.Do(func() {
		callerGoneCount.Inc()
		s.run.End(control.OutcomeCancelled)
	})
	return err
}
