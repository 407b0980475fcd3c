package measure

import (
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// NewRecord builds a record from the results that callers got and the entries of
// the targets' journals, with times relative to start. It assumes that the clocks of
// all processes agree, because they share one machine.
func NewRecord(start time.Time, results []load.Result, entries []journal.Entry) Record {
	workspaceOf := make(map[string]string, len(results))
	for _, r := range results {
		workspaceOf[r.RequestID] = r.Request.Workspace
	}
	var record Record
	type key struct {
		target string
		run    uint64
	}
	runStart := make(map[key]time.Duration)
	requestStart := make(map[string]time.Duration)
	for _, e := range entries {
		k := key{e.Target, e.Run}
		at := e.Wall.Sub(start)
		switch e.Event {
		case journal.Started:
			runStart[k] = at
			requestStart[e.RequestID] = at
		case journal.Ended:
			from, started := runStart[k]
			if !started {
				continue
			}
			delete(runStart, k)
			record.Runs = append(record.Runs, Run{
				Workspace: workspaceOf[e.RequestID],
				Target:    e.Target,
				Start:     from,
				End:       at,
			})
		}
	}
	for _, r := range results {
		wait := Wait{Workspace: r.Request.Workspace, From: r.Start.Sub(start), To: r.End.Sub(start)}
		if at, started := requestStart[r.RequestID]; started {
			wait.To = at
		}
		record.Waits = append(record.Waits, wait)
	}
	return record
}
