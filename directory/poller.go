package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/wait"
)

const (
	// maxHold is how long one call waits for changes. It is the longest that the platform
	// allows, because each call has a cost.
	maxHold = 30 * time.Second
	// proberMaxHold is the maxHold of the router that verifies calls for the fleet, so that
	// calls that were lost while waiting are detected within this time.
	proberMaxHold = maxHold / 2
	// verifyHold is how long a call waits whose purpose is to show that the store answers.
	// Together with answerMargin and the first retry pauses, a call that was made while the
	// store was silent is detected within a second, at the cost of one more call after each
	// change.
	verifyHold = 250 * time.Millisecond
	// answerMargin is how long after its hold a call may still be answered. The store answers
	// within a few milliseconds; 400 ms allow for a slow store and a busy router.
	answerMargin = 400 * time.Millisecond
	// lostAfter is how long after a call became overdue the platform counts as lost, if the
	// calls made since are not answered either.
	lostAfter = 300 * time.Millisecond
	// minRetryPause and maxRetryPause bound the mean pause between calls while none is
	// answered. The pause doubles and is jittered by half, so that routers do not retry in step
	// and each detects the platform's recovery within 0.75 s.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// loadPausePerRouter, times the number of routers, is the maximum mean pause between calls
	// that load everything, if it exceeds maxRetryPause. If the platform goes silent, all routers
	// eventually try to follow its feeds, and a load of 3,800 targets takes eight calls: 340
	// routers then make about 100 loads a second of each feed, or 900 calls of the 2,000 that the
	// platform allows. Routers that followed the feeds before do not have to load everything and
	// learn of the platform's changes soon after its recovery.
	loadPausePerRouter = 10 * time.Millisecond
	// callTimeout is how long a call may take in addition to its hold.
	callTimeout = 2 * time.Second
	// patientCallTimeout is the same for one call at a time: if the store, or this router, needs
	// longer than callTimeout for each answer, some call must be given that time.
	patientCallTimeout = 10 * time.Second
	// holdJitter is the jittered part of a hold. It keeps the calls of routers that started
	// together from ending in step, so that one of them detects a silent platform early.
	holdJitter = 0.1
)

// Reasons to abandon the pending calls without an answer.
var (
	// errReprobe reports that the calls may be lost and have to be reissued.
	errReprobe = errors.New("directory: the pending calls may be lost")
	// errOthersFollow reports that other routers follow the feed now.
	errOthersFollow = errors.New("directory: other routers follow the feed")
	// errUnanswered is the error logged for a feed that is lost because no call is answered.
	errUnanswered = errors.New("directory: calls are not answered")
)

// poller loads one feed and follows it. A call that waits for changes shows nothing until it is
// answered, so the platform may have lost it, or never have received it, while the poller takes
// the silence for "no change". A call therefore waits for long only if a shorter one before it
// was answered, or if another router of the fleet verifies its calls that way.
type poller[T any] struct {
	follower *Follower
	name     string
	feed     Feed[T]
	deliver  func(Listing[T], listingInfo)
	times    *callTimes

	// loaded reports that the feed was loaded, and after is the revision that the next call
	// for changes continues from.
	loaded bool
	after  config.Revision
	// verified reports that the next call for changes may wait for long, unless reprobe was
	// closed since the answer before it.
	verified bool
	reprobe  <-chan struct{}
	// lost reports that the platform does not answer.
	lost bool
	// reloadPause is the mean pause before everything is loaded again.
	reloadPause time.Duration
}

func newPoller[T any](f *Follower, name string, feed Feed[T], deliver func(Listing[T], listingInfo)) *poller[T] {
	return &poller[T]{
		follower:    f,
		name:        name,
		feed:        feed,
		deliver:     deliver,
		times:       f.callTimes[name],
		reprobe:     f.reprobes.next(),
		reloadPause: minRetryPause,
	}
}

// callResult is the result of one call.
type callResult[T any] struct {
	listing Listing[T]
	err     error
	// patient reports that the call was bounded by patientCallTimeout.
	patient bool
}

