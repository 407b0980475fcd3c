package locality

import (
	"container/list"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/bench/table"
	"github.com/walnutcove/walnutcove/bench/workload"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/standin/journal"
)

// lru is a set of prefixes that evicts the least recently used one, like the prefix
// cache of an engine.
type lru struct {
	capacity int
	order    *list.List // of strings, most recent first
	byPrefix map[string]*list.Element
}

func newLRU(entries int) *lru {
	return &lru{capacity: entries, order: list.New(), byPrefix: make(map[string]*list.Element)}
}

// touch reports whether the set held a prefix, and makes the prefix the most
// recently used, adding it if necessary.
func (c *lru) touch(prefix string) bool {
	if found, ok := c.byPrefix[prefix]; ok {
		c.order.MoveToFront(found)
		return true
	}
	c.byPrefix[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.byPrefix, oldest.Value.(string))
	}
	return false
}

// cacheModel derives the contents of the engines' prefix caches from the runs that
// they started: an engine looks a prompt up when it starts the run.
type cacheModel struct {
	entries  int // of the cache of each target
	byTarget map[string]*lru
	// combined is one cache as large as those of all targets together: an upper
	// limit for any choice of targets.
	combined *lru
}

func newCacheModel(entries, targets int) *cacheModel {
	return &cacheModel{entries: entries, byTarget: make(map[string]*lru), combined: newLRU(entries * targets)}
}

// hitCounts counts all runs, those whose prefix was cached at their target, and
// those whose prefix the combined cache held.
type hitCounts struct{ runs, cached, combined int }

// replay applies the starts in entries to the model, and counts those from a time
// on.
func (c *cacheModel) replay(entries []journal.Entry, results []load.Result, from time.Time) hitCounts {
	prefixOf := make(map[string]string, len(results))
	for _, r := range results {
		prefixOf[r.RequestID] = r.Request.Prefix
	}
	starts := slices.DeleteFunc(slices.Clone(entries), func(e journal.Entry) bool { return e.Event != journal.Started })
	slices.SortStableFunc(starts, func(a, b journal.Entry) int { return a.Wall.Compare(b.Wall) })
	var counts hitCounts
	for _, e := range starts {
		cache := c.byTarget[e.Target]
		if cache == nil {
			cache = newLRU(c.entries)
			c.byTarget[e.Target] = cache
		}
		cached, combined := cache.touch(prefixOf[e.RequestID]), c.combined.touch(prefixOf[e.RequestID])
		if e.Wall.Before(from) {
			continue
		}
		counts.runs++
		counts.cached += toInt(cached)
		counts.combined += toInt(combined)
	}
	return counts
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (e *experiment) evaluate(record measure.Record, results []load.Result, counts hitCounts, start time.Time) []table.Value {
	shares := make(map[string]float64)
	for n := range workload.WorkspaceCount {
		shares[workload.WorkspaceName(n)] = 1
	}
	anyTarget := func(string, string) bool { return true }
	summary := load.NewSummary()
	for _, r := range results {
		if r.Start.After(start.Add(settleTime)) {
			summary.Add(r)
		}
	}
	busy, meanRun := slotUse(record)
	slots := float64(e.deployment.Slots*e.deployment.Targets) * (record.To - record.From).Seconds()
	return []table.Value{
		{Name: "runs/s", Number: float64(counts.runs) / (record.To - record.From).Seconds()},
		{Name: "cached %", Number: percent(counts.cached, counts.runs)},
		{Name: "in one large cache %", Number: percent(counts.combined, counts.runs)},
		{Name: "slot ms/run", Number: meanRun * 1000},
		{Name: "first part p50 ms", Number: summary.FirstPartLatency(50).Seconds() * 1000},
		{Name: "p95 ms", Number: summary.FirstPartLatency(95).Seconds() * 1000},
		{Name: "slots busy %", Number: 100 * busy / slots},
		{Name: "utilisation %", Number: 100 * record.Utilisation(e.deployment.SlotsByTarget(), anyTarget)},
		{Name: "gap s/share", Number: record.FairnessGap(shares).SlotSeconds},
		{Name: "not answered", Number: float64(len(results) - countAnswered(results))},
	}
}

func countAnswered(results []load.Result) int {
	n := 0
	for _, r := range results {
		n += toInt(r.Verdict == load.Answered)
	}
	return n
}

// slotUse returns the slot seconds held within the record's bounds, and the mean
// length in seconds of the runs that started within them.
func slotUse(record measure.Record) (busy, mean float64) {
	runs := 0
	for _, run := range record.Runs {
		within := min(run.End, record.To) - max(run.Start, record.From)
		busy += max(0, within).Seconds()
		if run.Start >= record.From && run.Start < record.To {
			mean += (run.End - run.Start).Seconds()
			runs++
		}
	}
	return busy, mean / float64(max(1, runs))
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
