package quarantine

import (
	"maps"
	"slices"
)

// Tracker holds the evidence that one router knows, and the verdicts that follow from
// it. Its memory is bounded by Options. It is not safe for concurrent use.
type Tracker struct {
	options Options
	// crashes holds the confirmed crashes, in the order in which they were reported.
	crashes []*crash
	// unconfirmed holds the broken connections to targets that are not known to have
	// crashed.
	unconfirmed []loss
	// confirmedAt is when each target was last known to have crashed.
	confirmedAt map[string]Instant
	// uptimes holds the time in which each target whose crash was retracted is known to
	// have run. It rejects a notice of the crash that arrives after the retraction.
	uptimes map[string]interval
	// convicted holds the last known crash of each convicted fingerprint.
	convicted   map[uint64]Instant
	completions completions
	// verdicts holds all verdicts except VerdictClear, as last reported.
	verdicts map[uint64]Verdict
	// changed is set if the evidence changed since the verdicts were last computed.
	changed bool
}

// crash is one crash of a target.
type crash struct {
	target string
	at     Instant
	// reportedAt is when this router learned of it.
	reportedAt Instant
	// running holds the fingerprints that may have caused it, sorted.
	running []uint64
}

// loss is one or more broken connections to a target.
type loss struct {
	target  string
	at      Instant
	running []uint64
}

// interval is a time in which a target is known not to have crashed.
type interval struct{ since, until Instant }

func (i interval) contains(at Instant) bool { return at >= i.since && at <= i.until }

// New returns an empty tracker.
func New(options Options) *Tracker {
	options = options.withDefaults()
	return &Tracker{
		options:     options,
		confirmedAt: make(map[string]Instant),
		uptimes:     make(map[string]interval),
		convicted:   make(map[uint64]Instant),
		completions: newCompletions(options.MaxCompletions),
		verdicts:    make(map[uint64]Verdict),
	}
}

// Verdict returns the verdict on a fingerprint.
func (t *Tracker) Verdict(fingerprint uint64) Verdict {
	return t.verdicts[fingerprint]
}

// ConnectionsLost records that the connections to a target broke while it ran
// fingerprints. It counts as a crash if the target is known to have crashed within
// Options.ConfirmWindow before or after.
func (t *Tracker) ConnectionsLost(now Instant, target string, running []uint64) Output {
	if at, ok := t.confirmedAt[target]; ok && now-at <= t.options.ConfirmWindow {
		return t.Crashed(now, target, running)
	}
	if len(t.unconfirmed) >= t.options.MaxCrashes {
		t.unconfirmed = t.unconfirmed[1:]
	}
	t.unconfirmed = append(t.unconfirmed, loss{target: target, at: now, running: t.normalise(running)})
	return Output{}
}

// CrashConfirmed records that a target went down or restarted: its start identity
// changed, or routers of several data centres cannot reach it.
func (t *Tracker) CrashConfirmed(now Instant, target string) Output {
	var out Output
	t.confirm(now, target, &out)
	t.updateVerdicts(&out)
	return out
}

// StillRunning records that a target has run without a restart from since until now, as
// it still reports the start identity that it had then. Broken connections to it are
// forgotten, and a crash in that time is retracted on all routers.
func (t *Tracker) StillRunning(now, since Instant, target string) Output {
	var out Output
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(l loss) bool { return l.target == target })
	if t.uptimes[target] == (interval{}) && !t.crashedWithin(target, interval{since, now}) {
		return out
	}
	t.retract(now, target, interval{since, now}, &out)
	t.updateVerdicts(&out)
	return out
}

// Crashed records that a target certainly crashed while it ran fingerprints. Several
// routers may report the same crash, each with the fingerprints that it knows of.
func (t *Tracker) Crashed(now Instant, target string, running []uint64) Output {
	var out Output
	t.addCrash(now, now, target, running, &out)
	t.confirm(now, target, &out)
	t.updateVerdicts(&out)
	return out
}

// Completed records that a fingerprint ran to completion, on any target. This removes it
// from the crashes that are known.
func (t *Tracker) Completed(now Instant, fingerprint uint64) Output {
	var out Output
	t.clear(now, now, fingerprint, &out)
	t.updateVerdicts(&out)
	return out
}

// Merge adds a notice from another router. The notices of the output have to be sent on.
// There are none if the notice contained nothing new, so that forwarding ends.
func (t *Tracker) Merge(now Instant, notice Notice) Output {
	var out Output
	at := now - max(notice.Age, 0)
	switch notice.Kind {
	case NoticeCrash:
		t.mergeCrash(now, at, notice, &out)
	case NoticeClearance:
		t.clear(now, at, notice.Fingerprint, &out)
	case NoticeRetraction:
		t.retract(now, notice.Target, interval{at, now}, &out)
	}
	t.updateVerdicts(&out)
	return out
}

// Evidence returns the evidence known here, for a router that has just connected or
// restarted.
func (t *Tracker) Evidence(now Instant) []Notice {
	var notices []Notice
	for _, c := range t.crashes {
		notices = append(notices, c.notice(now))
	}
	return notices
}

// Expire removes evidence that is too old. It should be called about once per second.
func (t *Tracker) Expire(now Instant) Output {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		old := t.expired(now, c)
		t.changed = t.changed || old
		return old
	})
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(l loss) bool {
		return now-l.at > t.options.ConfirmWindow
	})
	maps.DeleteFunc(t.confirmedAt, func(_ string, at Instant) bool {
		return now-at > t.options.ConfirmWindow
	})
	maps.DeleteFunc(t.uptimes, func(_ string, uptime interval) bool {
		return now-uptime.until > t.options.ConfirmWindow
	})
	t.completions.expire(now - t.options.EvidenceTTL - t.options.CompletionTTL)
	var out Output
	t.updateVerdicts(&out)
	return out
}

