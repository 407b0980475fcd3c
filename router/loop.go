package router

import (
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
)

const (
	// minTickInterval is the minimum time between two ticks. The machine reports when
	// it needs the next one; needless wake-ups cost more than the ticks themselves.
	minTickInterval = 20 * time.Millisecond
	// inboxSize limits the events waiting for the control goroutine. Senders
	// block when it is full, which slows traffic rather than losing an event.
	inboxSize = 4096
	// slowStepTime is the time from which on an event counts as slow, and is logged at most once per
	// slowStepLogInterval.
	slowStepTime        = 50 * time.Millisecond
	slowStepLogInterval = time.Second
)

// controlBusy is the time that the control goroutine spent on events.
var controlBusy = metrics.GetOrCreateFloatCounter(`walnut_control_busy_seconds_total`)

// loop is the control goroutine: it owns the control state machine, feeds it
// events and executes its commands. No other goroutine accesses the machine.
type loop struct {
	machine *control.Machine
	started time.Time
	inbox   chan postedEvent
	queries chan func(*control.Machine)
	done    chan struct{}
	shell   shell
	log     *slog.Logger
	waiters map[control.RequestID]*waiter
	// lookups holds the channels of the requests that wait for control.AffinityFound.
	lookups map[control.RequestID]chan<- control.AffinityFound
	// wake fires at wakeAt for the next tick; the last tick was at tickedAt.
	wake             *time.Timer
	wakeAt, tickedAt control.Instant
	// counters is a copy of the machine's counters, updated at each tick.
	counters atomic.Pointer[control.Counters]
	// slowLoggedAt is when a slow event was last logged.
	slowLoggedAt time.Time
	// membersVersion is the version of the live members last passed to the shell.
	membersVersion uint64
}

// shell performs the side effects of the machine's commands. Its methods must not block.
type shell interface {
	send(to control.NodeID, message control.Message)
	watchTargets(targets []string)
	quarantineChanged(fingerprint uint64, quarantined bool)
	versionSeen(control.VersionSeen)
	setFeedRole(role control.FeedRole)
	recheckFeeds()
	membersChanged(alive []control.NodeID)
	drained()
}

// waiter is a request's goroutine that waits for a grant.
type waiter struct {
	attempt uint32
	answer  chan grantAnswer
}

// grantAnswer is a Dispatch or a Refuse for a waiter.
type grantAnswer struct {
	dispatch *control.Dispatch
	refuse   *control.Refuse
}

// postedEvent is an event sent to the control goroutine. An arrival carries its
// waiter and a lookup its channel, which has room for the answer, so that the answer
// cannot come before they are known. All events share one channel, as a cancellation
// must not overtake its arrival.
type postedEvent struct {
	event  control.Event
	waiter *waiter
	lookup chan<- control.AffinityFound
}

func newLoop(machine *control.Machine, shell shell, log *slog.Logger) *loop {
	return &loop{
		machine: machine,
		started: time.Now(),
		inbox:   make(chan postedEvent, inboxSize),
		queries: make(chan func(*control.Machine)),
		done:    make(chan struct{}),
		shell:   shell,
		log:     log,
		waiters: make(map[control.RequestID]*waiter),
		lookups: make(map[control.RequestID]chan<- control.AffinityFound),
	}
}

// now returns the machine's time.
func (l *loop) now() control.Instant { return time.Since(l.started) }

// instant converts a wall-clock time to the machine's time.
func (l *loop) instant(t time.Time) control.Instant { return t.Sub(l.started) }

// run is the control goroutine. It returns when stop closes.
func (l *loop) run(stop <-chan struct{}) {
	defer close(l.done)
	l.wake = time.NewTimer(minTickInterval)
	defer l.wake.Stop()
	for {
		select {
		case <-stop:
			return
		case p := <-l.inbox:
			l.handle(p)
			l.advanceWake()
		case query := <-l.queries:
			query(l.machine)
		case <-l.wake.C:
			l.tick()
		}
	}
}

