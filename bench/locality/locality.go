// Package locality measures the benefit of choosing a target by where the prompt's
// prefix is likely to be cached, compared with choosing by load alone. Prompts
// share long prefixes, of which each engine caches only a few.
package locality

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/bench/table"
	"github.com/walnutcove/walnutcove/bench/workload"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/settings"
)

// Options configure the experiment.
type Options struct {
	Routers int
	// Prefixes is the number of prompt prefixes, which are chosen by Zipf's law.
	Prefixes int
	// PrefixBytes is the length of each prefix.
	PrefixBytes int
	// CacheEntries is how many prefixes each engine caches, ReportGap the fraction
	// of them that its load reports leave out, and ReportPeriod the period at
	// which it renews the reports.
	CacheEntries int
	ReportGap    float64
	ReportPeriod time.Duration
	// Callers lists the numbers of requests to keep in flight, one case each.
	Callers []int
	// Duration is how long callers send in each repeat.
	Duration time.Duration
	Repeats  int
	// CSV receives the raw values; nil for none.
	CSV io.Writer
}

const (
	deployment = "ilesanmi"
	// answerTokens is the length of an answer, which takes 50 ms after the first
	// token.
	answerTokens = 25
	// zipfExponent and zipfOffset are the parameters of the distribution of
	// prefixes.
	zipfExponent = 1.1
	zipfOffset   = 1
	// settleTime is how long a new fleet gets to settle. As much is left out at
	// the beginning of each repeat, while the caches fill.
	settleTime = 2 * time.Second
)

// Run runs the experiment and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	var rows []table.Row
	for _, locality := range []bool{true, false} {
		measured, err := runPolicy(ctx, o, locality)
		if err != nil {
			return err
		}
		rows = append(rows, measured...)
	}
	if err := table.WriteCSV(o.CSV, rows); err != nil {
		return err
	}
	return table.Write(out, rows)
}

// runPolicy starts a fleet, with or without locality, and measures every number of
// callers on it, o.Repeats times.
func runPolicy(ctx context.Context, o Options, locality bool) ([]table.Row, error) {
	d := workload.Deployments[deployment]
	pools := d.Pools()
	pool := pools[workload.Pool]
	pool.PrefixEntries, pool.PrefixGap, pool.LoadLag = o.CacheEntries, o.ReportGap, o.ReportPeriod
	pools[workload.Pool] = pool
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres:  d.DataCentres,
		Routers:      o.Routers,
		Pools:        pools,
		Workspaces:   workload.Shapes["burst"].WithDefaults("burst").DeclaredWorkspaces(d),
		EditSettings: func(s *settings.Settings) { s.Scheduling.PrefixLocality = locality },
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	time.Sleep(settleTime)
	e := experiment{options: o, deployment: d, fleet: f, prefixes: promptPrefixes(o), caches: newCacheModel(o.CacheEntries, d.Targets)}
	var rows []table.Row
	for _, callers := range o.Callers {
		for repeat := range o.Repeats {
			values, err := e.run(ctx, callers, uint64(repeat+1))
			if err != nil {
				return nil, err
			}
			name := fmt.Sprintf("%d callers, %s", callers, policyName(locality))
			rows = append(rows, table.Row{Case: name, Repeat: repeat + 1, Values: values})
		}
	}
	return rows, nil
}

func policyName(locality bool) string {
	if locality {
		return "load then prefix"
	}
	return "load alone"
}

// promptPrefixes returns the prefixes that prompts share. They differ in their
// first bytes, which are what a router hashes.
func promptPrefixes(o Options) []string {
	all := make([]string, o.Prefixes)
	for n := range all {
		distinct := fmt.Sprintf("prefix %d. ", n)
		all[n] = distinct + strings.Repeat("x", max(0, o.PrefixBytes-len(distinct)))
	}
	return all
}

// experiment is a running fleet with a model of its engines' caches.
type experiment struct {
	options    Options
	deployment workload.Deployment
	fleet      *fleet.Fleet
	prefixes   []string
	caches     *cacheModel
}

// run lets callers send and evaluates the time after settleTime.
func (e *experiment) run(ctx context.Context, callers int, seed uint64) ([]table.Value, error) {
	if err := e.fleet.ClearJournals(); err != nil {
		return nil, err
	}
	start := time.Now()
	sendCtx, cancel := context.WithTimeout(ctx, settleTime+e.options.Duration)
	defer cancel()
	results := e.send(sendCtx, callers, seed)
	entries, err := e.fleet.Journals()
	if err != nil {
		return nil, err
	}
	record := measure.NewRecord(start, results, entries)
	record.From, record.To = settleTime, settleTime+e.options.Duration
	counts := e.caches.replay(entries, results, start.Add(settleTime))
	return e.evaluate(record, results, counts, start), nil
}

// send spreads the callers over the workspaces and returns all results.
func (e *experiment) send(ctx context.Context, callers int, seed uint64) []load.Result {
	var mu sync.Mutex
	var results []load.Result
	var senders sync.WaitGroup
	for n := range workload.WorkspaceCount {
		callersHere := callers / workload.WorkspaceCount
		if n < callers%workload.WorkspaceCount {
			callersHere++
		}
		run := load.Run{
			Routers: e.fleet.CallerAddresses(),
			Callers: callersHere,
			Seed:    seed<<8 | uint64(n),
			Next:    func(sequence int, random *rand.Rand) load.Request { return e.request(n, sequence, random) },
			OnResult: func(r load.Result) {
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			},
		}
		senders.Go(func() { run.Do(ctx) })
	}
	senders.Wait()
	return results
}

func (e *experiment) request(n, sequence int, random *rand.Rand) load.Request {
	zipf := rand.NewZipf(random, zipfExponent, zipfOffset, uint64(len(e.prefixes)-1))
	return load.Request{
		Kind:      load.Stream,
		Workspace: workload.WorkspaceName(n),
		Key:       workload.WorkspaceKey(n),
		Mark:      fmt.Sprintf("w%d-%d-%d", n, sequence, random.Uint32()),
		Model:     workload.Model,
		Prefix:    e.prefixes[zipf.Uint64()],
		MaxTokens: answerTokens,
		Deadline:  time.Minute,
	}
}
