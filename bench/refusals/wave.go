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
	// bucket is the width of the histogram of returns.
	bucket = 100 * time.Millisecond
	// most of the returns are those that the mean is taken over.
	most = 0.8
	// slowRefusal is when a refusal counts as held; the deadline is 30 s.
	slowRefusal = time.Second
	// callerTimeout bounds the wait for a part of an answer.
	callerTimeout = time.Minute
)

// runWave lets a wave of callers flood a workspace beyond its bound.
func runWave(ctx context.Context, o Options) ([]table.Row, error) {
	f, err := startFleet(ctx, o, waveTargets, o.Queued, "")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var rows []table.Row
	for repeat := range o.Repeats {
		start := time.Now()
		tries := wave(ctx, f, o, uint64(repeat+1))
		if o.Histogram != nil {
			fmt.Fprintf(o.Histogram, "repeat %d, first returns in each %s: %v\n", repeat+1, bucket, histogram(firstReturns(tries), start))
			fmt.Fprintf(o.Histogram, "repeat %d, all returns in each %s: %v\n", repeat+1, bucket, histogram(returns(tries), start))
		}
		name := fmt.Sprintf("wave of %d", o.Callers)
		rows = append(rows, table.Row{Case: name, Repeat: repeat + 1, Values: judgeWave(tries, start)})
	}
	return rows, nil
}

// wave sends one request of each caller at once and returns all tries.
func wave(ctx context.Context, f *fleet.Fleet, o Options, seed uint64) []try {
	client := load.NewClient(callerTimeout)
	defer client.Close()
	var mu sync.Mutex
	var all []try
	var callers sync.WaitGroup
	for caller := range o.Callers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			r := o.request(fmt.Sprintf("r%d-c%d", seed, caller))
			tries := persist(ctx, client, f.Callers(), r, random)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, tries...)
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

func judgeWave(tries []try, start time.Time) []table.Value {
	var latencies []time.Duration
	answered, refused, others, silent, slow := 0, 0, 0, 0, 0
	last := start
	for _, t := range tries {
		if t.Verdict == load.Answered {
			answered++
			last = later(last, t.End)
			continue
		}
		if t.Verdict != load.Refused || t.Code != int(result.QueueFull) {
			others++
			continue
		}
		refused++
		latencies = append(latencies, t.End.Sub(t.Start))
		if t.RetryAfter == 0 {
			silent++
		}
		if t.End.Sub(t.Start) > slowRefusal {
			slow++
		}
	}
	firstPeak, firstMean := peakAndMean(histogram(firstReturns(tries), start))
	peak, mean := peakAndMean(histogram(returns(tries), start))
	return []table.Value{
		{Name: "answered", Number: float64(answered)},
		{Name: "in s", Number: last.Sub(start).Seconds()},
		{Name: "refused", Number: float64(refused)},
		{Name: "p50 ms", Number: quantile(latencies, 0.5)},
		{Name: "p99 ms", Number: quantile(latencies, 0.99)},
		{Name: "most ms", Number: quantile(latencies, 1)},
		{Name: "over 1 s", Number: float64(slow)},
		{Name: "no Retry-After", Number: float64(silent)},
		{Name: "first returns: peak/100 ms", Number: firstPeak},
		{Name: "mean", Number: firstMean},
		{Name: "all returns: peak/100 ms", Number: peak},
		{Name: "mean", Number: mean},
		{Name: "other outcomes", Number: float64(others)},
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstReturns are when each refused caller came back for the first time.
func firstReturns(tries []try) []time.Time {
	return startsOf(tries, func(number int) bool { return number == 2 })
}

// returns are when refused callers came back.
func returns(tries []try) []time.Time {
	return startsOf(tries, func(number int) bool { return number > 1 })
}

func startsOf(tries []try, wanted func(number int) bool) []time.Time {
	var starts []time.Time
	for _, t := range tries {
		if wanted(t.Number) {
			starts = append(starts, t.Start)
		}
	}
	return starts
}

// histogram counts times in buckets, from the first that is not empty to the
// last.
func histogram(times []time.Time, start time.Time) []int {
	if len(times) == 0 {
		return nil
	}
	first := int(slices.MinFunc(times, time.Time.Compare).Sub(start) / bucket)
	last := int(slices.MaxFunc(times, time.Time.Compare).Sub(start) / bucket)
	counts := make([]int, last-first+1)
	for _, at := range times {
		counts[int(at.Sub(start)/bucket)-first]++
	}
	return counts
}

// peakAndMean returns the largest count, and the mean count over the shortest
// time from the first on that holds most of the whole: a few late ones must
// not make the mean look small.
func peakAndMean(counts []int) (peak, mean float64) {
	if len(counts) == 0 {
		return 0, 0
	}
	whole := 0
	for _, n := range counts {
		whole += n
	}
	sum, buckets := 0, 0
	for float64(sum) < most*float64(whole) {
		sum += counts[buckets]
		buckets++
	}
	return float64(slices.Max(counts)), float64(sum) / float64(buckets)
}

// quantile returns a quantile (0 to 1) in milliseconds.
func quantile(latencies []time.Duration, q float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	at := int(q * float64(len(latencies)-1))
	return latencies[at].Seconds() * 1000
}