// tick passes a Tick to the machine and schedules the next one.
func (l *loop) tick() {
	l.step(control.Tick{})
	counters := l.machine.Counters()
	l.counters.Store(&counters)
	l.notifyMembers()
	l.tickedAt = l.now()
	l.wakeAt = max(l.machine.NextWake(), l.tickedAt+minTickInterval)
	l.wake.Reset(l.wakeAt - l.tickedAt)
}

// advanceWake schedules the next tick earlier if an event made that necessary.
func (l *loop) advanceWake() {
	at := max(l.machine.NextWake(), l.tickedAt+minTickInterval)
	if at >= l.wakeAt {
		return
	}
	l.wakeAt = at
	l.wake.Reset(l.wakeAt - l.now())
}

// notifyMembers passes the live members to the shell if they have changed.
func (l *loop) notifyMembers() {
	version := l.machine.AliveVersion()
	if version == l.membersVersion {
		return
	}
	l.membersVersion = version
	l.shell.membersChanged(l.machine.AliveNodes())
}

// post sends an event to the control goroutine. It reports false once the
// goroutine has ended.
func (l *loop) post(event control.Event) bool {
	return l.postWith(event, nil)
}

// postWith is like post, and also passes a waiter, which every arrival has.
func (l *loop) postWith(event control.Event, w *waiter) bool {
	return l.postEvent(postedEvent{event: event, waiter: w})
}

func (l *loop) postEvent(p postedEvent) bool {
	select {
	case l.inbox <- p:
		return true
	case <-l.done:
		return false
	}
}

// handle registers who waits for the answer and feeds a posted event to the machine.
func (l *loop) handle(p postedEvent) {
	switch event := p.event.(type) {
	case control.RequestArrived:
		l.waiters[event.Request] = p.waiter
	case control.AffinityWanted:
		l.lookups[event.Request] = p.lookup
	}
	l.step(p.event)
}

// query runs f on the control goroutine and waits for it. It reports false if the
// goroutine has ended.
func (l *loop) query(f func(*control.Machine)) bool {
	finished := make(chan struct{})
	wrapped := func(m *control.Machine) {
		defer close(finished)
		f(m)
	}
	select {
	case l.queries <- wrapped:
		<-finished
		return true
	case <-l.done:
		return false
	}
}

// step passes an event to the machine and executes the resulting commands. It first
// removes the waiter of a cancelled request, which no longer waits for an answer.
func (l *loop) step(event control.Event) {
	start := time.Now()
	defer func() { l.noteBusy(event, start, time.Since(start)) }()
	if cancelled, ok := event.(control.RequestCancelled); ok {
		l.takeWaiter(cancelled.Request, cancelled.Attempt)
	}
	for _, command := range l.machine.Step(l.now(), event) {
		l.execute(command)
	}
}

// noteBusy counts the time that an event took, and logs it if the event was slow: all that waits for the
// control goroutine waited as long.
func (l *loop) noteBusy(event control.Event, start time.Time, elapsed time.Duration) {
	controlBusy.Add(elapsed.Seconds())
	if elapsed < slowStepTime || start.Sub(l.slowLoggedAt) < slowStepLogInterval {
		return
	}
	l.slowLoggedAt = start
	l.log.Warn("control: Event took long.", "event", fmt.Sprintf("%T", event), "took", elapsed, "waiting", len(l.inbox))
}

