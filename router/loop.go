package router

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
)

const (
	// leastTick is the least time between two ticks. The machine says when it
	// wants the next one; waking up for nothing costs more than the ticks do.
	leastTick = 20 * time.Millisecond
	// inboxSize bounds the events waiting for the control goroutine. Senders
	// wait when it is full, which slows traffic rather than losing an event.
	inboxSize = 4096
)

// controlBusy is the time that the control goroutine spent on events.
var controlBusy = metrics.GetOrCreateFloatCounter(`walnut_control_busy_seconds_total`)

// loop is the control goroutine: it owns the control state machine, feeds it
// events and carries out its commands. Nothing else touches the machine.
type loop struct {
	machine *control.Machine
	started time.Time
	inbox   chan posted
	queries chan func(*control.Machine)
	done    chan struct{}
	shell   shell
	log     *slog.Logger
	waiters map[control.RequestID]*waiter
	// wake fires at wakeAt for the next tick; the last one was at tickedAt.
	wake             *time.Timer
	wakeAt, tickedAt control.Instant
	// counters is a copy of the machine's, renewed at each tick.
	counters atomic.Pointer[control.Counters]
	// members is the version of the live members that the shell was told last.
	members uint64
}

// shell carries commands out. Its methods must not block.
type shell interface {
	send(to control.NodeID, message control.Message)
	watchTargets(targets []string)
	quarantineChanged(fingerprint uint64, quarantined bool)
	versionSeen(from control.NodeID, version uint64)
	feedTurn(turn control.FeedRole)
	feedsDoubted()
	membersChanged(alive []control.NodeID)
	drained()
}

// waiter is a traffic goroutine that waits for a grant.
type waiter struct {
	attempt uint32
	answer  chan grantAnswer
}

// grantAnswer is a Dispatch or a Refuse for a waiter.
type grantAnswer struct {
	dispatch *control.Dispatch
	refuse   *control.Refuse
}

// posted is an event on its way to the control goroutine. An arrival brings its
// waiter along, so that the answer cannot come before the waiter is known. All
// events share one channel: a cancellation must not overtake its arrival.
type posted struct {
	event  control.Event
	waiter *waiter
}

func newLoop(machine *control.Machine, shell shell, log *slog.Logger) *loop {
	return &loop{
		machine: machine,
		started: time.Now(),
		inbox:   make(chan posted, inboxSize),
		queries: make(chan func(*control.Machine)),
		done:    make(chan struct{}),
		shell:   shell,
		log:     log,
		waiters: make(map[control.RequestID]*waiter),
	}
}

// now is the machine's time.
func (l *loop) now() control.Instant { return time.Since(l.started) }

// instant converts a deadline to the machine's time.
func (l *loop) instant(t time.Time) control.Instant { return t.Sub(l.started) }

// run is the control goroutine. It returns when stop closes.
func (l *loop) run(stop <-chan struct{}) {
	defer close(l.done)
	l.wake = time.NewTimer(leastTick)
	defer l.wake.Stop()
	for {
		select {
		case <-stop:
			return
		case p := <-l.inbox:
			l.take(p)
			l.wakeEarlier()
		case query := <-l.queries:
			query(l.machine)
		case <-l.wake.C:
			l.tick()
		}
	}
}

// tick lets time pass and sets the next tick.
func (l *loop) tick() {
	l.step(control.Tick{})
	counters := l.machine.Counters()
	l.counters.Store(&counters)
	l.tellMembers()
	l.tickedAt = l.now()
	l.wakeAt = max(l.machine.NextWake(), l.tickedAt+leastTick)
	l.wake.Reset(l.wakeAt - l.tickedAt)
}

// wakeEarlier moves the next tick forward if an event made that necessary.
func (l *loop) wakeEarlier() {
	at := max(l.machine.NextWake(), l.tickedAt+leastTick)
	if at >= l.wakeAt {
		return
	}
	l.wakeAt = at
	l.wake.Reset(l.wakeAt - l.now())
}

// tellMembers tells the shell which members live, if that has changed.
func (l *loop) tellMembers() {
	version := l.machine.AliveVersion()
	if version == l.members {
		return
	}
	l.members = version
	l.shell.membersChanged(l.machine.AliveNodes())
}

// post sends an event to the control goroutine. It reports false once the
// goroutine has ended.
func (l *loop) post(event control.Event) bool {
	return l.postWith(event, nil)
}

