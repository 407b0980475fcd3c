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
	// longHold is how long one call for changes waits: the longest that the
	// platform allows, as each call has its price.
	longHold = 30 * time.Second
	// provingLongHold is the same for the router that proves, so that calls which were
	// lost while they waited are found within it.
	provingLongHold = longHold / 2
	// provingHold is how long a call waits that has to show that the store answers. With
	// answerMargin and the first pauses a call that met a silence of the store is found
	// within a second, for one call more after each change.
	provingHold = 250 * time.Millisecond
	// answerMargin is how long after its time a call may be answered. The store answers in
	// some milliseconds; 400 are for a slow store and a busy router.
	answerMargin = 400 * time.Millisecond
	// lostAfter is how long after that the platform counts as lost, if the calls made
	// since are not answered either.
	lostAfter = 300 * time.Millisecond
	// firstPause and longestPause bound the mean pause between calls while none is
	// answered. The pause doubles and is jittered by half, so that routers do not come back
	// in step and the platform's return is known to each within 0.75 s.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// loadPauseEach is, for each router of the fleet, the least that longestPause is for
	// calls that load everything. Where the platform falls silent, all routers come to
	// follow its feeds in the end, and a load of 3,800 targets takes eight calls: 340
	// routers then make some 100 loads a second of each feed, 900 calls of the 2,000 that
	// the platform allows. Those that followed before do not load, and have its news soon.
	loadPauseEach = 10 * time.Millisecond
	// callLimit is how long a call that does not wait may take; longer calls are of no
	// use, as others follow each other by longestPause.
	callLimit = 2 * time.Second
	// holdSpread is the part of a wait that is jittered, so that the waits of routers
	// that started together do not end in step, and one of them meets a silence early.
	holdSpread = 0.1
)

// Reasons to give up the calls under way without an answer.
var (
	// errReprobe says that the calls may be lost, and have to be made anew.
	errReprobe = errors.New("directory: the calls under way may be lost")
	// errNotWanted says that other routers follow the feed now.
	errNotWanted = errors.New("directory: others follow")
	// errUnanswered is the reason of a loss without an error.
	errUnanswered = errors.New("directory: calls go unanswered")
)

// poller loads one feed and follows it. A call that waits for changes shows nothing until
// it is answered, so the platform may have lost it, or never have taken it, while the
// poller takes its silence for "no change". A wait is long only if a shorter one before it
// was answered, or if another router of the fleet proves its waits that way.
type poller[T any] struct {
	follower *Follower
	name     string
	feed     Feed[T]
	take     func(Listing[T], arrival)
	seen     *answers

	loaded bool
	after  config.Revision
	// proven says that the next call for changes may wait for long, unless reprobe was
	// closed since the answer before it.
	proven  bool
	reprobe <-chan struct{}
	// lost says that the platform does not answer.
	lost bool
	// reloadPause is the mean pause before everything is loaded again.
	reloadPause time.Duration
}

func newPoller[T any](f *Follower, name string, feed Feed[T], take func(Listing[T], arrival)) *poller[T] {
	return &poller[T]{
		follower:    f,
		name:        name,
		feed:        feed,
		take:        take,
		seen:        f.answers[name],
		reprobe:     f.reprobes.next(),
		reloadPause: firstPause,
	}
}

// outcome is the end of one call.
type outcome[T any] struct {
	listing Listing[T]
	err     error
}

// run follows the feed until ctx ends.
func (p *poller[T]) run(ctx context.Context) {
	turn := p.follower.turn
	defer turn.setLive(p.name, false)
	for ctx.Err() == nil {
		if p.loaded && turn.standBy(ctx, p.name) {
			// Peers told what changed meanwhile, as far as they knew.
			p.loaded, p.lost = false, false
			p.seen.noteStandBy()
			continue
		}
		if p.loaded && !p.lost {
			turn.setLive(p.name, true)
		}
		listing, err := p.ask(ctx)
		if err == nil {
			p.arrived(ctx, listing)
		} else if reason := reloadReason(err); reason != nil {
			p.reload(ctx, reason)
		}
	}
}

// ask makes calls until one is answered, and returns its answer. Further calls are made
// beside those that are overdue: a store that was silent never answers the calls of that
// time, and one that is slow may need longer than the pause.
func (p *poller[T]) ask(ctx context.Context) (Listing[T], error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Ends the calls that were overtaken.
	outcomes := make(chan outcome[T])
	p.heedReprobe()
	hold := p.hold()
	p.call(ctx, hold, outcomes)
	retry := newRetry(hold + answerMargin)
	defer retry.timer.Stop()
	for {
		var reprobe <-chan struct{} // Never closed while the calls prove themselves.
		if hold > provingHold && !retry.begun() {
			reprobe = p.reprobe
		}
		wanted, turned := p.follower.turn.isWanted()
		if p.loaded && !wanted {
			return Listing[T]{}, errNotWanted
		}
		select {
		case o := <-outcomes:
			if o.err == nil || reloadReason(o.err) != nil {
				return o.listing, o.err
			}
			p.failed(o.err, retry)
		case <-retry.timer.C:
			p.overdue(retry)
			p.call(ctx, 0, outcomes)
		case <-reprobe:
			return Listing[T]{}, errReprobe
		case <-turned:
		case <-ctx.Done():
			return Listing[T]{}, ctx.Err()
		}
	}
}

// failed takes in that a call failed. The next one follows after a pause.
func (p *poller[T]) failed(err error, r *retry) {
	feedFailures.Inc()
	p.lose(err)
	if !r.begun() {
		r.begin()
		r.schedule(p.longestPause())
	}
}

