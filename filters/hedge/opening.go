package hedge

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

// maxTries bounds the targets that one opening asks one after the other.
const maxTries = 3

// opening is an attempt at another target, and the further ones that take its place if it fails.
type opening struct {
	attempt   *pipeline.Exchange
	startedAt time.Time
	cancel    context.CancelFunc
	// failedOn are the targets that failed it, and notRun reports that one of them refused it.
	failedOn []string
	notRun   bool
	// cancelled reports that the attempt is no longer needed.
	cancelled bool
	answer    *Answer
}

// startOpening begins an attempt at another target. The caller holds w.mu.
func (w *Watch) startOpening() {
	ctx, cancel := context.WithCancel(w.ctx)
	o := &opening{startedAt: time.Now(), cancel: cancel}
	o.attempt = w.newAttempt(o)
	w.openings = append(w.openings, o)
	go w.open(ctx, o)
}

// newAttempt returns a numbered attempt that excludes the targets that were asked. The caller holds
// w.mu.
func (w *Watch) newAttempt(o *opening) *pipeline.Exchange {
	attempt := w.ex.NewAttempt()
	w.lastAttempt = max(w.lastAttempt, w.ex.Attempt) + 1
	attempt.Attempt = w.lastAttempt
	attempt.EarlierRuns += w.runs
	attempt.Excluded = append(append(attempt.Excluded, w.ranOn...), o.failedOn...)
	for _, other := range w.openings {
		if other == o {
			continue
		}
		attempt.EarlierRuns++ // it may still be sent
		if other.attempt.WasSent() {
			attempt.Excluded = append(attempt.Excluded, other.attempt.Target)
		}
	}
	return attempt
}

// open performs attempts at other targets, until one has begun to answer.
func (w *Watch) open(ctx context.Context, o *opening) {
	for tries := 1; ; tries++ {
		response, err := w.openSafely(ctx, o.attempt)
		if err == nil {
			err = awaitBody(response, w.options.Events)
		}
		if !w.opened(o, response, err, tries < maxTries) {
			return
		}
	}
}

// openSafely turns a panic of the opener into an error.
func (w *Watch) openSafely(ctx context.Context, attempt *pipeline.Exchange) (response *targets.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = result.Wrap(result.Internal, fmt.Errorf("hedge: panic: %v", cause), "The router failed.")
		}
	}()
	return w.options.Open(ctx, attempt)
}

// opened records the result of an attempt. If it failed and another one may follow, it replaces the
// attempt by that one and returns true.
func (w *Watch) opened(o *opening, response *targets.Response, err error, mayRepeat bool) (again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.recordFailure(o, err)
		if mayRepeat && !o.cancelled && !w.stopped && isTargetsFailure(o.attempt, err) {
			o.attempt = w.newAttempt(o)
			return true
		}
	}
	if i := slices.Index(w.openings, o); i >= 0 {
		w.openings = slices.Delete(w.openings, i, i+1)
	}
	defer w.changed.Broadcast()
	switch {
	case err != nil:
		o.cancel()
		w.openingFailed(o, err)
	case o.cancelled || w.answered != nil:
		w.discard(o, response)
	default:
		w.answer(o, response)
	}
	return false
}

// answer makes an attempt the one that continues. The caller holds w.mu.
func (w *Watch) answer(o *opening, response *targets.Response) {
	o.attempt.OnEnd(func(error) { o.cancel() })
	o.answer = &Answer{Attempt: o.attempt, Response: response, Interrupted: w.wait == waitingForTarget}
	w.answered = o
	if w.wait == waitingForTarget {
		w.interrupt()
	}
}

// recordFailure ends a failed attempt and counts it, if it may have run. The caller holds w.mu.
func (w *Watch) recordFailure(o *opening, err error) {
	switch {
	case mayHaveRun(o.attempt, err):
		w.runs++
		w.ranOn = append(w.ranOn, o.attempt.Target)
	case isTargetsFailure(o.attempt, err):
		o.notRun = true
		o.failedOn = append(o.failedOn, o.attempt.Target)
	}
	o.attempt.End(err)
}

// openingFailed logs and records that no other target could be had. The caller holds w.mu.
func (w *Watch) openingFailed(o *opening, err error) {
	if o.cancelled {
		return
	}
	w.lastErr = err
	if o.notRun {
		w.lastErr = &transientError{err}
	}
	noTargetCount.Inc()
	refusals.Inc(codeOf(err))
	if w.logged {
		return
	}
	w.logged = true
	pipeline.Log(w.ctx, w.options.Log, slog.LevelWarn, w.ex, "hedge: No other target for the request.", slog.Any("error", err))
}

// discard ends an attempt that succeeded too late. The caller holds w.mu.
func (w *Watch) discard(o *opening, response *targets.Response) {
	w.runs++
	w.ranOn = append(w.ranOn, o.attempt.Target)
	o.cancel()
	_ = response.Body.Close()
	o.attempt.End(errSuperseded)
}

// cancelOpenings ends all attempts at other targets. The caller holds w.mu.
func (w *Watch) cancelOpenings() {
	for _, o := range w.openings {
		o.cancelled = true
		o.cancel()
	}
	if o := w.answered; o != nil {
		w.answered = nil
		w.discard(o, o.answer.Response)
	}
}

// takeAnswer hands the answer to the owner and cancels all other attempts. The caller holds w.mu.
func (w *Watch) takeAnswer() *Answer {
	o := w.answered
	w.answered = nil
	w.cancelOpenings()
	o.answer.Attempt.EarlierRuns = w.ex.EarlierRuns + 1 + w.runs
	w.runs, w.ranOn = 0, nil
	otherCount.Inc()
	return o.answer
}
