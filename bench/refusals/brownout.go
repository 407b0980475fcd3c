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
	beforeBrownOut  = 1500 * time.Millisecond
	brownOutFor     = 5 * time.Second
	afterBrownOut   = time.Second
	// pathFault is where a stand-in target takes its faults.
	pathFault = "/_fault"
)

// brownOutCallers keep somewhat more in flight than there are slots.
func (o Options) brownOutCallers() int { return brownOutTargets * o.Slots * 5 / 3 }

// brownOut is a failure of some targets for a while.
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

// runBrownOuts measures each brown-out with the retry budget, and without it
// if there is such a copy of the module.
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

// repeatBrownOut starts a fleet, so that every retry budget is full.
func repeatBrownOut(ctx context.Context, o Options, b brownOut, module string, seed uint64) ([]table.Value, error) {
	f, err := startFleet(ctx, o, brownOutTargets, o.brownOutCallers(), module)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan []try, 1)
	go func() { done <- keepSending(sending, f, o, seed) }()
	time.Sleep(beforeBrownOut)
	from := time.Now()
	if err := setFaults(f, b.targets, http.MethodPost, b.faults); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(from.Add(brownOutFor)))
	until := time.Now()
	if err := setFaults(f, b.targets, http.MethodDelete, engine.Faults{}); err != nil {
		return nil, err
	}
	time.Sleep(afterBrownOut)
	cancel()
	tries := <-done
	entries, err := f.Journals()
	if err != nil {
		return nil, err
	}
	return judgeBrownOut(tries, entries, from, until), nil
}

// keepSending lets callers send one request after another, each until it is
// answered, until ctx ends.
func keepSending(ctx context.Context, f *fleet.Fleet, o Options, seed uint64) []try {
	client := load.NewClient(callerTimeout)
	defer client.Close()
	var mu sync.Mutex
	var all []try
	var callers sync.WaitGroup
	for caller := range o.brownOutCallers() {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n := 0; ctx.Err() == nil; n++ {
				r := o.request(fmt.Sprintf("b%d-c%d-%d", seed, caller, n))
				tries := persist(ctx, client, f.Callers(), r, random)
				mu.Lock()
				all = append(all, tries...)
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
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		_ = answer.Body.Close()
	}
	return nil
}

// judgeBrownOut counts what was sent to targets during the brown-out for each
// request that reached one, and what callers were told.
func judgeBrownOut(tries []try, entries []journal.Entry, from, until time.Time) []table.Value {
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
	for _, t := range tries {
		if !within(t.Start) {
			continue
		}
		if t.Verdict == load.Answered {
			answered++
			continue
		}
		outcomes[t.Code]++
		latencies = append(latencies, t.End.Sub(t.Start))
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
		{Name: "failures p50 ms", Number: quantile(latencies, 0.5)},
		{Name: "p99 ms", Number: quantile(latencies, 0.99)},
	}
}
