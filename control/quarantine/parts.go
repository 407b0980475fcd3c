package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Parts finds the parts of prompts that crash every target that begins to answer them,
// whatever else the request contains. It does no I/O and reads no clock.
//
// The evidence of a crash is, for each run that may have caused it, the set of its suspects:
// the parts of its prompt that have not survived since. A part survives if a target began an
// answer on it and still ran some time later; that removes it from all evidence, as a part
// that crashes targets crashes each of them.
//
// A request is refused if MinCrashes crashes support that one of its parts is a cause. A
// crash supports it if some run there had no suspects besides those of the request: then the
// request contains whatever crashed that target. Runs that also had other suspects support
// it only as far as these differ from crash to crash, because one cause is then more likely
// than several. Where targets crash for other reasons at the same time, more crashes are needed.
//
// Such a request is tried nevertheless if it tells suspects apart, as a part that it lacks
// was at each of these crashes too, and when it has not been tried for long: the part may
// have been mended, or convicted by coincidence. Trials have to be made one at a time.
//
// Crashes at almost the same time count once: they may have one cause outside the requests,
// such as a loss of power. Routers exchange evidence, never verdicts.
//
// Parts is not safe for concurrent use.
type Parts struct {
	options PartOptions
	// crashes holds the known crashes, oldest first.
	crashes []*partCrash
	// suspects counts the runs in crashes that contain each part.
	suspects map[uint64]int
	// survived and survivedBefore hold when parts last survived. The older map is dropped when the
	// newer one is full or has been used for partMemory.
	survived, survivedBefore map[uint64]Instant
	survivedSince            Instant
	// refused holds the sets of parts that were last reported as refused, by key.
	refused map[string][]uint64
}

// PartOptions configure Parts. Fields that are zero have the stated defaults.
type PartOptions struct {
	// MinCrashes is the number of crashes after which requests are refused. Default 3.
	MinCrashes int
	// TTL is how long a crash counts. Default 1h.
	TTL time.Duration
	// MaxCrashes bounds the number of crashes held. Default 64.
	MaxCrashes int
}

const (
	// MaxCrashParts bounds the parts in the evidence of one crash, over all of its runs.
	MaxCrashParts = 100
	// MaxPartsPerRun bounds the parts of one run.
	MaxPartsPerRun = 16
	// othersPerCrash is the number of other crashes for which one more has to support a
	// refusal.
	othersPerCrash = 2
	// Simultaneous is the time within which crashes count as one.
	Simultaneous = 100 * time.Millisecond
	// survivalValidFor is how long before a crash a part may have survived to be none of its
	// suspects. A part that begins to crash targets, for example with new software there,
	// is a suspect after this time.
	survivalValidFor = time.Second
	// partMemory is how long it is remembered at least that a part survived, unless more than
	// maxSurvived parts did: notices of crashes arrive within seconds.
	partMemory  = 10 * time.Second
	maxSurvived = 4096
	// firstTrialAfter is the time after the last crash after which a request that is refused
	// may be tried. It doubles up to maxTrialDoublings times.
	firstTrialAfter   = 2 * time.Minute
	maxTrialDoublings = 4
	// maxReportedRuns bounds the runs of a crash for which it is reported that they are
	// refused from then on.
	maxReportedRuns = 8
)

// PartNotice carries evidence to other routers. Notices may be lost, duplicated or
// reordered.
type PartNotice struct {
	// Crash identifies the crash of which Runs holds the suspects; zero if the notice
	// reports that parts survived.
	Crash uint64
	Runs  [][]uint64
	// Survived holds the parts that survived.
	Survived []uint64
	// Age is the time since the event.
	Age time.Duration
}

// PartsChange reports that requests with all of the given parts are refused from now on, but
// for trials, or no longer.
type PartsChange struct {
	Parts   []uint64
	Refused bool
	// Crashes is the number of crashes that support the refusal.
	Crashes int
}

// PartOutput is the result of a call to Parts.
type PartOutput struct {
	// Notices have to be sent to other routers.
	Notices []PartNotice
	Changes []PartsChange
}

// NewParts returns an empty Parts.
func NewParts(options PartOptions) *Parts {
	setDefault(&options.MinCrashes, 3)
	setDefault(&options.TTL, time.Hour)
	setDefault(&options.MaxCrashes, 64)
	return &Parts{
		options:  options,
		suspects: make(map[uint64]int),
		survived: make(map[uint64]Instant),
		refused:  make(map[string][]uint64),
	}
}

// Crashed records a crash of a target at a time in the past. id identifies it at all
// routers. runs holds the parts of each run that may have caused it.
func (p *Parts) Crashed(now, at Instant, id uint64, runs [][]uint64) PartOutput {
	var out PartOutput
	p.addCrash(now, &partCrash{id: id, at: at, runs: runs}, &out)
	return out
}

// Survived records that a target which began an answer on the parts still runs.
func (p *Parts) Survived(now Instant, parts []uint64) PartOutput {
	var out PartOutput
	p.clear(now, now, parts, &out)
	return out
}

// Merge adds a notice from another router. The notices of the output have to be sent on.
// There are none if the notice contained nothing new, so that forwarding ends.
func (p *Parts) Merge(now Instant, notice PartNotice) PartOutput {
	var out PartOutput
	at := now - max(notice.Age, 0)
	if notice.Crash != 0 {
		p.announceSurvived(now, at, notice.Runs, &out)
		p.addCrash(now, &partCrash{id: notice.Crash, at: at, runs: notice.Runs}, &out)
	} else {
		p.clear(now, at, notice.Survived, &out)
	}
	return out
}