// postWith is post for an arrival and its waiter.
func (l *loop) postWith(event control.Event, w *waiter) bool {
	select {
	case l.inbox <- posted{event: event, waiter: w}:
		return true
	case <-l.done:
		return false
	}
}

// take feeds a posted event to the machine.
func (l *loop) take(p posted) {
	if arrival, ok := p.event.(control.RequestArrived); ok {
		l.waiters[arrival.Request] = p.waiter
	}
	l.step(p.event)
}

// query runs f on the control goroutine and waits for it.
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

func (l *loop) step(event control.Event) {
	start := time.Now()
	defer func() { controlBusy.Add(time.Since(start).Seconds()) }()
	if cancelled, ok := event.(control.RequestCancelled); ok {
		delete(l.waiters, cancelled.Request)
	}
	for _, command := range l.machine.Step(l.now(), event) {
		l.carryOut(command)
	}
}

func (l *loop) carryOut(command control.Command) {
	switch c := command.(type) {
	case control.Send:
		l.shell.send(c.To, c.Message)
	case control.Dispatch:
		l.dispatch(c)
	case control.Refuse:
		l.refuse(c)
	case control.WatchTargets:
		l.shell.watchTargets(c.Targets)
	case control.QuarantineChanged:
		l.shell.quarantineChanged(c.Fingerprint, c.Quarantined)
	case control.VersionSeen:
		l.shell.versionSeen(c.From, c.Version)
	case control.FeedRole:
		l.shell.feedTurn(c)
	case control.RecheckFeeds:
		l.shell.feedsDoubted()
	case control.Drained:
		l.shell.drained()
	case control.TargetHealthChanged:
		l.logJudgement(c)
	case control.TargetLeaving:
		l.log.Info("control: Target says that it leaves.", "target", c.Target, "told", c.From)
	case control.TargetCold:
		l.log.Info("control: Target is cold, few requests at a time.", "target", c.Target, "for", c.For)
	case control.ShareGap:
		l.logGap(c)
	case control.SchedulerAvoided:
		l.log.Warn("control: Scheduler does not answer, granting here.", "scheduler", c.Node, "pool", c.Pool, "silent", c.SilentFor)
	}
}

// logGap tells that a workspace was granted much less than another one. Amounts are a second,
// in seconds of service.
func (l *loop) logGap(c control.ShareGap) {
	l.log.Warn("control: Workspace was granted less than half of another.",
		"pool", c.Shard.Pool, "workspace", c.Gap.Workspace,
		"asked", c.Gap.Asked, "refused_unread", c.Gap.Unread, "granted", c.Gap.Granted, "refused_here", c.Gap.RefusedHere,
		"best", c.Gap.Best, "best_granted", c.Gap.BestGranted)
}

// logJudgement tells what this router thinks of a target from now on.
func (l *loop) logJudgement(c control.TargetHealthChanged) {
	if c.Failing {
		l.log.Warn("control: Target is passed over.", "target", c.Target, "cause", c.Cause, "failures", c.Failures, "pause", c.Backoff)
		return
	}
	l.log.Info("control: Target serves again.", "target", c.Target, "cause", c.Cause, "failures", c.Failures)
}

// dispatch hands a grant to its waiter. A grant whose waiter has gone is
// returned to the machine as not run.
func (l *loop) dispatch(c control.Dispatch) {
	w := l.waiterOf(c.Request, c.Attempt)
	if w == nil {
		returned := control.RunEnded{Request: c.Request, Grant: c.Grant, Outcome: control.OutcomeNotRun}
		for _, command := range l.machine.Step(l.now(), returned) {
			l.carryOut(command)
		}
		return
	}
	w.answer <- grantAnswer{dispatch: &c}
}

func (l *loop) refuse(c control.Refuse) {
	w := l.waiterOf(c.Request, c.Attempt)
	if w == nil {
		return
	}
	w.answer <- grantAnswer{refuse: &c}
}

// waiterOf removes and returns the waiter of one attempt, or nil. Its answer
// channel has room for one answer, so sending to it never blocks.
func (l *loop) waiterOf(request control.RequestID, attempt uint32) *waiter {
	w := l.waiters[request]
	if w == nil || w.attempt != attempt {
		return nil
	}
	delete(l.waiters, request)
	return w
}
