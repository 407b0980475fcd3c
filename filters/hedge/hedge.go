// Package hedge asks for another target while the target of a request is silent. Both are kept
// until one of them sends something: that one continues, and the other is cancelled. If no other
// target can be had, the request waits for the one that it has.
package hedge

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

// Counters of targets that were silent for the limit, by what came of asking for another one.
var (
	silentCount     = metrics.GetOrCreateCounter(`walnut_hedge_silent_targets_total{result="asked"}`)
	otherCount      = metrics.GetOrCreateCounter(`walnut_hedge_silent_targets_total{result="other_target_continued"}`)
	firstCount      = metrics.GetOrCreateCounter(`walnut_hedge_silent_targets_total{result="first_target_continued"}`)
	noTargetCount   = metrics.GetOrCreateCounter(`walnut_hedge_silent_targets_total{result="no_other_target"}`)
	notAllowedCount = metrics.GetOrCreateCounter(`walnut_hedge_silent_targets_total{result="not_allowed"}`)
)

// errSuperseded ends an attempt that is no longer needed.
var errSuperseded = errors.New("hedge: the first target continued")

// maxTries bounds the targets that are asked one after the other.
const maxTries = 3

// firstReadBytes is the size of the buffer for the first read of another target's answer.
const firstReadBytes = 4 << 10

// Opener sends an attempt to another target and returns the answer once its header has arrived. It
// sets the attempt's target and run, and ends when ctx does. Its errors are *result.Error.
type Opener func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error)

// Options configure a Watch.
type Options struct {
	// Open asks for another target. Required.
	Open Opener
	// Limit returns for how long the target may be silent before another one is asked for. Required.
	Limit func() time.Duration
	// Allowed reports whether another target could continue now; nil means that it always could.
	// It is called while the owner of the Watch waits.
	Allowed func() bool
	// Log gets a line for each silent target.
	Log *slog.Logger
}

// Answer is the answer of another target, which has begun.
type Answer struct {
	// Attempt is the exchange by which the target was asked; see pipeline.Exchange.Adopt.
	Attempt  *pipeline.Exchange
	Response *targets.Response
	// Interrupted reports that the first target was still silent. Otherwise it had broken off.
	Interrupted bool
}

// Watch watches how long the target of an exchange is silent. Its owner calls Begin and End around
// each wait for the target, always from one goroutine at a time, and Stop at the end.
type Watch struct {
	ctx     context.Context
	ex      *pipeline.Exchange
	options Options

	mu sync.Mutex
	// timer fires when the target may have been silent for the limit.
	timer *time.Timer
	// waiting reports that the owner waits since waitingSince; interrupt ends its wait.
	waiting      bool
	waitingSince time.Time
	interrupt    func()
	// opening is the attempt that is being opened or was not taken yet; nil if there is none.
	opening *opening
	// lastAttempt is the number of the latest attempt, runs is how many attempts beside the
	// exchange's own may have run, and excluded holds their targets.
	lastAttempt int
	runs        int
	excluded    []string
	stopped     bool
}

// opening is an attempt at another target.
type opening struct {
	attempt *pipeline.Exchange
	cancel  context.CancelFunc
	// done is closed once the attempt has succeeded or failed.
	done chan struct{}
	// cancelled reports that the attempt is no longer needed.
	cancelled bool
	// answer is the target's answer; nil until it has begun.
	answer *Answer
	err    error
}

// New returns a watch of the target of ex. ctx bounds the attempts at other targets.
func New(ctx context.Context, ex *pipeline.Exchange, options Options) *Watch {
	w := &Watch{ctx: ctx, ex: ex, options: options, lastAttempt: ex.Attempt}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(options.Limit(), w.fire)
	return w
}

// Begin is called before the owner waits for the target. interrupt, which must not block, ends the
// wait if another target has begun to answer.
func (w *Watch) Begin(interrupt func()) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.waitingSince, w.interrupt = true, time.Now(), interrupt
}

