package quarantine

import (
	"maps"
	"slices"
)

// Tracker holds the evidence that one router knows. Its memory is bounded by
// Options. It is not safe for concurrent use.
type Tracker struct {
	options Options
	// crashes are the confirmed crashes, in the order in which they were told.
	crashes []*crash
	// unconfirmed are broken connections of targets not known to have crashed.
	unconfirmed []loss
	// confirmed is when each target was last known to have crashed.
	confirmed map[string]Instant
	// alive is the time in which each retracted target did not crash. It keeps
	// out a notice of a crash that comes after its retraction.
	alive map[string]span
	// convicted is the last known crash of each convicted fingerprint.
	convicted   map[uint64]Instant
	completions completions
	// verdicts are the verdicts other than clear, as last reported.
	verdicts map[uint64]Verdict
	// changed says that the evidence changed since the last judgement.
	changed bool
}

// crash is one crash of a target.
type crash struct {
	target string
	at     Instant
	// heardAt is when this router heard of it.
	heardAt Instant
	// running are the fingerprints that may have caused it, sorted.
	running []uint64
}

// loss is one or more broken connections to a target.
type loss struct {
	target  string
	at      Instant
	running []uint64
}

// span is a time in which a target is known not to have crashed.
type span struct{ since, until Instant }

func (s span) has(at Instant) bool { return at >= s.since && at <= s.until }

// New returns an empty tracker.
func New(options Options) *Tracker {
	options = options.withDefaults()
	return &Tracker{
		options:     options,
		confirmed:   make(map[string]Instant),
		alive:       make(map[string]span),
		convicted:   make(map[uint64]Instant),
		completions: newCompletions(options.MaxCompletions),
		verdicts:    make(map[uint64]Verdict),
	}
}

// Verdict returns the verdict on a fingerprint.
func (t *Tracker) Verdict(fingerprint uint64) Verdict {
	return t.verdicts[fingerprint]
}

// Lost says that the connections to a target broke while it ran fingerprints.
// It counts as a crash if the target is known to have crashed within
// Options.ConfirmWindow before or after.
func (t *Tracker) Lost(now Instant, target string, running []uint64) Output {
	if at, ok := t.confirmed[target]; ok && now-at <= t.options.ConfirmWindow {
		return t.Crashed(now, target, running)
	}
	if len(t.unconfirmed) >= t.options.MaxCrashes {
		t.unconfirmed = t.unconfirmed[1:]
	}
	t.unconfirmed = append(t.unconfirmed, loss{target: target, at: now, running: t.bounded(running)})
	return Output{}
}

// CrashConfirmed says that a target went down or restarted: its start identity
// changed, or routers of several data centres cannot reach it.
func (t *Tracker) CrashConfirmed(now Instant, target string) Output {
	var out Output
	t.confirm(now, target, &out)
	t.judge(&out)
	return out
}

// Alive says that a target has run without a restart from since until now: it
// still reports the start identity that it had then. Broken connections to it
// are forgotten, and a crash in that time is retracted everywhere.
func (t *Tracker) Alive(now, since Instant, target string) Output {
	var out Output
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(l loss) bool { return l.target == target })
	if t.alive[target] == (span{}) && !t.crashedWithin(target, span{since, now}) {
		return out
	}
	t.retract(now, target, span{since, now}, &out)
	t.judge(&out)
	return out
}

// Crashed says that a target surely crashed while it ran fingerprints. It may
// be called for one crash by several routers, each with what it knows.
func (t *Tracker) Crashed(now Instant, target string, running []uint64) Output {
	var out Output
	t.addCrash(now, now, target, running, &out)
	t.confirm(now, target, &out)
	t.judge(&out)
	return out
}

// Completed says that a fingerprint ran to completion, on whichever target. It
// is cleared of all that was held against it.
func (t *Tracker) Completed(now Instant, fingerprint uint64) Output {
	var out Output
	t.clear(now, now, fingerprint, &out)
	t.judge(&out)
	return out
}

// Merge takes in a notice of another router. The notices of the output are to
// be sent on; there are none if the notice was no news, so that spreading ends.
func (t *Tracker) Merge(now Instant, notice Notice) Output {
	var out Output
	at := now - max(notice.Age, 0)
	switch notice.Kind {
	case NoticeCrash:
		t.mergeCrash(now, at, notice, &out)
	case NoticeClearance:
		t.clear(now, at, notice.Fingerprint, &out)
	case NoticeRetraction:
		t.retract(now, notice.Target, span{at, now}, &out)
	}
	t.judge(&out)
	return out
}

// State returns the evidence known here, for a router that has just been
// connected or has restarted.
func (t *Tracker) State(now Instant) []Notice {
	var notices []Notice
	for _, c := range t.crashes {
		notices = append(notices, c.notice(now))
	}
	return notices
}

// Expire forgets what is too old. It should be called about once a second.
func (t *Tracker) Expire(now Instant) Output {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		old := t.expired(now, c)
		t.changed = t.changed || old
		return old
	})
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(l loss) bool {
		return now-l.at > t.options.ConfirmWindow
	})
	maps.DeleteFunc(t.confirmed, func(_ string, at Instant) bool {
		return now-at > t.options.ConfirmWindow
	})
	maps.DeleteFunc(t.alive, func(_ string, s span) bool {
		return now-s.until > t.options.ConfirmWindow
	})
	t.completions.expire(now - t.options.EvidenceTTL - t.options.CompletionTTL)
	var out Output
	t.judge(&out)
	return out
}

