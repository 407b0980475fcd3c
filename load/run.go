package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Run is a number of callers that each send one request after another.
type Run struct {
	// Routers are the addresses that callers pick from.
	Routers []string
	// Callers is how many requests are in flight at once.
	Callers int
	// Requests bounds the requests sent; zero means until ctx ends.
	Requests int
	// Seed makes the choice of requests and routers repeatable.
	Seed uint64
	// Next makes request n. random belongs to the caller that sends it.
	Next func(n int, random *rand.Rand) Request
	// PickRouter chooses the router of a request. Default: at random.
	PickRouter func(r Request, random *rand.Rand) string
	// OnResult, if set, sees every result. Calls may overlap.
	OnResult func(Result)
	// Timeout is how long a caller waits for each part. Default 60 s.
	Timeout time.Duration
}

// Do runs the callers until Requests are sent or ctx ends, and waits for every
// answer.
func (run Run) Do(ctx context.Context) *Summary {
	if run.Timeout == 0 {
		run.Timeout = time.Minute
	}
	if run.PickRouter == nil {
		run.PickRouter = func(_ Request, random *rand.Rand) string {
			return run.Routers[random.IntN(len(run.Routers))]
		}
	}
	client := NewClient(run.Timeout)
	defer client.Close()
	summary := NewSummary()
	var sent atomic.Int64
	var callers sync.WaitGroup
	for caller := range run.Callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			run.call(ctx, client, uint64(caller), &sent, summary)
		}()
	}
	callers.Wait()
	return summary
}

func (run Run) call(ctx context.Context, client *Client, caller uint64, sent *atomic.Int64, summary *Summary) {
	random := rand.New(rand.NewPCG(run.Seed, caller))
	for ctx.Err() == nil {
		n := int(sent.Add(1))
		if run.Requests > 0 && n > run.Requests {
			return
		}
		request := run.Next(n, random)
		done := client.Send(run.PickRouter(request, random), request)
		summary.Add(done)
		if run.OnResult != nil {
			run.OnResult(done)
		}
	}
}

const (
	// maxLatency bounds the histograms, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	// digits is their precision.
	digits = 3
	// keptFaults bounds the faults kept for the report.
	keptFaults = 20
)

// Summary counts results. It is safe for concurrent use.
type Summary struct {
	mu       sync.Mutex
	verdicts map[Verdict]int
	codes    map[int]int
	first    *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	faults   []Result
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		verdicts: make(map[Verdict]int),
		codes:    make(map[int]int),
		first:    hdrhistogram.New(1, maxLatency, digits),
		whole:    hdrhistogram.New(1, maxLatency, digits),
	}
}

// Add counts a result.
func (s *Summary) Add(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts[r.Verdict]++
	switch r.Verdict {
	case Answered:
		_ = s.first.RecordValue(r.FirstPart.Sub(r.Start).Microseconds())
		_ = s.whole.RecordValue(r.End.Sub(r.Start).Microseconds())
		return
	case Refused:
		s.codes[r.Code]++
	}
	if len(s.faults) < keptFaults {
		s.faults = append(s.faults, r)
	}
}

// Count returns how many results had a verdict.
func (s *Summary) Count(v Verdict) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts[v]
}

// Faults returns the first results that were not answers.
func (s *Summary) Faults() []Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Result(nil), s.faults...)
}

// FirstPart and Whole return a quantile (0 to 100) of the time to the first
// part of the answer and to its end, over the answered requests.
func (s *Summary) FirstPart(quantile float64) time.Duration {
	return s.quantile(s.first, quantile)
}

// Whole is described with FirstPart.
func (s *Summary) Whole(quantile float64) time.Duration {
	return s.quantile(s.whole, quantile)
}

func (s *Summary) quantile(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

// String returns the counts on one line.
func (s *Summary) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for v := Answered; v <= Unreachable; v++ {
		parts = append(parts, fmt.Sprintf("%s %d", v, s.verdicts[v]))
	}
	var codes []string
	for code, count := range s.codes {
		codes = append(codes, fmt.Sprintf("code %d: %d", code, count))
	}
	sort.Strings(codes)
	return strings.Join(append(parts, codes...), ", ")
}
