package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestSourcesSpreadOverExecutorsBySize guards against sources that all prefer the same executors.
func TestSourcesSpreadOverExecutorsBySize(t *testing.T) {
	var candidates []Candidate
	for i := range 20 {
		candidates = append(candidates, Candidate{fmt.Sprint("vm-", i), []float64{0.4, 0.8}[i%2]})
	}
	links := make(map[float64]int)
	const sources = 2000
	for i := range sources {
		s := NewSelector(fmt.Sprint("small-", i))
		s.SetCandidates(candidates)
		for _, node := range s.Executors(0) {
			index := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Node == node })
			links[candidates[index].Cores]++
		}
	}
	if ratio := float64(links[0.8]) / float64(links[0.4]); ratio < 1.7 || ratio > 2.2 {
		t.Errorf("executors of twice the size have %.2f times the links", ratio)
	}
}

// TestExecutorThatFailsIsExcluded guards against a source that keeps sending requests to an
// executor that declines them, and against one that never uses it again.
func TestExecutorThatFailsIsExcluded(t *testing.T) {
	s := NewSelector("small")
	s.SetCandidates([]Candidate{{"a", 0.4}, {"b", 0.4}, {"c", 0.4}})
	now := time.Second
	first := s.Executors(now)[0]
	for _, seconds := range []time.Duration{1, 2, 4, 8, 8} {
		s.Failed(now, first)
		s.Failed(now+time.Millisecond, first) // of a request sent before
		if executors := s.Executors(now + seconds*time.Second - 1); slices.Contains(executors, first) || len(executors) != 2 {
			t.Errorf("executors %v within %d s of the failure of %s", executors, seconds, first)
		}
		now += seconds * time.Second
		if s.Executors(now)[0] != first {
			t.Errorf("%s is still excluded after %d s", first, seconds)
		}
	}
	s.Failed(now+maxExclusion, first)
	if !s.Usable(now+maxExclusion+minExclusion, first) {
		t.Error("the exclusion did not start from the shortest again")
	}
}

// TestFewExecutorsWithoutLack guards against links to more executors than the load needs.
func TestFewExecutorsWithoutLack(t *testing.T) {
	s := NewSelector("small")
	var candidates []Candidate
	for i := range 9 {
		candidates = append(candidates, Candidate{fmt.Sprint("vm-", i), 0.4})
	}
	s.SetCandidates(candidates)
	for now := time.Duration(0); now < time.Second; now += step {
		s.Lacked(now)
	}
	if count := len(s.Executors(time.Second)); count != maxExecutors {
		t.Errorf("%d executors while requests lack allowance", count)
	}
	if count := len(s.Executors(time.Second + retention)); count != minExecutors {
		t.Errorf("%d executors after %s without lack", count, retention)
	}
}

// TestMoreAllowanceIsChosen guards against requests for executors that have little or no allowance
// while others have some.
func TestMoreAllowanceIsChosen(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for _, test := range []struct {
		allowances []int
		least      map[int]int // how often each link is chosen at least, of 1,000
	}{
		{nil, nil},
		{[]int{0, -1, 0}, nil},
		{[]int{0, 0, 0, 1}, map[int]int{3: 1000}},
		{[]int{9, 1}, map[int]int{0: 1000}},
		{[]int{9, 8, 7, 6}, map[int]int{0: 450, 1: 280, 2: 130}},
	} {
		chosen := make(map[int]int)
		for range 1000 {
			chosen[Choose(len(test.allowances), func(i int) int { return test.allowances[i] }, random.IntN)]++
		}
		if test.least == nil && chosen[-1] != 1000 {
			t.Errorf("%v: chosen %v", test.allowances, chosen)
		}
		for link, least := range test.least {
			if chosen[link] < least {
				t.Errorf("%v: chosen %v", test.allowances, chosen)
			}
		}
	}
}

// TestCopyingIsTooExpensive guards against a source that is late by the requests that it offloads
// where refusing them would keep it in time, and against one that never offloads again.
func TestCopyingIsTooExpensive(t *testing.T) {
	l := NewLimiter()
	for range 10 {
		l.Measure(6*time.Millisecond, true)
	}
	if l.Fraction() > 0.001 {
		t.Errorf("after half a second of lag a fraction of %v is offered", l.Fraction())
	}
	for range 50 {
		l.Measure(6*time.Millisecond, false)
	}
	if l.Fraction() < 0.999 {
		t.Errorf("while not everything is shed a fraction of %v is offered", l.Fraction())
	}
}