// overdue takes in that the calls under way should have been answered.
func (p *poller[T]) overdue(r *retry) {
	if !r.begun() {
		r.begin()
		overdueCalls.Inc()
		p.seen.noteOverdue()
	}
	if time.Since(r.since) >= lostAfter {
		p.lose(errUnanswered)
	}
	r.schedule(p.longestPause())
	if !p.lost {
		r.notAfter(lostAfter)
	}
}

// retry is when the next call is due, while none is answered.
type retry struct {
	timer *time.Timer
	// since is when the first call failed or became overdue; zero: none did.
	since time.Time
	// pause is the mean pause before the call after the next, and due when the next is due.
	pause time.Duration
	due   time.Time
}

// newRetry returns a retry that is due after a while, if nothing fails before.
func newRetry(after time.Duration) *retry {
	return &retry{timer: time.NewTimer(after), pause: firstPause}
}

func (r *retry) begun() bool { return !r.since.IsZero() }

func (r *retry) begin() { r.since = time.Now() }

// schedule sets when the next call is due. The pause doubles up to the longest.
func (r *retry) schedule(longest time.Duration) {
	r.due = time.Now().Add(jittered(r.pause))
	r.timer.Reset(time.Until(r.due))
	r.pause = min(2*r.pause, longest)
}

// notAfter brings the next call forward to so long after the first one failed.
func (r *retry) notAfter(since time.Duration) {
	if bound := r.since.Add(since); bound.Before(r.due) {
		r.timer.Reset(time.Until(bound))
	}
}

// longestPause is the mean pause between calls in the long run.
func (p *poller[T]) longestPause() time.Duration {
	if p.loaded || p.follower.options.Routers == nil {
		return longestPause
	}
	return max(longestPause, time.Duration(p.follower.options.Routers())*loadPauseEach)
}

// heedReprobe lets the next call prove itself if calls may be lost since the last answer.
func (p *poller[T]) heedReprobe() {
	select {
	case <-p.reprobe:
		p.proven = false
		p.reprobe = p.follower.reprobes.next()
	default:
	}
}

// call loads the feed, or asks for its changes and waits for them for a while. It does
// not block; the outcome is sent unless ctx ends before.
func (p *poller[T]) call(ctx context.Context, hold time.Duration, outcomes chan<- outcome[T]) {
	loaded, after := p.loaded, p.after
	p.seen.noteCall()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, hold+callLimit)
		defer cancel()
		var o outcome[T]
		if loaded {
			o.listing, o.err = p.feed.Follow(callCtx, after, hold)
		} else {
			o.listing, o.err = p.feed.Load(callCtx)
		}
		select {
		case outcomes <- o:
		case <-ctx.Done():
		}
	}()
}

// hold is how long the next call waits for changes.
func (p *poller[T]) hold() time.Duration {
	switch {
	case !p.loaded || p.lost:
		return 0 // To learn at once that the platform answers.
	case !p.proven:
		return provingHold
	case p.follower.turn.isProver():
		return spread(provingLongHold)
	default:
		return spread(longHold)
	}
}

// lose notes that the platform does not answer. The other feed's call, and those of
// other routers, may be lost as well.
func (p *poller[T]) lose(err error) {
	if p.lost {
		return
	}
	p.lost = true
	feedLosses.Inc()
	answered, waited := p.seen.age()
	p.follower.options.Log.Warn("directory: Feed lost.", "feed", p.name, "revision", p.after.String(), "waited", waited,
		"answered_before", answered, "error", err)
	p.seen.noteOverdue()
	p.follower.turn.setLive(p.name, false)
	p.follower.Reprobe()
}

// arrived takes in an answer.
func (p *poller[T]) arrived(ctx context.Context, listing Listing[T]) {
	silence, _ := p.seen.age()
	p.seen.noteAnswer()
	p.reprobe = p.follower.reprobes.next()
	if p.lost {
		p.follower.options.Log.Info("directory: Feed regained.", "feed", p.name, "revision", listing.Revision.String(),
			"answered_before", silence)
	}
	p.take(listing, arrival{whole: !p.loaded, afterLoss: p.lost && silence >= p.follower.options.ShortestLapse})
	if p.loaded {
		p.reloadPause = firstPause // The feed works; a load alone may be followed by another.
	}
	// Another router proves its waits for this one, but not after a loss.
	changed := len(listing.Entries) > 0
	p.proven = !p.lost && (!changed || !p.follower.turn.isProver())
	p.loaded, p.lost = true, false
	p.after = max(p.after, listing.Revision)
	if changed {
		wait.For(ctx, p.follower.gather())
	}
}

// reloadReason returns the reason in an error why everything has to be loaded again, or nil.
func reloadReason(err error) error {
	for reason := range reloads {
		if errors.Is(err, reason) {
			return reason
		}
	}
	return nil
}

// reload lets everything be loaded again, after a pause.
func (p *poller[T]) reload(ctx context.Context, reason error) {
	p.follower.options.Log.Warn("directory: Loading everything.", "feed", p.name, "revision", p.after.String(), "reason", reason)
	reloads[reason].Inc()
	if reason == ErrRestored && p.loaded {
		p.follower.Reprobe() // The other feed's calls wait for changes of the era before.
	}
	p.loaded, p.proven = false, false
	wait.For(ctx, jittered(p.reloadPause))
	p.reloadPause = min(2*p.reloadPause, longestPause)
}

// jittered varies a pause by half.
func jittered(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }

// spread shortens a wait by up to holdSpread of it.
func spread(hold time.Duration) time.Duration {
	return hold - rand.N(time.Duration(holdSpread*float64(hold)))
}