// End is called after the wait. broke reports that the target will send nothing more although its
// answer is not complete. The result is the answer that takes the place of the target's; nil if the
// target continues, or if it broke off and no other one had been asked. Whatever has arrived from
// the target in the meantime must be discarded if there is another answer.
func (w *Watch) End(broke bool) *Answer {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	o := w.opening
	if o == nil {
		return nil
	}
	if broke && !o.cancelled {
		w.mu.Unlock()
		<-o.done
		w.mu.Lock()
	}
	if o.answer != nil {
		return w.takeAnswer(o)
	}
	if !broke && !o.cancelled {
		firstCount.Inc()
	}
	if w.opening == o {
		w.cancelOpening()
	}
	return nil
}

// Open asks for another target at once, for an owner whose target broke off, and waits for its
// answer. Only the owner calls it, outside of a wait.
func (w *Watch) Open() (*Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if earlier := w.opening; earlier != nil {
		w.cancelOpening()
		w.mu.Unlock()
		<-earlier.done
		w.mu.Lock()
	}
	o := w.startOpening()
	w.mu.Unlock()
	<-o.done
	w.mu.Lock()
	if o.answer == nil {
		return nil, o.err
	}
	return w.takeAnswer(o), nil
}

// Stop ends the watch and cancels the attempts at other targets. It may be called more than once
// and from any goroutine.
func (w *Watch) Stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped, w.waiting = true, false
	w.timer.Stop()
	if w.opening != nil {
		w.cancelOpening()
	}
}

// Account counts the attempts at other targets among those of the exchange. The owner calls it
// after Stop if the exchange may be run again.
func (w *Watch) Account() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ex.Attempt = max(w.ex.Attempt, w.lastAttempt)
	w.ex.EarlierRuns += w.runs
	w.ex.Excluded = append(w.ex.Excluded, w.excluded...)
	if w.opening != nil && w.opening.attempt.WasSent() {
		w.ex.EarlierRuns++ // its outcome is not known yet
	}
	w.runs, w.excluded = 0, nil
}

// fire asks for another target if the owner has waited for the limit.
func (w *Watch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	limit := w.options.Limit()
	left := limit
	if w.waiting && w.opening == nil {
		left = limit - time.Since(w.waitingSince)
	}
	if left > 0 {
		w.timer.Reset(left)
		return
	}
	w.timer.Reset(limit)
	w.ex.Run.Silent()
	if w.options.Allowed != nil && !w.options.Allowed() {
		notAllowedCount.Inc()
		return
	}
	silentCount.Inc()
	w.startOpening()
}

// startOpening begins an attempt at another target. The caller holds w.mu.
func (w *Watch) startOpening() *opening {
	ctx, cancel := context.WithCancel(w.ctx)
	o := &opening{attempt: w.newAttempt(), cancel: cancel, done: make(chan struct{})}
	w.opening = o
	go w.open(ctx, o)
	return o
}

// newAttempt returns a numbered attempt that excludes the targets that failed the request. The caller
// holds w.mu.
func (w *Watch) newAttempt() *pipeline.Exchange {
	attempt := w.ex.NewAttempt()
	w.lastAttempt = max(w.lastAttempt, w.ex.Attempt) + 1
	attempt.Attempt = w.lastAttempt
	attempt.EarlierRuns += w.runs
	attempt.Excluded = append(attempt.Excluded, w.excluded...)
	return attempt
}

// open performs attempts at other targets, until one has begun to answer.
func (w *Watch) open(ctx context.Context, o *opening) {
	for tries := 1; ; tries++ {
		response, err := w.options.Open(ctx, o.attempt)
		if err == nil {
			err = awaitBody(response)
		}
		if !w.opened(o, response, err, tries < maxTries) {
			return
		}
	}
}

