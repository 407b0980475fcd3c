package refusals

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/bench/table"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/journal"
)

const (
	brownOutTargets = 6
	// Callers send for these times before, during and after a brown-out.
	beforeBrownOut   = 1500 * time.Millisecond
	brownOutDuration = 5 * time.Second
	afterBrownOut    = time.Second
	// pathFault is the path at which a stand-in target accepts faults to simulate.
	pathFault = "/_fault"
)

// brownOutCallers returns the number of callers, which keeps 5/3 as many requests
// in flight as there are slots.
func (o Options) brownOutCallers() int { return brownOutTargets * o.Slots * 5 / 3 }

// brownOut is a temporary failure of some targets.
type brownOut struct {
	name    string
	targets int
	faults  engine.Faults
}

var brownOuts = []brownOut{
	{"half refuse", brownOutTargets / 2, engine.Faults{Refuse: true}},
	{"half break", brownOutTargets / 2, engine.Faults{BreakAfterTokens: 1}},
	{"all refuse", brownOutTargets, engine.Faults{Refuse: true}},
	{"all break", brownOutTargets, engine.Faults{BreakAfterTokens: 1}},
}

// runBrownOuts measures each brown-out with the retry budget, and also without it
// if o.WithoutBudget names a copy of the module that has none.
func runBrownOuts(ctx context.Context, o Options) ([]table.Row, error) {
	var rows []table.Row
	for _, b := range brownOuts {
		measured, err := runBrownOut(ctx, o, b, b.name+", budget", "")
		if err != nil {
			return nil, err
		}
		rows = append(rows, measured...)
		if o.WithoutBudget == "" {
			continue
		}
		measured, err = runBrownOut(ctx, o, b, b.name+", no budget", o.WithoutBudget)
		if err != nil {
			return nil, err
		}
		rows = append(rows, measured...)
	}
	return rows, nil
}

func runBrownOut(ctx context.Context, o Options, b brownOut, name, module string) ([]table.Row, error) {
	var rows []table.Row
	for repeat := range o.Repeats {
		values, err := repeatBrownOut(ctx, o, b, module, uint64(repeat+1))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		rows = append(rows, table.Row{Case: name, Repeat: repeat + 1, Values: values})
	}
	return rows, nil
}

// repeatBrownOut measures a brown-out once. It starts a new fleet, so that every
// retry budget is full.
func repeatBrownOut(ctx context.Context, o Options, b brownOut, module string, seed uint64) ([]table.Value, error) {
	f, err := startFleet(ctx, o, brownOutTargets, o.brownOutCallers(), module)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan []attempt, 1)
	go func() { done <- keepSending(sendCtx, f, o, seed) }()
	time.Sleep(beforeBrownOut)
	from := time.Now()
	if err := setFaults(f, b.targets, http.MethodPost, b.faults); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(from.Add(brownOutDuration)))
	until := time.Now()
	if err := setFaults(f, b.targets, http.MethodDelete, engine.Faults{}); err != nil {
		return nil, err
	}
	time.Sleep(afterBrownOut)
	cancel()
	attempts := <-done
	entries, err := f.Journals()
	if err != nil {
		return nil, err
	}
	return evaluateBrownOut(attempts, entries, from, until), nil
}

// keepSending runs callers until ctx ends, each of which sends one request after
// another and retries each until it is answered.
func keepSending(ctx context.Context, f *fleet.Fleet, o Options, seed uint64) []attempt {
	client := load.NewClient(callerTimeout)
	defer client.Close()
	var mu sync.Mutex
	var all []attempt
	var callers sync.WaitGroup
	for caller := range o.brownOutCallers() {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n := 0; ctx.Err() == nil; n++ {
				r := o.request(fmt.Sprintf("b%d-c%d-%d", seed, caller, n))
				own := sendUntilAnswered(ctx, client, f.CallerAddresses(), r, random)
				mu.Lock()
				all = append(all, own...)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return all
}

func setFaults(f *fleet.Fleet, targets int, method string, faults engine.Faults) error {
	for n := range targets {
		url := "http://" + f.Targets[fmt.Sprintf("%s-%d", pool, n+1)].Address + pathFault
		if method == http.MethodPost {
			if err := fleet.PostJSON(url, faults, nil); err != nil {
				return err
			}
			continue
		}
		request, err := http.NewRequest(method, url, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
	}
	return nil
}

// evaluateBrownOut counts the requests that targets received during the brown-out,
// how often they received them, and which results callers got.
func evaluateBrownOut(attempts []attempt, entries []journal.Entry, from, until time.Time) []table.Value {
	within := func(t time.Time) bool { return t.After(from) && t.Before(until) }
	received := 0
	requests := make(map[string]bool)
	for _, e := range entries {
		if e.Event == journal.Received && within(e.Wall) {
			received++
			requests[e.RequestID] = true
		}
	}
	outcomes := make(map[int]int)
	answered := 0
	var latencies []time.Duration
	for _, a := range attempts {
		if !within(a.Start) {
			continue
		}
		if a.Verdict == load.Answered {
			answered++
			continue
		}
		outcomes[a.Code]++
		latencies = append(latencies, a.End.Sub(a.Start))
	}
	other := len(latencies)
	for _, code := range []result.Code{result.RetryBudgetEmpty, result.NoTarget, result.TargetsUnavailable, result.Quarantined} {
		other -= outcomes[int(code)]
	}
	return []table.Value{
		{Name: "requests at targets", Number: float64(len(requests))},
		{Name: "sent to targets", Number: float64(received)},
		{Name: "sent per request", Number: float64(received) / float64(max(1, len(requests)))},
		{Name: "answered", Number: float64(answered)},
		{Name: "703 budget empty", Number: float64(outcomes[int(result.RetryBudgetEmpty)])},
		{Name: "602 no target", Number: float64(outcomes[int(result.NoTarget)])},
		{Name: "608 targets unavailable", Number: float64(outcomes[int(result.TargetsUnavailable)])},
		{Name: "401 quarantined", Number: float64(outcomes[int(result.Quarantined)])},
		{Name: "other failures", Number: float64(other)},
		{Name: "failures p50 ms", Number: quantileMillis(latencies, 0.5)},
		{Name: "p99 ms", Number: quantileMillis(latencies, 0.99)},
	}
}
