package measure

import (
	"time"

	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// Join works out runs and waits from what callers saw and targets journalled.
// All processes share one machine's clock.
func Join(start time.Time, results []load.Result, entries []journal.Entry) Record {
	workspaceOf := make(map[string]string, len(results))
	for _, r := range results {
		workspaceOf[r.RequestID] = r.Request.Workspace
	}
	var record Record
	type key struct {
		target string
		run    uint64
	}
	open := make(map[key]time.Duration)
	startedAt := make(map[string]time.Duration)
	for _, e := range entries {
		k := key{e.Target, e.Run}
		at := e.Wall.Sub(start)
		switch e.Event {
		case journal.Started:
			open[k] = at
			startedAt[e.RequestID] = at
		case journal.Ended:
			from, ran := open[k]
			if !ran {
				continue
			}
			delete(open, k)
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
		if at, ran := startedAt[r.RequestID]; ran {
			wait.To = at
		}
		record.Waits = append(record.Waits, wait)
	}
	return record
}
