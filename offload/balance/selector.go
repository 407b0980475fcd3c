package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/member"
)

const (
	// minExecutors and maxExecutors are how many executors a source keeps links to.
	minExecutors = 2
	maxExecutors = 8
	// addInterval is the interval at which another executor is added while requests find no
	// allowance: two steps of the pacers of those that there are.
	addInterval = 100 * time.Millisecond
	// retention is the time without a lack of allowance after which fewer executors are kept.
	retention = 30 * time.Second
	// minExclusion is how long an executor that failed is excluded. It doubles up to maxExclusion
	// with each failure within maxExclusion of the end of the last exclusion.
	minExclusion = time.Second
	maxExclusion = 8 * time.Second
	// maxStarvation is how long an executor may grant nothing to a source that asks before it
	// counts as failed: others may have room.
	maxStarvation = time.Second
	// lackGap is the time without a lack of allowance after which that time starts again.
	lackGap = maxStarvation / 2
)

// Candidate is a router that may be an executor.
type Candidate struct {
	Node  string
	Cores float64
}

// Selector chooses the executors of a source. Create it with NewSelector.
type Selector struct {
	source uint64
	// candidates are in the order of preference.
	candidates []rankedCandidate
	exclusions map[string]exclusion
	// starvations holds the executors that grant nothing although requests lack allowance.
	starvations map[string]starvation
	// count is how many executors are kept, addedAt when it last grew, and lackedAt when a request
	// last found no allowance.
	count             int
	addedAt, lackedAt time.Duration
}

type rankedCandidate struct {
	Candidate
	score float64
}

// exclusion is the latest exclusion of an executor.
type exclusion struct {
	until  time.Duration
	length time.Duration
}

// starvation is a time in which an executor grants nothing, and requests lacked allowance last at
// lackedAt.
type starvation struct{ since, lackedAt time.Duration }

// NewSelector returns the selector of a source.
func NewSelector(source string) *Selector {
	return &Selector{
		source:      member.HashOf(source),
		exclusions:  make(map[string]exclusion),
		starvations: make(map[string]starvation),
		count:       minExecutors,
		lackedAt:    -retention,
	}
}

// SetCandidates replaces the candidates. Their order of preference is by rendezvous hashing with
// their cores as weights, so that sources spread over executors in proportion to their size.
func (s *Selector) SetCandidates(candidates []Candidate) {
	s.candidates = s.candidates[:0]
	known := make(map[string]bool, len(candidates))
	for _, candidate := range candidates {
		known[candidate.Node] = true
		s.candidates = append(s.candidates, rankedCandidate{candidate, s.score(candidate)})
	}
	slices.SortFunc(s.candidates, func(a, b rankedCandidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Node, b.Node))
	})
	for node := range s.exclusions {
		if !known[node] {
			delete(s.exclusions, node)
		}
	}
	for node := range s.starvations {
		if !known[node] {
			delete(s.starvations, node)
		}
	}
}

// score returns the weighted rendezvous score of a candidate.
func (s *Selector) score(candidate Candidate) float64 {
	hash := member.Score(member.HashOf(candidate.Node), s.source)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -candidate.Cores / math.Log(uniform)
}

// Executors returns the routers that the source keeps links to, in the order of preference.
func (s *Selector) Executors(now time.Duration) []string {
	if now-s.lackedAt > retention {
		s.count = minExecutors
	}
	var nodes []string
	for _, candidate := range s.candidates {
		if len(nodes) == s.count {
			break
		}
		if s.Usable(now, candidate.Node) {
			nodes = append(nodes, candidate.Node)
		}
	}
	return nodes
}

// Usable reports whether an executor is not excluded.
func (s *Selector) Usable(now time.Duration, node string) bool {
	excluded, known := s.exclusions[node]
	return !known || now >= excluded.until
}

// Lacked records that a request found no allowance at any executor.
func (s *Selector) Lacked(now time.Duration) {
	if now-s.lackedAt >= addInterval {
		s.addedAt = now // those that there are have not been asked yet
	}
	s.lackedAt = now
	if s.count < maxExecutors && now-s.addedAt >= addInterval {
		s.count++
		s.addedAt = now
	}
}

// Failed excludes an executor that declined, broke or was silent. Further failures while it is
// excluded are of requests that were sent before.
func (s *Selector) Failed(now time.Duration, node string) {
	last, known := s.exclusions[node]
	if known && now < last.until {
		return
	}
	length := minExclusion
	if known && now-last.until < maxExclusion {
		length = min(2*last.length, maxExclusion)
	}
	s.exclusions[node] = exclusion{until: now + length, length: length}
	delete(s.starvations, node)
}

// Observe records whether an executor grants allowance, and whether requests lacked some since the
// last call. It excludes an executor that grants nothing for maxStarvation although requests lack
// allowance, and reports whether it did.
func (s *Selector) Observe(now time.Duration, node string, grants, lacked bool) (excluded bool) {
	if grants {
		delete(s.starvations, node)
	}
	if grants || !lacked {
		return false
	}
	last, known := s.starvations[node]
	if !known || now-last.lackedAt > lackGap {
		last.since = now
	}
	last.lackedAt = now
	s.starvations[node] = last
	if now-last.since < maxStarvation {
		return false
	}
	s.Failed(now, node)
	return true
}

// Choose returns the index of the link for the next request, or -1 if none of count links has
// allowance. It takes the one with more allowance of two that are chosen at random, and if they
// have none the one that has most. random returns a number below n.
func Choose(count int, allowance func(link int) int, random func(n int) int) int {
	if count == 0 {
		return -1
	}
	best := random(count)
	if count > 1 {
		other := (best + 1 + random(count-1)) % count
		if allowance(other) > allowance(best) {
			best = other
		}
	}
	if allowance(best) > 0 {
		return best
	}
	for link := range count {
		if allowance(link) > allowance(best) {
			best = link
		}
	}
	if allowance(best) <= 0 {
		return -1
	}
	return best
}