// opened records the result of an attempt. If it failed and another one may follow, it replaces the
// attempt by that one and returns true.
func (w *Watch) opened(o *opening, response *targets.Response, err error, mayRepeat bool) (again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && mayRepeat && !o.cancelled && isTargetsFailure(o.attempt, err) {
		w.recordFailure(o.attempt, err)
		o.attempt = w.newAttempt()
		return true
	}
	defer close(o.done)
	switch {
	case err != nil:
		w.openingFailed(o, err)
	case o.cancelled:
		w.discard(o, response)
	default:
		o.attempt.OnEnd(func(error) { o.cancel() })
		o.answer = &Answer{Attempt: o.attempt, Response: response, Interrupted: w.waiting}
		if w.waiting {
			w.interrupt()
		}
	}
	return false
}

// isTargetsFailure reports whether an attempt failed at its target, so that another target may serve
// it.
func isTargetsFailure(attempt *pipeline.Exchange, err error) bool {
	var refusal *result.Error
	if !errors.As(err, &refusal) || attempt.Target == "" {
		return false
	}
	switch refusal.Code {
	case result.ConnectFailed, result.TargetRefused, result.TargetLeft, result.TargetLostRequest, result.StreamBroken, result.TargetError:
		return true
	}
	return false
}

// recordFailure ends a failed attempt and counts it, if it may have run. The caller holds w.mu.
func (w *Watch) recordFailure(attempt *pipeline.Exchange, err error) {
	if mayHaveRun(attempt, err) {
		w.runs++
	}
	if isTargetsFailure(attempt, err) {
		w.excluded = append(w.excluded, attempt.Target)
	}
	attempt.End(err)
}

// openingFailed records a failed attempt. The caller holds w.mu.
func (w *Watch) openingFailed(o *opening, err error) {
	o.err = err
	o.cancel()
	w.opening = nil
	w.recordFailure(o.attempt, err)
	if !o.cancelled {
		noTargetCount.Inc()
		pipeline.Log(w.ctx, w.options.Log, slog.LevelWarn, w.ex, "hedge: No other target for the request.", slog.Any("error", err))
	}
}

// discard ends an attempt that succeeded too late. The caller holds w.mu.
func (w *Watch) discard(o *opening, response *targets.Response) {
	if w.opening == o {
		w.opening = nil
	}
	w.runs++
	o.cancel()
	o.answer, o.err = nil, errSuperseded
	_ = response.Body.Close()
	o.attempt.End(errSuperseded)
}

// cancelOpening ends the attempt that is being opened: the first target continues. The caller holds
// w.mu.
func (w *Watch) cancelOpening() {
	o := w.opening
	if o.cancelled {
		return
	}
	o.cancelled = true
	o.cancel()
	if o.answer != nil {
		w.discard(o, o.answer.Response)
	}
}

// takeAnswer hands an answer to the owner. The caller holds w.mu.
func (w *Watch) takeAnswer(o *opening) *Answer {
	w.opening = nil
	w.runs, w.excluded = 0, nil // the attempt has them
	otherCount.Inc()
	return o.answer
}

// mayHaveRun reports whether a failed attempt may have run.
func mayHaveRun(attempt *pipeline.Exchange, err error) bool {
	var refusal *result.Error
	if errors.As(err, &refusal) && refusal.Ran == result.RanNo {
		return false
	}
	return attempt.WasSent()
}

// awaitBody waits for the first bytes of an answer's body, or for its end.
func awaitBody(response *targets.Response) error {
	buffer := make([]byte, firstReadBytes)
	n, err := response.Body.Read(buffer)
	if n == 0 && err != nil && err != io.EOF {
		_ = response.Body.Close()
		return err
	}
	response.Body = &begunBody{ReadCloser: response.Body, unread: buffer[:n], err: err}
	return nil
}

// begunBody is a body of which the first bytes have been read, with the error of that read.
type begunBody struct {
	io.ReadCloser
	unread []byte
	err    error
}

// Read implements io.Reader.
func (b *begunBody) Read(p []byte) (int, error) {
	if len(b.unread) > 0 {
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}
