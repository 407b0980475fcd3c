// Package locality measures what it is worth to choose a target by where the
// prompt's beginning is likely cached, against choosing by load alone. Prompts
// share long beginnings, of which each engine caches only a few.
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
	// Prefixes is how many beginnings the prompts have, by Zipf's law.
	Prefixes int
	// PrefixBytes is the length of each.
	PrefixBytes int
	// Entries is how many each engine caches, Gap the part that its reports
	// leave out, and Lag the period at which it renews them.
	Entries int
	Gap     float64
	Lag     time.Duration
	// Callers are the numbers of requests kept in flight, one case each.
	Callers []int
	// Duration is how long callers send in each repeat.
	Duration time.Duration
	Repeats  int
	// CSV receives the raw values; nil for none.
	CSV io.Writer
}

const (
	deployment = "ilesanmi"
	// answerTokens make an answer of 50 ms after its first token.
	answerTokens = 25
	// zipfExponent and zipfOffset shape the choice of a prefix.
	zipfExponent = 1.1
	zipfOffset   = 1
	// settleFor is left to a fleet that was started, and left out at the
	// beginning of each repeat while caches fill.
	settleFor = 2 * time.Second
)

// Run makes the measurements and writes a table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	var rows []table.Row
	for _, locality := range []bool{true, false} {
		measured, err := runChoice(ctx, o, locality)
		if err != nil {
			return err
		}
		rows = append(rows, measured...)
	}
	if err := table.CSV(o.CSV, rows); err != nil {
		return err
	}
	return table.Write(out, rows)
}

// runChoice starts a fleet and repeats every load on it.
func runChoice(ctx context.Context, o Options, locality bool) ([]table.Row, error) {
	d := workload.Deployments[deployment]
	pools := d.Pools()
	shaped := pools[workload.Pool]
	shaped.PrefixEntries, shaped.PrefixGap, shaped.LoadLag = o.Entries, o.Gap, o.Lag
	pools[workload.Pool] = shaped
	f, err := fleet.Start(ctx, fleet.Options{
		DataCentres: d.DataCentres,
		Routers:     o.Routers,
		Pools:       pools,
		Workspaces:  workload.Shapes["burst"].WithDefaults("burst").Declared(d),
		Edit:        func(s *settings.Settings) { s.Scheduling.PrefixLocality = locality },
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	time.Sleep(settleFor)
	e := experiment{options: o, deployment: d, fleet: f, prefixes: prompts(o), caches: newCaches(o.Entries, d.Targets)}
	var rows []table.Row
	for _, callers := range o.Callers {
		for repeat := range o.Repeats {
			values, err := e.run(ctx, callers, uint64(repeat+1))
			if err != nil {
				return nil, err
			}
			name := fmt.Sprintf("%d callers, %s", callers, choice(locality))
			rows = append(rows, table.Row{Case: name, Repeat: repeat + 1, Values: values})
		}
	}
	return rows, nil
}

func choice(locality bool) string {
	if locality {
		return "load then prefix"
	}
	return "load alone"
}

// prompts returns the beginnings that prompts share. Each is told apart by its
// first bytes, which are what a router hashes.
func prompts(o Options) []string {
	all := make([]string, o.Prefixes)
	for n := range all {
		begin := fmt.Sprintf("prefix %d. ", n)
		all[n] = begin + strings.Repeat("x", max(0, o.PrefixBytes-len(begin)))
	}
	return all
}

// experiment is a fleet with what the engines' caches hold.
type experiment struct {
	options    Options
	deployment workload.Deployment
	fleet      *fleet.Fleet
	prefixes   []string
	caches     *caches
}

// run sends for the duration and judges what came after the settling.
func (e *experiment) run(ctx context.Context, callers int, seed uint64) ([]table.Value, error) {
	if err := e.fleet.ClearJournals(); err != nil {
		return nil, err
	}
	start := time.Now()
	sending, cancel := context.WithTimeout(ctx, settleFor+e.options.Duration)
	defer cancel()
	results := e.send(sending, callers, seed)
	entries, err := e.fleet.Journals()
	if err != nil {
		return nil, err
	}
	record := measure.Join(start, results, entries)
	record.From, record.To = settleFor, settleFor+e.options.Duration
	found := e.caches.follow(entries, results, start.Add(settleFor))
	return e.judge(record, results, found, start), nil
}

// send spreads the callers over the workspaces and returns all results.
func (e *experiment) send(ctx context.Context, callers int, seed uint64) []load.Result {
	var mu sync.Mutex
	var results []load.Result
	var all sync.WaitGroup
	for n := range workload.Workspaces {
		own := callers / workload.Workspaces
		if n < callers%workload.Workspaces {
			own++
		}
		run := load.Run{
			Routers: e.fleet.Callers(),
			Callers: own,
			Seed:    seed<<8 | uint64(n),
			Next:    func(sequence int, random *rand.Rand) load.Request { return e.request(n, sequence, random) },
			OnResult: func(r load.Result) {
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			},
		}
		all.Go(func() { run.Do(ctx) })
	}
	all.Wait()
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