// expired reports whether a crash no longer counts. A crash that is explained by a
// conviction is kept as long as the conviction. One that was reported within
// Options.ConfirmWindow is kept until the other notices about it have arrived.
func (t *Tracker) expired(now Instant, c *crash) bool {
	if now-c.at < t.options.EvidenceTTL || now-c.reportedAt < t.options.ConfirmWindow {
		return false
	}
	for _, fingerprint := range c.running {
		if last, ok := t.convicted[fingerprint]; ok && now-last < t.options.ConvictionTTL {
			return false
		}
	}
	return true
}

// confirm records that a target crashed, with what ran on the connections to it that
// broke shortly before.
func (t *Tracker) confirm(now Instant, target string, out *Output) {
	t.confirmedAt[target] = now
	var running []uint64
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(l loss) bool {
		if l.target == target && now-l.at <= t.options.ConfirmWindow {
			running = append(running, l.running...)
		}
		return l.target == target
	})
	t.addCrash(now, now, target, running, out)
}

// mergeCrash adds another router's notice of a crash. A notice that is older than
// Options.EvidenceTTL comes from Tracker.Evidence and is not sent on.
func (t *Tracker) mergeCrash(now, at Instant, notice Notice, out *Output) {
	t.addCrash(now, at, notice.Target, notice.Running, out)
	if now-at <= t.options.ConfirmWindow {
		t.confirm(now, notice.Target, out)
	}
	if now-at >= t.options.EvidenceTTL {
		out.Notices = nil
	}
}

// retract removes the crashes of a target within an interval, and notifies the other
// routers if there was one.
func (t *Tracker) retract(now Instant, target string, uptime interval, out *Output) {
	t.uptimes[target] = uptime
	if uptime.contains(t.confirmedAt[target]) {
		delete(t.confirmedAt, target)
	}
	if !t.crashedWithin(target, uptime) {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return c.target == target && uptime.contains(c.at) })
	t.changed = true
	out.Notices = append(out.Notices, Notice{Kind: NoticeRetraction, Target: target, Age: now - uptime.since})
}

func (t *Tracker) crashedWithin(target string, uptime interval) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.target == target && uptime.contains(c.at) })
}

// addCrash adds fingerprints to a crash, and a notice to out if any of them was new.
func (t *Tracker) addCrash(now, at Instant, target string, running []uint64, out *Output) {
	if uptime, ok := t.uptimes[target]; ok && uptime.contains(at) {
		return
	}
	var suspects []uint64
	for _, fingerprint := range t.normalise(running) {
		if done := t.clearingCompletion(fingerprint, at); done != nil {
			done.announce(now, out)
			continue
		}
		suspects = append(suspects, fingerprint)
	}
	if len(suspects) == 0 {
		return
	}
	known := t.findOrAddCrash(now, at, target)
	if !known.add(suspects, t.options.MaxRunning) {
		return
	}
	t.changed = true
	out.Notices = append(out.Notices, known.notice(now))
}

// add adds fingerprints up to a limit, and reports whether any was new.
func (c *crash) add(fingerprints []uint64, limit int) bool {
	added := false
	for _, fingerprint := range fingerprints {
		i, found := slices.BinarySearch(c.running, fingerprint)
		if found || len(c.running) >= limit {
			continue
		}
		c.running = slices.Insert(c.running, i, fingerprint)
		added = true
	}
	return added
}

func (c *crash) notice(now Instant) Notice {
	return Notice{Kind: NoticeCrash, Target: c.target, Running: slices.Clone(c.running), Age: now - c.at}
}

// findOrAddCrash returns the known crash of a target around the given time, or adds one.
func (t *Tracker) findOrAddCrash(now, at Instant, target string) *crash {
	for _, c := range t.crashes {
		if c.target == target && (c.at-at).Abs() <= t.options.ConfirmWindow {
			return c
		}
	}
	if len(t.crashes) >= t.options.MaxCrashes {
		t.dropCrash()
	}
	c := &crash{target: target, at: at, reportedAt: now}
	t.crashes = append(t.crashes, c)
	return c
}

// dropCrash removes the oldest crash that no conviction depends on, or else the oldest.
func (t *Tracker) dropCrash() {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return !t.isExplained(c) })
	i = max(i, 0)
	t.crashes = slices.Delete(t.crashes, i, i+1)
}

// clear records a run to completion at the given time.
func (t *Tracker) clear(now, at Instant, fingerprint uint64, out *Output) {
	t.completions.add(fingerprint, at)
	removed := false
	for _, c := range t.crashes {
		i, found := slices.BinarySearch(c.running, fingerprint)
		if found && at > c.at-t.options.CompletionTTL {
			c.running = slices.Delete(c.running, i, i+1)
			removed = true
		}
	}
	if !removed {
		return
	}
	t.changed = true
	out.Notices = append(out.Notices, Notice{Kind: NoticeClearance, Fingerprint: fingerprint, Age: now - at})
}

// clearingCompletion returns the known completion that clears a fingerprint of a crash
// at the given time, or nil.
func (t *Tracker) clearingCompletion(fingerprint uint64, at Instant) *completion {
	return t.completions.after(fingerprint, at-t.options.CompletionTTL)
}

// normalise returns up to MaxRunning distinct fingerprints, sorted.
func (t *Tracker) normalise(running []uint64) []uint64 {
	sorted := slices.Clone(running)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return sorted[:min(len(sorted), t.options.MaxRunning)]
}