// run follows the feed until ctx ends.
func (p *poller[T]) run(ctx context.Context) {
	role := p.follower.role
	defer role.setLive(p.name, false)
	for ctx.Err() == nil {
		if p.loaded && role.standBy(ctx, p.name) {
			// Peers reported what changed meanwhile, as far as they knew.
			p.loaded, p.lost = false, false
			p.times.noteStandBy()
			continue
		}
		if p.loaded && !p.lost {
			role.setLive(p.name, true)
		}
		listing, err := p.ask(ctx)
		if err == nil {
			p.handleAnswer(ctx, listing)
		} else if reason := reloadReason(err); reason != nil {
			p.reload(ctx, reason)
		}
	}
}

// ask makes calls until one is answered, and returns its answer, or until there is a reason to
// abandon them, which it returns as the error. Further calls are made
// alongside overdue ones: a store that was silent never answers the calls made during the
// silence, and a slow one may need longer than the pause.
func (p *poller[T]) ask(ctx context.Context) (Listing[T], error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Cancels the calls that are still pending.
	results := make(chan callResult[T])
	p.checkReprobe()
	hold := p.hold()
	// A call that waits for changes may have been lost, so it is not the patient one.
	patientPending := hold == 0
	p.call(ctx, hold, patientPending, results)
	retry := newRetry(hold + answerMargin)
	defer retry.timer.Stop()
	for {
		var reprobe <-chan struct{} // Nil, so never ready, while a call verifies that the store answers or is retried.
		if hold > verifyHold && !retry.hasFailed() {
			reprobe = p.reprobe
		}
		follow, roleChanged := p.follower.role.mustFollow()
		if p.loaded && !follow {
			return Listing[T]{}, errOthersFollow
		}
		select {
		case r := <-results:
			if r.err == nil || reloadReason(r.err) != nil {
				return r.listing, r.err
			}
			patientPending = patientPending && !r.patient
			p.handleFailure(r.err, retry)
		case <-retry.timer.C:
			p.handleOverdue(retry)
			p.call(ctx, 0, !patientPending, results)
			patientPending = true
		case <-reprobe:
			return Listing[T]{}, errReprobe
		case <-roleChanged:
		case <-ctx.Done():
			return Listing[T]{}, ctx.Err()
		}
	}
}

// handleFailure records that a call failed. The next one follows after a pause.
func (p *poller[T]) handleFailure(err error, r *retry) {
	feedFailures.Inc()
	p.markLost(err)
	if !r.hasFailed() {
		r.markFailed()
		r.schedule(p.maxPause())
	}
}

// handleOverdue records that the pending calls should have been answered.
func (p *poller[T]) handleOverdue(r *retry) {
	if !r.hasFailed() {
		r.markFailed()
		overdueCalls.Inc()
		p.times.noteOverdue()
	}
	if time.Since(r.failingSince) >= lostAfter {
		p.markLost(errUnanswered)
	}
	r.schedule(p.maxPause())
	if !p.lost {
		r.capDelay(lostAfter)
	}
}

// retry schedules the next call while none is answered.
type retry struct {
	timer *time.Timer
	// failingSince is when the first call failed or became overdue; zero if none did.
	failingSince time.Time
	// pause is the mean pause before the call after the next, and due is when the next is due.
	pause time.Duration
	due   time.Time
}

// newRetry returns a retry that is due after delay if no call fails before.
func newRetry(delay time.Duration) *retry {
	return &retry{timer: time.NewTimer(delay), pause: minRetryPause}
}

func (r *retry) hasFailed() bool { return !r.failingSince.IsZero() }

func (r *retry) markFailed() { r.failingSince = time.Now() }

// schedule sets when the next call is due. The pause doubles up to maxPause.
func (r *retry) schedule(maxPause time.Duration) {
	r.due = time.Now().Add(jittered(r.pause))
	r.timer.Reset(time.Until(r.due))
	r.pause = min(2*r.pause, maxPause)
}

// capDelay moves the next call forward to at most maxDelay after the first failure.
func (r *retry) capDelay(maxDelay time.Duration) {
	if bound := r.failingSince.Add(maxDelay); bound.Before(r.due) {
		r.timer.Reset(time.Until(bound))
	}
}

// maxPause returns the upper limit of the mean pause between calls.
func (p *poller[T]) maxPause() time.Duration {
	if p.loaded || p.follower.options.Routers == nil {
		return maxRetryPause
	}
	return max(maxRetryPause, time.Duration(p.follower.options.Routers())*loadPausePerRouter)
}

