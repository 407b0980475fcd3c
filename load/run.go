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

// Run configures a load run: a number of concurrent callers, each of which sends
// one request after another.
type Run struct {
	// Routers are the routers' addresses, from which callers pick one per request.
	Routers []string
	// Callers is the number of callers, and so of requests in flight at once.
	Callers int
	// Requests is the total number of requests to send. Zero means that requests
	// are sent until ctx ends.
	Requests int
	// Seed seeds the random choice of requests and routers, so that a run can be
	// repeated.
	Seed uint64
	// Next creates request n, counted from 1. random belongs to the caller that
	// sends the request, so Next may use it without locking.
	Next func(n int, random *rand.Rand) Request
	// PickRouter chooses the router for a request. Default: a random one.
	PickRouter func(r Request, random *rand.Rand) string
	// OnResult, if set, is called with every result, by several goroutines at once.
	OnResult func(Result)
	// Timeout is how long a caller waits for each part of an answer. Default 60 s.
	Timeout time.Duration
}

// Do runs the callers until Requests are sent or ctx ends. It returns once every
// request that was sent has its result.
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
			run.sendRequests(ctx, client, uint64(caller), &sent, summary)
		}()
	}
	callers.Wait()
	return summary
}

// sendRequests runs one caller: it sends requests until Requests are sent or ctx ends.
func (run Run) sendRequests(ctx context.Context, client *Client, caller uint64, sent *atomic.Int64, summary *Summary) {
	random := rand.New(rand.NewPCG(run.Seed, caller))
	for ctx.Err() == nil {
		number := int(sent.Add(1))
		if run.Requests > 0 && number > run.Requests {
			return
		}
		request := run.Next(number, random)
		result := client.Send(run.PickRouter(request, random), request)
		summary.Add(result)
		if run.OnResult != nil {
			run.OnResult(result)
		}
	}
}

const (
	// maxLatencyMicros is the highest latency that the histograms can record.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// maxKeptFailures bounds the failed results kept for the report.
	maxKeptFailures = 20
)

// Summary counts results by verdict and result code, and records the latency of
// those that were answered. It is safe for concurrent use.
type Summary struct {
	mu           sync.Mutex
	verdicts     map[Verdict]int
	refusalCodes map[int]int
	firstPart    *hdrhistogram.Histogram
	total        *hdrhistogram.Histogram
	failures     []Result
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		verdicts:     make(map[Verdict]int),
		refusalCodes: make(map[int]int),
		firstPart:    hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		total:        hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

// Add counts a result.
func (s *Summary) Add(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts[r.Verdict]++
	switch r.Verdict {
	case Answered:
		_ = s.firstPart.RecordValue(r.FirstPart.Sub(r.Start).Microseconds())
		_ = s.total.RecordValue(r.End.Sub(r.Start).Microseconds())
		return
	case Refused:
		s.refusalCodes[r.Code]++
	}
	if len(s.failures) < maxKeptFailures {
		s.failures = append(s.failures, r)
	}
}

// Count returns the number of results with a verdict.
func (s *Summary) Count(v Verdict) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts[v]
}

// Failures returns the first results, at most maxKeptFailures, whose verdict is not
// Answered. Later ones are only counted.
func (s *Summary) Failures() []Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Result(nil), s.failures...)
}

// FirstPartLatency returns a percentile (0 to 100) of the time to the first part
// of the answer, over the answered requests.
func (s *Summary) FirstPartLatency(percentile float64) time.Duration {
	return s.latencyAt(s.firstPart, percentile)
}

// TotalLatency returns a percentile (0 to 100) of the time to the end of the
// answer, over the answered requests.
func (s *Summary) TotalLatency(percentile float64) time.Duration {
	return s.latencyAt(s.total, percentile)
}

func (s *Summary) latencyAt(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
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
	for code, count := range s.refusalCodes {
		codes = append(codes, fmt.Sprintf("code %d: %d", code, count))
	}
	sort.Strings(codes)
	return strings.Join(append(parts, codes...), ", ")
}
