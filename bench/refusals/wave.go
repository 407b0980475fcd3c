package refusals

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/bench/table"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/result"
)

const (
	waveTargets = 3
	// bucketWidth is the width of a bucket in the histograms of retries.
	bucketWidth = 100 * time.Millisecond
	// meanFraction is the fraction of the retries that the mean is taken over.
	meanFraction = 0.8
	// slowRefusal is how long a refusal may take before it counts as given only after
	// a wait; the deadline of a request is 30 s.
	slowRefusal = time.Second
	// callerTimeout bounds the wait for the next part of an answer.
	callerTimeout = time.Minute
)

// runWave measures a wave of callers that send more requests than the queues of the
// workspace may hold.
func runWave(ctx context.Context, o Options) ([]table.Row, error) {
	f, err := startFleet(ctx, o, waveTargets, o.MaxQueued, "")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var rows []table.Row
	for repeat := range o.Repeats {
		start := time.Now()
		attempts := sendWave(ctx, f, o, uint64(repeat+1))
		if o.Histogram != nil {
			fmt.Fprintf(o.Histogram, "repeat %d, first returns in each %s: %v\n", repeat+1, bucketWidth, histogram(firstRetries(attempts), start))
			fmt.Fprintf(o.Histogram, "repeat %d, all returns in each %s: %v\n", repeat+1, bucketWidth, histogram(retries(attempts), start))
		}
		name := fmt.Sprintf("wave of %d", o.Callers)
		rows = append(rows, table.Row{Case: name, Repeat: repeat + 1, Values: evaluateWave(attempts, start)})
	}
	return rows, nil
}

// sendWave sends one request of each caller at the same time and returns all
// attempts.
func sendWave(ctx context.Context, f *fleet.Fleet, o Options, seed uint64) []attempt {
	client := load.NewClient(callerTimeout)
	defer client.Close()
	var mu sync.Mutex
	var all []attempt
	var callers sync.WaitGroup
	for caller := range o.Callers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			r := o.request(fmt.Sprintf("r%d-c%d", seed, caller))
			own := sendUntilAnswered(ctx, client, f.CallerAddresses(), r, random)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	callers.Wait()
	return all
}

func (o Options) request(mark string) load.Request {
	return load.Request{
		Kind: load.NonStreaming, Workspace: workspace, Key: key, Mark: mark, Model: model, MaxTokens: o.Tokens,
	}
}

func evaluateWave(attempts []attempt, start time.Time) []table.Value {
	var latencies []time.Duration
	answered, refused, others, withoutRetryAfter, slow := 0, 0, 0, 0, 0
	last := start
	for _, a := range attempts {
		if a.Verdict == load.Answered {
			answered++
			last = laterOf(last, a.End)
			continue
		}
		if a.Verdict != load.Refused || a.Code != int(result.QueueFull) {
			others++
			continue
		}
		refused++
		latencies = append(latencies, a.End.Sub(a.Start))
		if a.RetryAfter == 0 {
			withoutRetryAfter++
		}
		if a.End.Sub(a.Start) > slowRefusal {
			slow++
		}
	}
	firstPeak, firstMean := peakAndMean(histogram(firstRetries(attempts), start))
	peak, mean := peakAndMean(histogram(retries(attempts), start))
	return []table.Value{
		{Name: "answered", Number: float64(answered)},
		{Name: "in s", Number: last.Sub(start).Seconds()},
		{Name: "refused", Number: float64(refused)},
		{Name: "p50 ms", Number: quantileMillis(latencies, 0.5)},
		{Name: "p99 ms", Number: quantileMillis(latencies, 0.99)},
		{Name: "most ms", Number: quantileMillis(latencies, 1)},
		{Name: "over 1 s", Number: float64(slow)},
		{Name: "no Retry-After", Number: float64(withoutRetryAfter)},
		{Name: "first returns: peak/100 ms", Number: firstPeak},
		{Name: "mean", Number: firstMean},
		{Name: "all returns: peak/100 ms", Number: peak},
		{Name: "mean", Number: mean},
		{Name: "other outcomes", Number: float64(others)},
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstRetries returns when each refused caller retried for the first time.
func firstRetries(attempts []attempt) []time.Time {
	return startTimes(attempts, func(number int) bool { return number == 2 })
}

// retries returns when refused callers retried.
func retries(attempts []attempt) []time.Time {
	return startTimes(attempts, func(number int) bool { return number > 1 })
}

func startTimes(attempts []attempt, include func(number int) bool) []time.Time {
	var starts []time.Time
	for _, a := range attempts {
		if include(a.Number) {
			starts = append(starts, a.Start)
		}
	}
	return starts
}

// histogram counts times in buckets of bucketWidth, from the first bucket that is
// not empty to the last.
func histogram(times []time.Time, start time.Time) []int {
	if len(times) == 0 {
		return nil
	}
	first := int(slices.MinFunc(times, time.Time.Compare).Sub(start) / bucketWidth)
	last := int(slices.MaxFunc(times, time.Time.Compare).Sub(start) / bucketWidth)
	counts := make([]int, last-first+1)
	for _, at := range times {
		counts[int(at.Sub(start)/bucketWidth)-first]++
	}
	return counts
}

// peakAndMean returns the largest count, and the mean count over the fewest
// buckets from the first on that hold meanFraction of the total. The rest is left
// out because a few late retries would make the mean too small.
func peakAndMean(counts []int) (peak, mean float64) {
	if len(counts) == 0 {
		return 0, 0
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	sum, buckets := 0, 0
	for float64(sum) < meanFraction*float64(total) {
		sum += counts[buckets]
		buckets++
	}
	return float64(slices.Max(counts)), float64(sum) / float64(buckets)
}

// quantileMillis returns the quantile q, from 0 to 1, of latencies.
func quantileMillis(latencies []time.Duration, q float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	index := int(q * float64(len(latencies)-1))
	return latencies[index].Seconds() * 1000
}
