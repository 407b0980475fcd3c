package quarantine

import (
	"encoding/binary"
	"maps"
	"math"
	"math/bits"
	"slices"
)

// crashSet is a set of crashes, with one bit for the index of each.
type crashSet []uint64

func newCrashSet(size int) crashSet { return make(crashSet, (size+63)/64) }

func (s crashSet) add(i int) { s[i/64] |= 1 << (i % 64) }

func (s crashSet) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }

func (s crashSet) len() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// overlap returns the number of crashes in both sets.
func (s crashSet) overlap(other crashSet) int {
	n := 0
	for i, word := range s {
		n += bits.OnesCount64(word & other[i])
	}
	return n
}

// key returns the set as a map key.
func (s crashSet) key() string {
	var buf []byte
	for _, word := range s {
		buf = binary.LittleEndian.AppendUint64(buf, word)
	}
	return string(buf)
}

// explanation is a set of crashes and the fingerprints that were running at exactly
// these.
type explanation struct {
	crashes      crashSet
	fingerprints []uint64
}

// updateVerdicts convicts the fingerprints that the evidence identifies as causes, and
// adds every verdict that changed to out. It starts from scratch each time, so that the
// verdicts depend on the evidence alone and not on the order in which it arrived.
func (t *Tracker) updateVerdicts(out *Output) {
	if !t.changed {
		return
	}
	t.changed = false
	t.convicted = make(map[uint64]Instant)
	for {
		suspects := t.unexplained()
		candidates := t.candidates(suspects)
		causes := uniqueCauses(candidates)
		if len(causes) == 0 {
			t.setVerdicts(suspects, candidates, out)
			return
		}
		for _, fingerprint := range causes {
			t.convicted[fingerprint] = t.lastCrash(fingerprint)
		}
	}
}

// lastCrash returns the time of the last known crash at which a fingerprint was running.
func (t *Tracker) lastCrash(fingerprint uint64) Instant {
	last := Instant(math.MinInt64)
	for _, c := range t.crashes {
		if _, found := slices.BinarySearch(c.running, fingerprint); found {
			last = max(last, c.at)
		}
	}
	return last
}

// unexplained returns, for each fingerprint, the crashes at which it was running and no
// convicted fingerprint was.
func (t *Tracker) unexplained() map[uint64]crashSet {
	suspects := make(map[uint64]crashSet)
	for i, c := range t.crashes {
		if t.isExplained(c) {
			continue
		}
		for _, fingerprint := range c.running {
			if suspects[fingerprint] == nil {
				suspects[fingerprint] = newCrashSet(len(t.crashes))
			}
			suspects[fingerprint].add(i)
		}
	}
	return suspects
}

// isExplained reports whether a convicted fingerprint was running at the crash.
func (t *Tracker) isExplained(c *crash) bool {
	for _, fingerprint := range c.running {
		if _, ok := t.convicted[fingerprint]; ok {
			return true
		}
	}
	return false
}

// candidates returns the explanations that cover crashes of at least two targets.
func (t *Tracker) candidates(suspects map[uint64]crashSet) []explanation {
	index := make(map[string]int)
	var found []explanation
	for _, fingerprint := range slices.Sorted(maps.Keys(suspects)) {
		crashes := suspects[fingerprint]
		if crashes.len() < 2 || !t.onSeveralTargets(crashes) {
			continue
		}
		key := crashes.key()
		i, ok := index[key]
		if !ok {
			i = len(found)
			index[key] = i
			found = append(found, explanation{crashes: crashes})
		}
		found[i].fingerprints = append(found[i].fingerprints, fingerprint)
	}
	return found
}

// onSeveralTargets reports whether the crashes are of more than one target.
func (t *Tracker) onSeveralTargets(crashes crashSet) bool {
	target := ""
	for i, c := range t.crashes {
		if !crashes.has(i) {
			continue
		}
		if target != "" && c.target != target {
			return true
		}
		target = c.target
	}
	return false
}

// uniqueCauses returns the fingerprints that explain their crashes better than any
// other: every other candidate explains none of these crashes, or only some of them and
// no further ones.
func uniqueCauses(candidates []explanation) []uint64 {
	var causes []uint64
	for i, candidate := range candidates {
		if len(candidate.fingerprints) == 1 && !hasRival(candidates, i) {
			causes = append(causes, candidate.fingerprints[0])
		}
	}
	return causes
}

// hasRival reports whether another candidate explains some of the crashes of candidate
// i, and also others.
func hasRival(candidates []explanation, i int) bool {
	own := candidates[i].crashes
	for j, other := range candidates {
		if j == i {
			continue
		}
		shared := own.overlap(other.crashes)
		if shared > 0 && shared < other.crashes.len() {
			return true
		}
	}
	return false
}

// setVerdicts sets the verdicts and adds those that changed to out.
func (t *Tracker) setVerdicts(suspects map[uint64]crashSet, candidates []explanation, out *Output) {
	verdicts := make(map[uint64]Verdict, len(suspects)+len(t.convicted))
	for fingerprint := range suspects {
		verdicts[fingerprint] = VerdictSuspect
	}
	for _, candidate := range candidates {
		for _, fingerprint := range candidate.fingerprints {
			verdicts[fingerprint] = VerdictIsolate
		}
	}
	for fingerprint := range t.convicted {
		verdicts[fingerprint] = VerdictConvicted
	}
	out.Changes = append(out.Changes, changes(t.verdicts, verdicts)...)
	t.verdicts = verdicts
}

// changes returns the verdicts that differ, in order of fingerprint.
func changes(before, after map[uint64]Verdict) []Change {
	var changed []Change
	for fingerprint, verdict := range after {
		if before[fingerprint] != verdict {
			changed = append(changed, Change{Fingerprint: fingerprint, Verdict: verdict})
		}
	}
	for fingerprint := range before {
		if _, ok := after[fingerprint]; !ok {
			changed = append(changed, Change{Fingerprint: fingerprint, Verdict: VerdictClear})
		}
	}
	slices.SortFunc(changed, func(a, b Change) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return changed
}