func (l *loop) execute(command control.Command) {
	switch c := command.(type) {
	case control.Send:
		l.shell.send(c.To, c.Message)
	case control.Dispatch:
		l.deliverGrant(c)
	case control.Refuse:
		l.deliverRefusal(c)
	case control.AffinityFound:
		l.deliverAffinity(c)
	case control.WatchTargets:
		l.shell.watchTargets(c.Targets)
	case control.QuarantineChanged:
		l.shell.quarantineChanged(c.Fingerprint, c.Quarantined)
	case control.PartsQuarantineChanged:
		l.logPartsQuarantine(c)
	case control.TargetCrashed:
		l.log.Warn("control: Target lost its runs and is taken to have crashed.", "target", c.Target, "lost", c.Lost, "after", c.After, "suspect_sets", c.Suspects)
	case control.VersionSeen:
		l.shell.versionSeen(c)
	case control.FeedRole:
		l.shell.setFeedRole(c)
	case control.RecheckFeeds:
		l.shell.recheckFeeds()
	case control.Drained:
		l.shell.drained()
	case control.TargetHealthChanged:
		l.logTargetHealth(c)
	case control.TargetLeaving:
		l.log.Info("control: Target announced that it is leaving.", "target", c.Target, "told", c.From)
	case control.TargetCold:
		l.log.Info("control: Target is cold and gets few requests at a time.", "target", c.Target, "for", c.For)
	case control.ShareGap:
		l.logShareGap(c)
	case control.SchedulerAvoided:
		l.log.Warn("control: Scheduler does not answer, granting locally.", "scheduler", c.Node, "pool", c.Pool, "silent", c.UnresponsiveFor)
	}
}

// logShareGap logs that a workspace was granted much less than another one. Amounts are
// seconds of service per second.
func (l *loop) logShareGap(c control.ShareGap) {
	l.log.Warn("control: Workspace was granted less than half of another.",
		"pool", c.Shard.Pool, "workspace", c.Gap.Workspace,
		"asked", c.Gap.Demand, "refused_unread", c.Gap.Unread, "granted", c.Gap.Granted, "refused_here", c.Gap.RefusedHere,
		"best", c.Gap.Best, "best_granted", c.Gap.BestGranted, "level", c.Gap.Level)
}

// logPartsQuarantine logs which prompt parts are refused from now on, or no longer.
func (l *loop) logPartsQuarantine(c control.PartsQuarantineChanged) {
	parts := make([]string, len(c.Change.Parts))
	for i, part := range c.Change.Parts {
		parts[i] = strconv.FormatUint(part, 16)
	}
	l.log.Warn("quarantine: Quarantine of prompt parts changed.", "pool", c.Pool, "parts", parts, "quarantined", c.Change.Refused, "crashes", c.Change.Crashes)
}

// logTargetHealth logs whether this router, as a scheduler, considers a target failing from
// now on.
func (l *loop) logTargetHealth(c control.TargetHealthChanged) {
	if c.Failing {
		l.log.Warn("control: Target is failing and gets no requests for now.", "target", c.Target, "cause", c.Cause, "failures", c.Failures, "pause", c.Backoff)
		return
	}
	l.log.Info("control: Target gets requests again.", "target", c.Target, "cause", c.Cause, "failures", c.Failures)
}

// deliverGrant passes a grant to its waiter. If the waiter is gone, the grant is
// returned to the machine as not run.
func (l *loop) deliverGrant(c control.Dispatch) {
	w := l.takeWaiter(c.Request, c.Attempt)
	if w == nil {
		returned := control.RunEnded{Request: c.Request, Grant: c.Grant, Outcome: control.OutcomeNotRun}
		for _, command := range l.machine.Step(l.now(), returned) {
			l.execute(command)
		}
		return
	}
	w.answer <- grantAnswer{dispatch: &c}
}

// deliverRefusal passes a refusal to its waiter, if it still waits.
func (l *loop) deliverRefusal(c control.Refuse) {
	w := l.takeWaiter(c.Request, c.Attempt)
	if w == nil {
		return
	}
	w.answer <- grantAnswer{refuse: &c}
}

// deliverAffinity passes the result of a lookup to the request that waits for it.
func (l *loop) deliverAffinity(c control.AffinityFound) {
	if answer, waits := l.lookups[c.Request]; waits {
		delete(l.lookups, c.Request)
		answer <- c
	}
}

// takeWaiter removes and returns the waiter of one attempt, or nil if there is none.
// Its answer channel has room for one answer, so sending to it never blocks.
func (l *loop) takeWaiter(request control.RequestID, attempt uint32) *waiter {
	w := l.waiters[request]
	if w == nil || w.attempt != attempt {
		return nil
	}
	delete(l.waiters, request)
	return w
}
