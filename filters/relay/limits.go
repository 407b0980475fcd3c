package relay

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// Limits of the answer to a request whose run outlives its caller.
const (
	// overdueGrace is how long after its deadline an answer on a route may last. Targets are told
	// the deadline and stop working then; the rest is for their answers to arrive.
	overdueGrace = time.Second
	// maxUnattendedBytes and maxUnattendedTime bound what is read of an answer after its caller has
	// gone. Targets that are not told a deadline may need long.
	maxUnattendedBytes = 64 << 20
	maxUnattendedTime  = 10 * time.Minute
)

// limitReason is which limit ended an answer, as written in the counter's label.
type limitReason string

const (
	limitDeadline        limitReason = "deadline"
	limitUnattendedBytes limitReason = "unattended_bytes"
	limitUnattendedTime  limitReason = "unattended_time"
)

var limitCounts = map[limitReason]*metrics.Counter{
	limitDeadline:        newLimitCount(limitDeadline),
	limitUnattendedBytes: newLimitCount(limitUnattendedBytes),
	limitUnattendedTime:  newLimitCount(limitUnattendedTime),
}

func newLimitCount(reason limitReason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("walnut_relay_ended_answers_total{limit=%q}", string(reason)))
}

// limits bound the answer to a request whose run outlives its caller: nothing else ends one that
// its target sends without end. The zero value has no limits.
type limits struct {
	ex    *pipeline.Exchange
	timer *time.Timer // nil if only unattended answers are limited
	// unattendedSince is when the caller was first found gone, and unattendedBytes is how much has
	// arrived since. Only the reader uses them.
	unattendedSince time.Time
	unattendedBytes int64

	mu     sync.Mutex
	reason limitReason // empty while no limit is reached
}

// begin starts the limits of an exchange. onDeadline is called when the answer has lasted too long.
func (l *limits) begin(ex *pipeline.Exchange, onDeadline func()) {
	if !ex.OutlivesCaller() {
		return
	}
	l.ex = ex
	if ex.Route == nil {
		return // its deadline is for the beginning of the run
	}
	l.timer = time.AfterFunc(max(0, time.Until(ex.Deadline))+overdueGrace, func() {
		l.reach(limitDeadline)
		onDeadline()
	})
}

// stop ends the timer.
func (l *limits) stop() {
	if l.timer != nil {
		l.timer.Stop()
	}
}

// add counts bytes that have arrived.
func (l *limits) add(bytes int) {
	if l.ex == nil || !l.ex.IsUnattended() {
		return
	}
	if l.unattendedSince.IsZero() {
		l.unattendedSince = time.Now()
	}
	l.unattendedBytes += int64(bytes)
	switch {
	case l.unattendedBytes > maxUnattendedBytes:
		l.reach(limitUnattendedBytes)
	case time.Since(l.unattendedSince) > maxUnattendedTime:
		l.reach(limitUnattendedTime)
	}
}

// reach records that a limit is reached. Only the first call has an effect.
func (l *limits) reach(reason limitReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == "" {
		l.reason = reason
		limitCounts[reason].Inc()
	}
}

// errLimit is the cause of the errors of answers that have reached a limit.
var errLimit = errors.New("relay: answer without an end")

// err returns the error of an answer that has reached a limit, or nil.
func (l *limits) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == "" {
		return nil
	}
	return result.Wrap(result.AnswerTooSlow, errLimit, "The answer did not end within its limit (%s).", l.reason)
}
