// Package hedge asks for another target while the target of a request is silent. All that were
// asked are kept until one of them sends something: that one continues, and the others are
// cancelled. If no other target can be had, the request waits for those that it has.
package hedge

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
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

// refusals counts why no other target could be had.
var refusals = codecounter.New("walnut_hedge_refusals_total",
	result.StreamBroken, result.RetryBudgetEmpty, result.Overloaded, result.NoTarget, result.TargetsUnavailable,
	result.ConnectFailed, result.TargetRefused, result.TargetLeft, result.TargetLostRequest)

var (
	// errSuperseded ends an attempt that is no longer needed.
	errSuperseded = errors.New("hedge: another target continued")
	// errStopped reports that the watch was stopped.
	errStopped = errors.New("hedge: the request has ended")
)

// confirmDelay is for how long a target must still be silent after the limit. In a process that was
// paused, the timer fires before what has arrived meanwhile is read.
const confirmDelay = 20 * time.Millisecond

// Opener sends an attempt to another target and returns the answer once its header has arrived. It
// sets the attempt's target and run, and ends when ctx does. Its errors are *result.Error.
type Opener func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error)

// Options configure a Watch.
type Options struct {
	// Open asks for another target. Required.
	Open Opener
	// Limit returns for how long a target may be silent before another one is asked for. Required.
	// The owner of the Watch calls it by Begin and Open.
	Limit func() time.Duration
	// Allowed reports whether another target could continue now; nil means that it always could.
	// It is called while the owner of the Watch waits.
	Allowed func() bool
	// MaxRuns is how many attempts may run; zero means that only Open limits them.
	MaxRuns int
	// Events reports that answers are event streams, which have begun with their first event.
	Events bool
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
	// changed is signalled when an opening has succeeded or failed.
	changed sync.Cond
	// timer fires when a target may have been silent for the limit.
	timer *time.Timer
	// wait is what the owner waits for, since waitingSince, and interrupt ends that.
	wait         waitKind
	waitingSince time.Time
	limit        time.Duration
	interrupt    func()
	// suspected is since when a target has been silent that was found so once.
	suspected time.Time
	// reported is set once the silence of the current wait was reported.
	reported bool
	// logged is set once a failure to find another target was logged in the current wait.
	logged bool
	// openings are the attempts in progress, oldest first; answered is the one that has succeeded.
	openings []*opening
	answered *opening
	// lastErr is why the latest opening failed.
	lastErr error
	// lastAttempt is the number of the latest attempt, runs is how many attempts beside the
	// exchange's own may have run, and ranOn holds their targets.
	lastAttempt int
	runs        int
	ranOn       []string
	stopped     bool
}

// waitKind is what the owner of a Watch waits for.
type waitKind int

const (
	// notWaiting: the owner uses the exchange.
	notWaiting waitKind = iota
	// waitingForTarget: it waits for its target, or for another one that is faster.
	waitingForTarget
	// waitingForOther: its target has broken off.
	waitingForOther
)

// New returns a watch of the target of ex. ctx bounds the attempts at other targets.
func New(ctx context.Context, ex *pipeline.Exchange, options Options) *Watch {
	w := &Watch{ctx: ctx, ex: ex, options: options, limit: options.Limit(), lastAttempt: ex.Attempt}
	w.changed.L = &w.mu
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.fire)
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
	w.wait, w.waitingSince, w.limit, w.interrupt = waitingForTarget, time.Now(), w.options.Limit(), interrupt
	w.reported, w.logged = false, false
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
	if broke {
		w.awaitOpenings()
	}
	w.wait = notWaiting
	if w.answered != nil {
		return w.takeAnswer()
	}
	if !broke && len(w.openings) > 0 {
		firstCount.Inc()
		w.cancelOpenings()
	}
	return nil
}

// Open asks for another target at once, for an owner whose target broke off, and waits for its
// answer. Only the owner calls it, outside of a wait.
func (w *Watch) Open() (*Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit, w.lastErr, w.reported = w.options.Limit(), nil, true
	if w.stopped {
		return nil, errStopped
	}
	w.startOpening()
	w.awaitOpenings()
	w.wait = notWaiting
	if w.answered == nil {
		return nil, w.lastErr
	}
	return w.takeAnswer(), nil
}

// Stop ends the watch and cancels the attempts at other targets. It may be called more than once
// and from any goroutine.
func (w *Watch) Stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped, w.lastErr = true, errStopped
	w.timer.Stop()
	w.cancelOpenings()
	w.changed.Broadcast()
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
	w.ex.Excluded = append(w.ex.Excluded, w.ranOn...)
	for _, o := range w.openings { // whose outcomes are not known yet
		if o.attempt.WasSent() {
			w.ex.EarlierRuns++
		}
	}
	w.runs, w.ranOn = 0, nil
}

// awaitOpenings waits until an attempt has succeeded or all have failed. The caller holds w.mu.
func (w *Watch) awaitOpenings() {
	w.wait = waitingForOther
	for w.answered == nil && !w.stopped && w.hasOpening() {
		w.changed.Wait()
	}
}

// hasOpening reports whether an attempt in progress is needed.
func (w *Watch) hasOpening() bool {
	return slices.ContainsFunc(w.openings, func(o *opening) bool { return !o.cancelled })
}

// fire asks for another target if the owner has waited for the limit, also since it last did.
func (w *Watch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.wait == notWaiting || w.answered != nil {
		w.timer.Reset(w.limit)
		return
	}
	since := w.silentSince()
	if left := w.limit - time.Since(since); left > 0 {
		w.timer.Reset(left)
		return
	}
	if !w.suspected.Equal(since) {
		w.suspected = since
		w.timer.Reset(confirmDelay)
		return
	}
	w.suspected = time.Time{}
	w.timer.Reset(w.limit)
	if !w.reported {
		w.reported = true
		w.ex.Run.Silent()
	}
	if !w.mayAsk() {
		notAllowedCount.Inc()
		return
	}
	silentCount.Inc()
	w.startOpening()
}

// mayAsk reports whether another target may be asked for now. The caller holds w.mu.
func (w *Watch) mayAsk() bool {
	if possibleRuns := w.ex.EarlierRuns + 1 + w.runs + len(w.openings); w.options.MaxRuns > 0 && possibleRuns >= w.options.MaxRuns {
		return false
	}
	return w.options.Allowed == nil || w.options.Allowed()
}

// silentSince returns since when all targets that were asked have been silent.
func (w *Watch) silentSince() time.Time {
	since := w.waitingSince
	if n := len(w.openings); n > 0 && w.openings[n-1].startedAt.After(since) {
		since = w.openings[n-1].startedAt
	}
	return since
}