// checkReprobe makes the next call a verifying one if calls may have been lost since the last
// answer.
func (p *poller[T]) checkReprobe() {
	select {
	case <-p.reprobe:
		p.verified = false
		p.reprobe = p.follower.reprobes.next()
	default:
	}
}

// call loads the feed, or asks for its changes and waits up to hold for them. It does not
// block; the result is sent unless ctx ends first.
func (p *poller[T]) call(ctx context.Context, hold time.Duration, patient bool, results chan<- callResult[T]) {
	loaded, after := p.loaded, p.after
	timeout := callTimeout
	if patient {
		timeout = patientCallTimeout
	}
	p.times.noteCall()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, hold+timeout)
		defer cancel()
		r := callResult[T]{patient: patient}
		if loaded {
			r.listing, r.err = p.feed.Follow(callCtx, after, hold)
		} else {
			r.listing, r.err = p.feed.Load(callCtx)
		}
		select {
		case results <- r:
		case <-ctx.Done():
		}
	}()
}

// hold returns how long the next call waits for changes.
func (p *poller[T]) hold() time.Duration {
	switch {
	case !p.loaded || p.lost:
		return 0 // Learn at once whether the platform answers.
	case !p.verified:
		return verifyHold
	case p.follower.role.isProber():
		return jitteredHold(proberMaxHold)
	default:
		return jitteredHold(maxHold)
	}
}

// markLost records that the platform does not answer. The calls of the other feed and those of
// other routers may be lost as well.
func (p *poller[T]) markLost(err error) {
	if p.lost {
		return
	}
	p.lost = true
	feedLosses.Inc()
	answered, waited := p.times.ages()
	p.follower.options.Log.Warn("directory: Feed lost.", "feed", p.name, "revision", p.after.String(), "waited", waited,
		"answered_before", answered, "error", err)
	p.times.noteOverdue()
	p.follower.role.setLive(p.name, false)
	p.follower.Reprobe()
}

// handleAnswer processes an answer.
func (p *poller[T]) handleAnswer(ctx context.Context, listing Listing[T]) {
	silence, _ := p.times.ages()
	p.times.noteAnswer()
	p.reprobe = p.follower.reprobes.next()
	if p.lost {
		p.follower.options.Log.Info("directory: Feed recovered.", "feed", p.name, "revision", listing.Revision.String(),
			"answered_before", silence)
	}
	p.deliver(listing, listingInfo{complete: !p.loaded, afterOutage: p.lost && silence >= p.follower.options.MinLapseTime})
	if p.loaded {
		p.reloadPause = minRetryPause // The feed works. A load alone does not show that: another reload may follow it.
	}
	// Another router verifies calls on behalf of this one, but not after a loss.
	changed := len(listing.Entries) > 0
	p.verified = !p.lost && (!changed || !p.follower.role.isProber())
	p.loaded, p.lost = true, false
	p.after = max(p.after, listing.Revision)
	if changed {
		wait.For(ctx, p.follower.batchDelay())
	}
}

// reloadReason returns the reason in an error that requires loading everything again, or nil.
func reloadReason(err error) error {
	for reason := range reloads {
		if errors.Is(err, reason) {
			return reason
		}
	}
	return nil
}

// reload makes the next call load everything, after a pause.
func (p *poller[T]) reload(ctx context.Context, reason error) {
	p.follower.options.Log.Warn("directory: Reloading feed.", "feed", p.name, "revision", p.after.String(), "reason", reason)
	reloads[reason].Inc()
	if reason == ErrRestored && p.loaded {
		p.follower.Reprobe() // The other feed's calls wait for changes of the previous era.
	}
	p.loaded, p.verified = false, false
	wait.For(ctx, jittered(p.reloadPause))
	p.reloadPause = min(2*p.reloadPause, maxRetryPause)
}

// jittered varies a pause by half.
func jittered(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }

// jitteredHold shortens a hold by up to holdJitter of it.
func jitteredHold(hold time.Duration) time.Duration {
	return hold - rand.N(time.Duration(holdJitter*float64(hold)))
}
