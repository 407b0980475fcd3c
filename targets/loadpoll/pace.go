package loadpoll

import (
	"time"

	"github.com/walnutcove/walnutcove/targets"
)

const (
	// quickPolls is how many polls are quick after something was new.
	quickPolls = 4
	// leastNews and newsPart say which change of the load is news: one of more
	// than so many runs and more than this part of the slots.
	leastNews = 4
	newsPart  = 0.5
)

// pace decides when a target is polled next, and whether that poll asks for
// the cached prefixes. The zero value is that of a new target.
type pace struct {
	known bool
	last  targets.Load
	// quick is how many of the next pauses are short.
	quick int
	// withoutPrefixes counts the polls since one asked for prefixes; prefixes
	// are what it gave.
	withoutPrefixes int
	prefixes        []uint64
}

// asksPrefixes says whether the next poll asks for the cached prefixes.
func (p *pace) asksPrefixes(every int) bool {
	return !p.known || p.withoutPrefixes+1 >= every
}

// failed takes in a poll without a result: the target may have restarted.
func (p *pace) failed() { *p = pace{quick: quickPolls} }

// learn takes a report in. One that was not asked for prefixes gets those
// reported last, unless the target sent some all the same.
func (p *pace) learn(load targets.Load, asked bool) targets.Load {
	switch {
	case !p.known || isNews(p.last, load):
		p.quick = quickPolls
	case p.quick > 0:
		p.quick--
	}
	if asked || len(load.CachedPrefixes) > 0 {
		p.prefixes = load.CachedPrefixes
		p.withoutPrefixes = 0
	} else {
		p.withoutPrefixes++
	}
	load.CachedPrefixes = p.prefixes
	p.known = true
	p.last = load
	return load
}

// pause is the mean time to the next poll.
func (p *pace) pause(o Options) time.Duration {
	if !p.known || p.quick > 0 {
		return o.Every
	}
	return o.SlowEvery
}

// isNews says whether a report differs from the one before in a way that the
// target's own completions do not tell.
func isNews(before, now targets.Load) bool {
	if before.StartID != now.StartID || before.Slots != now.Slots || before.Leaving != now.Leaving {
		return true
	}
	change := now.Running + now.Queued - before.Running - before.Queued
	if change < 0 {
		change = -change
	}
	return change > leastNews && float64(change) > newsPart*float64(now.Slots)
}