// expired says whether a crash no longer counts. One that a conviction
// explains is kept for as long as the conviction. One heard of just now is
// kept until the notices that belong to it have arrived.
func (t *Tracker) expired(now Instant, c *crash) bool {
	if now-c.at < t.options.EvidenceTTL || now-c.heardAt < t.options.ConfirmWindow {
		return false
	}
	for _, fingerprint := range c.running {
		if last, ok := t.convicted[fingerprint]; ok && now-last < t.options.ConvictionTTL {
			return false
		}
	}
	return true
}

// confirm notes that a target crashed, and counts the connections to it that
// broke shortly before.
func (t *Tracker) confirm(now Instant, target string, out *Output) {
	t.confirmed[target] = now
	var running []uint64
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(l loss) bool {
		if l.target == target && now-l.at <= t.options.ConfirmWindow {
			running = append(running, l.running...)
		}
		return l.target == target
	})
	t.addCrash(now, now, target, running, out)
}

// mergeCrash takes in another router's notice of a crash. One that is old
// comes from Tracker.State and need not be sent on.
func (t *Tracker) mergeCrash(now, at Instant, notice Notice, out *Output) {
	t.addCrash(now, at, notice.Target, notice.Running, out)
	if now-at <= t.options.ConfirmWindow {
		t.confirm(now, notice.Target, out)
	}
	if now-at >= t.options.EvidenceTTL {
		out.Notices = nil
	}
}

// retract removes the crashes of a target within a time, and tells the others
// if there was one.
func (t *Tracker) retract(now Instant, target string, s span, out *Output) {
	t.alive[target] = s
	if s.has(t.confirmed[target]) {
		delete(t.confirmed, target)
	}
	if !t.crashedWithin(target, s) {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return c.target == target && s.has(c.at) })
	t.changed = true
	out.Notices = append(out.Notices, Notice{Kind: NoticeRetraction, Target: target, Age: now - s.since})
}

func (t *Tracker) crashedWithin(target string, s span) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.target == target && s.has(c.at) })
}

// addCrash adds fingerprints to a crash, and to out what was news.
func (t *Tracker) addCrash(now, at Instant, target string, running []uint64, out *Output) {
	if s, ok := t.alive[target]; ok && s.has(at) {
		return
	}
	var suspects []uint64
	for _, fingerprint := range t.bounded(running) {
		if done := t.clearedOf(fingerprint, at); done != nil {
			done.announce(now, out)
			continue
		}
		suspects = append(suspects, fingerprint)
	}
	if len(suspects) == 0 {
		return
	}
	known := t.crashNear(now, at, target)
	if !known.add(suspects, t.options.MaxRunning) {
		return
	}
	t.changed = true
	out.Notices = append(out.Notices, known.notice(now))
}

// add adds fingerprints up to a limit, and says whether any was new.
func (c *crash) add(fingerprints []uint64, limit int) bool {
	news := false
	for _, fingerprint := range fingerprints {
		i, found := slices.BinarySearch(c.running, fingerprint)
		if found || len(c.running) >= limit {
			continue
		}
		c.running = slices.Insert(c.running, i, fingerprint)
		news = true
	}
	return news
}

func (c *crash) notice(now Instant) Notice {
	return Notice{Kind: NoticeCrash, Target: c.target, Running: slices.Clone(c.running), Age: now - c.at}
}

// crashNear returns the crash of a target about the time, and adds one if none
// is known.
func (t *Tracker) crashNear(now, at Instant, target string) *crash {
	for _, c := range t.crashes {
		if c.target == target && (c.at-at).Abs() <= t.options.ConfirmWindow {
			return c
		}
	}
	if len(t.crashes) >= t.options.MaxCrashes {
		t.dropCrash()
	}
	c := &crash{target: target, at: at, heardAt: now}
	t.crashes = append(t.crashes, c)
	return c
}

// dropCrash forgets the oldest crash, if it can be one that no conviction
// rests on.
func (t *Tracker) dropCrash() {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return !t.explained(c) })
	i = max(i, 0)
	t.crashes = slices.Delete(t.crashes, i, i+1)
}

// clear notes a run to completion at a time.
func (t *Tracker) clear(now, at Instant, fingerprint uint64, out *Output) {
	t.completions.add(fingerprint, at)
	news := false
	for _, c := range t.crashes {
		i, found := slices.BinarySearch(c.running, fingerprint)
		if found && at > c.at-t.options.CompletionTTL {
			c.running = slices.Delete(c.running, i, i+1)
			news = true
		}
	}
	if !news {
		return
	}
	t.changed = true
	out.Notices = append(out.Notices, Notice{Kind: NoticeClearance, Fingerprint: fingerprint, Age: now - at})
}

// clearedOf returns the known completion that clears a fingerprint of a crash
// at a time, or nil.
func (t *Tracker) clearedOf(fingerprint uint64, at Instant) *completion {
	return t.completions.after(fingerprint, at-t.options.CompletionTTL)
}

// bounded returns up to MaxRunning distinct fingerprints, sorted.
func (t *Tracker) bounded(running []uint64) []uint64 {
	sorted := slices.Clone(running)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return sorted[:min(len(sorted), t.options.MaxRunning)]
}
