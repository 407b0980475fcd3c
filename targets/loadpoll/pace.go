package loadpoll

import (
	"time"

	"github.com/walnutcove/walnutcove/targets"
)

const (
	// fastPolls is how many polls use the fast interval after a significant change.
	fastPolls = 4
	// minLoadChange and minLoadChangePart define a significant change of the load: one of more
	// than this number of runs and of more than this part of the slots.
	minLoadChange     = 4
	minLoadChangePart = 0.5
)

// pace decides when a target is polled next, and whether that poll requests the cached
// prefixes. The zero value is that of a new target.
type pace struct {
	// hasLoad reports that the last poll returned a load, which is last.
	hasLoad bool
	last    targets.Load
	// fastLeft is how many of the next pauses are short.
	fastLeft int
	// withoutPrefixes counts the polls since the last one that requested or returned prefixes;
	// prefixes are what that one returned.
	withoutPrefixes int
	prefixes        []uint64
}

// wantsPrefixes reports whether the next poll should request the cached prefixes.
func (p *pace) wantsPrefixes(every int) bool {
	return !p.hasLoad || p.withoutPrefixes+1 >= every
}

// recordFailure handles a poll without a result: the target may have restarted.
func (p *pace) recordFailure() { *p = pace{fastLeft: fastPolls} }

// record handles a report. A report without requested prefixes gets those reported last, unless
// the target sent some anyway.
func (p *pace) record(load targets.Load, requested bool) targets.Load {
	switch {
	case !p.hasLoad || isSignificantChange(p.last, load):
		p.fastLeft = fastPolls
	case p.fastLeft > 0:
		p.fastLeft--
	}
	if requested || len(load.CachedPrefixes) > 0 {
		p.prefixes = load.CachedPrefixes
		p.withoutPrefixes = 0
	} else {
		p.withoutPrefixes++
	}
	load.CachedPrefixes = p.prefixes
	p.hasLoad = true
	p.last = load
	return load
}

// pause returns the mean time until the next poll.
func (p *pace) pause(o Options) time.Duration {
	if !p.hasLoad || p.fastLeft > 0 {
		return o.Every
	}
	return o.SlowEvery
}

// isSignificantChange reports whether a report differs from the one before in a way that the
// completions of the target's requests do not show.
func isSignificantChange(before, now targets.Load) bool {
	if before.StartID != now.StartID || before.Slots != now.Slots || before.Leaving != now.Leaving {
		return true
	}
	change := now.Running + now.Queued - before.Running - before.Queued
	if change < 0 {
		change = -change
	}
	return change > minLoadChange && float64(change) > minLoadChangePart*float64(now.Slots)
}