// Evidence returns the evidence known here, for a router that has just connected.
func (p *Parts) Evidence(now Instant) []PartNotice {
	notices := make([]PartNotice, 0, len(p.crashes))
	for _, c := range p.crashes {
		notices = append(notices, c.notice(now))
	}
	return notices
}

// Expire removes crashes that are too old. It should be called about once per second.
func (p *Parts) Expire(now Instant) PartOutput {
	var out PartOutput
	expired := slices.IndexFunc(p.crashes, func(c *partCrash) bool { return now-c.at < p.options.TTL })
	if expired < 0 {
		expired = len(p.crashes)
	}
	if expired > 0 {
		p.drop(expired)
		p.updateRefused(nil, &out)
	}
	if now-p.survivedSince >= partMemory {
		p.renewSurvived(now)
	}
	return out
}

// addCrash adds a crash, and a notice to out, unless it is known already or too old. A crash
// without suspects shows that targets crash for other reasons too.
func (p *Parts) addCrash(now Instant, c *partCrash, out *PartOutput) {
	known := slices.ContainsFunc(p.crashes, func(other *partCrash) bool { return other.id == c.id })
	if known || now-c.at >= p.options.TTL {
		return
	}
	c.runs = p.suspectRuns(c.at, c.runs)
	if len(p.crashes) >= p.options.MaxCrashes {
		p.drop(len(p.crashes) - p.options.MaxCrashes + 1)
	}
	place, _ := slices.BinarySearchFunc(p.crashes, c, func(a, b *partCrash) int { return cmp.Compare(a.at, b.at) })
	p.crashes = slices.Insert(p.crashes, place, c)
	p.count(c, 1)
	out.Notices = append(out.Notices, c.notice(now))
	p.updateRefused(c, out)
}

// suspectRuns returns the suspects of each run that may have caused a crash, those that are
// suspects of earlier crashes first, up to MaxCrashParts.
func (p *Parts) suspectRuns(at Instant, runs [][]uint64) [][]uint64 {
	seen := make(map[string]bool)
	var suspects [][]uint64
	for _, run := range runs {
		set := slices.Clone(run[:min(len(run), MaxPartsPerRun)])
		set = slices.DeleteFunc(set, func(part uint64) bool { return p.survivedShortlyBefore(part, at) })
		slices.Sort(set)
		set = slices.Compact(set)
		if key := setKey(set); key != "" && !seen[key] {
			seen[key] = true
			suspects = append(suspects, set)
		}
	}
	slices.SortStableFunc(suspects, func(a, b []uint64) int {
		return cmp.Compare(len(p.suspectsOf(b)), len(p.suspectsOf(a)))
	})
	return limitParts(suspects)
}

// survivedShortlyBefore reports whether a part survived so late that it is no suspect of a crash.
func (p *Parts) survivedShortlyBefore(part uint64, crashAt Instant) bool {
	last, ok := p.survivedAt(part)
	return ok && last >= crashAt-survivalValidFor
}

// announceSurvived adds a notice of the parts that survived here though another router suspects
// them of a crash.
func (p *Parts) announceSurvived(now, crashAt Instant, runs [][]uint64, out *PartOutput) {
	var survived []uint64
	for _, run := range runs {
		for _, part := range run {
			if p.survivedShortlyBefore(part, crashAt) && !slices.Contains(survived, part) {
				survived = append(survived, part)
			}
		}
	}
	if len(survived) > 0 {
		out.Notices = append(out.Notices, PartNotice{Survived: survived[:min(len(survived), MaxCrashParts)], Age: now - crashAt})
	}
}

// clear records that parts survived at a time.
func (p *Parts) clear(now, at Instant, parts []uint64, out *PartOutput) {
	var cleared []uint64
	for _, part := range parts {
		if last, ok := p.survivedAt(part); !ok || last < at {
			p.survived[part] = at
		}
		if p.suspects[part] > 0 && p.removeSuspect(part, at) {
			cleared = append(cleared, part)
		}
	}
	if len(p.survived) >= maxSurvived {
		p.renewSurvived(now)
	}
	if len(cleared) == 0 {
		return
	}
	out.Notices = append(out.Notices, PartNotice{Survived: cleared, Age: now - at})
	p.updateRefused(nil, out)
}

// removeSuspect removes a part from the crashes up to survivalValidFor after it survived, and
// reports whether it was in any.
func (p *Parts) removeSuspect(part uint64, survivedAt Instant) bool {
	removed := false
	for _, c := range p.crashes {
		if c.at-survivalValidFor > survivedAt || !c.contains(part) {
			continue
		}
		p.count(c, -1)
		c.remove(part)
		p.count(c, 1)
		removed = true
	}
	return removed
}

// count adds the parts of a crash to suspects, or removes them if by is negative.
func (p *Parts) count(c *partCrash, by int) {
	for _, run := range c.runs {
		for _, part := range run {
			if p.suspects[part] += by; p.suspects[part] == 0 {
				delete(p.suspects, part)
			}
		}
	}
}

// drop removes the oldest crashes.
func (p *Parts) drop(n int) {
	for _, c := range p.crashes[:n] {
		p.count(c, -1)
	}
	p.crashes = slices.Delete(p.crashes, 0, n)
}

func (p *Parts) survivedAt(part uint64) (Instant, bool) {
	if at, ok := p.survived[part]; ok {
		return at, true
	}
	at, ok := p.survivedBefore[part]
	return at, ok
}

// renewSurvived begins a new map of the parts that survived and drops the older one.
func (p *Parts) renewSurvived(now Instant) {
	p.survivedBefore, p.survived, p.survivedSince = p.survived, make(map[uint64]Instant), now
}
