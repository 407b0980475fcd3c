package quarantine

import (
	"maps"
	"slices"
)

// PartVerdict is the assessment of a request by the parts of its prompt.
type PartVerdict int

// The verdicts on a request.
const (
	// PartsRun: the request may run.
	PartsRun PartVerdict = iota
	// PartsTry: the request may run if no other one is being tried.
	PartsTry
	// PartsRefused: the request must not run.
	PartsRefused
)

// Verdict returns the verdict on a request with the given parts.
func (p *Parts) Verdict(now Instant, parts []uint64) PartVerdict {
	suspects := p.suspectsOf(parts)
	verdict := PartsRun
	for _, part := range suspects {
		evidence := p.supportFor(part, suspects)
		if !evidence.suffices(p.options.MinCrashes) {
			continue
		}
		if !p.isTrialDue(now, evidence.crashes) && !hasAlternative(evidence.crashes, suspects) {
			return PartsRefused
		}
		verdict = PartsTry
	}
	return verdict
}

// isTrialDue reports whether a request that is refused may be tried again, given the crashes
// that support its refusal. The time until then doubles with each further crash.
func (p *Parts) isTrialDue(now Instant, support []*partCrash) bool {
	after := firstTrialAfter << min(len(support)-p.options.MinCrashes, maxTrialDoublings)
	return now-support[len(support)-1].at >= after
}

// hasAlternative reports whether a part that is not among the suspects of a request was at
// all crashes that support its refusal.
func hasAlternative(support []*partCrash, suspects []uint64) bool {
	for _, run := range support[0].runs {
		for _, part := range without(run, suspects) {
			missing := slices.ContainsFunc(support[1:], func(c *partCrash) bool { return !c.contains(part) })
			if !missing {
				return true
			}
		}
	}
	return false
}

// suspectsOf returns the parts that are suspects of some crash, sorted.
func (p *Parts) suspectsOf(parts []uint64) []uint64 {
	if len(p.suspects) == 0 {
		return nil
	}
	var suspects []uint64
	for _, part := range parts {
		if p.suspects[part] > 0 {
			suspects = append(suspects, part)
		}
	}
	slices.Sort(suspects)
	return slices.Compact(suspects)
}

// support is the evidence that a part is a cause.
type support struct {
	// crashes are those that support it, oldest first.
	crashes []*partCrash
	// others counts the crashes since the first of these, up to the last one, that do not and
	// that no other part may explain.
	others int
}

// suffices reports whether requests are refused on this evidence. Where targets crash for
// other reasons as well, parts are at some of these crashes by coincidence.
func (s support) suffices(minCrashes int) bool {
	return len(s.crashes) >= minCrashes+s.others/othersPerCrash
}

// supportFor returns the evidence that a part is a cause, given all suspects of the request.
func (p *Parts) supportFor(part uint64, suspects []uint64) support {
	var found support
	if p.suspects[part] < p.options.MinCrashes {
		return found // each crash that supports it has a run with it
	}
	var last, lastOther Instant
	others := 0
	companions := make(map[string]bool)
	for _, c := range p.crashes {
		if len(found.crashes) > 0 && c.at-last < Simultaneous {
			continue
		}
		if c.supports(part, suspects, companions) {
			found.crashes = append(found.crashes, c)
			found.others, last = others, c.at
			continue
		}
		if len(found.crashes) > 0 && !p.mayBeExplained(c) && (others == 0 || c.at-lastOther >= Simultaneous) {
			others, lastOther = others+1, c.at
		}
	}
	return found
}

// mayBeExplained reports whether a suspect of a crash is one of several others too.
func (p *Parts) mayBeExplained(c *partCrash) bool {
	return slices.ContainsFunc(c.runs, func(run []uint64) bool {
		return slices.ContainsFunc(run, func(part uint64) bool { return p.suspects[part] >= p.options.MinCrashes })
	})
}

// supports reports whether the crash supports that a part is a cause. companions holds the
// further suspects of runs by which earlier crashes did.
func (c *partCrash) supports(part uint64, suspects []uint64, companions map[string]bool) bool {
	var others string
	for _, run := range c.runs {
		if _, contained := slices.BinarySearch(run, part); !contained {
			continue
		}
		further := setKey(without(run, suspects))
		if further == "" {
			return true
		}
		if !companions[further] {
			others = further
		}
	}
	if others == "" {
		return false
	}
	companions[others] = true
	return true
}

// updateRefused adds to out which sets of parts are refused from now on, or no longer. latest
// is a crash that was added; nil if none was.
func (p *Parts) updateRefused(latest *partCrash, out *PartOutput) {
	for _, key := range slices.Sorted(maps.Keys(p.refused)) {
		set := p.refused[key]
		if _, convicted := p.convicts(set); !convicted {
			delete(p.refused, key)
			out.Changes = append(out.Changes, PartsChange{Parts: set})
		}
	}
	if latest == nil {
		return
	}
	for _, run := range latest.runs[:min(len(latest.runs), maxReportedRuns)] {
		key := setKey(run)
		if p.refused[key] != nil || len(p.refused) >= p.options.MaxCrashes {
			continue
		}
		if crashes, convicted := p.convicts(run); convicted {
			p.refused[key] = run
			out.Changes = append(out.Changes, PartsChange{Parts: run, Refused: true, Crashes: crashes})
		}
	}
}

// convicts reports whether the evidence suffices that one of a set of suspects is a cause,
// and the number of crashes that support it.
func (p *Parts) convicts(suspects []uint64) (crashes int, convicted bool) {
	for _, part := range suspects {
		if evidence := p.supportFor(part, suspects); evidence.suffices(p.options.MinCrashes) {
			return len(evidence.crashes), true
		}
	}
	return 0, false
}
