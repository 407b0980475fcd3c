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

// cache is a least-recently-used set of prefixes, as each engine has one.
type cache struct {
	entries int
	order   *list.List // of string, the most recent first
	byName  map[string]*list.Element
}

func newCache(entries int) *cache {
	return &cache{entries: entries, order: list.New(), byName: make(map[string]*list.Element)}
}

// use says whether a prefix was there, and makes it the most recent.
func (c *cache) use(prefix string) bool {
	if found, ok := c.byName[prefix]; ok {
		c.order.MoveToFront(found)
		return true
	}
	c.byName[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > c.entries {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.byName, oldest.Value.(string))
	}
	return false
}

// caches follows what the engines cache from what they started: an engine
// looks a prompt up as it starts the run.
type caches struct {
	entries int
	each    map[string]*cache
	// whole is one cache as large as all together: the most that any choice
	// of targets could hope for.
	whole *cache
}

func newCaches(entries, targets int) *caches {
	return &caches{entries: entries, each: make(map[string]*cache), whole: newCache(entries * targets)}
}

// hits counts runs, those whose prefix was cached at their target, and those
// whose prefix one large cache would have held.
type hits struct{ runs, cached, whole int }

// follow takes in the starts, and counts those from a time on.
func (c *caches) follow(entries []journal.Entry, results []load.Result, from time.Time) hits {
	prefixOf := make(map[string]string, len(results))
	for _, r := range results {
		prefixOf[r.RequestID] = r.Request.Prefix
	}
	starts := slices.DeleteFunc(slices.Clone(entries), func(e journal.Entry) bool { return e.Event != journal.Started })
	slices.SortStableFunc(starts, func(a, b journal.Entry) int { return a.Wall.Compare(b.Wall) })
	var found hits
	for _, e := range starts {
		own := c.each[e.Target]
		if own == nil {
			own = newCache(c.entries)
			c.each[e.Target] = own
		}
		cached, whole := own.use(prefixOf[e.RequestID]), c.whole.use(prefixOf[e.RequestID])
		if e.Wall.Before(from) {
			continue
		}
		found.runs++
		found.cached += count(cached)
		found.whole += count(whole)
	}
	return found
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

func (e *experiment) judge(record measure.Record, results []load.Result, found hits, start time.Time) []table.Value {
	shares := make(map[string]float64)
	for n := range workload.Workspaces {
		shares[workload.WorkspaceName(n)] = 1
	}
	everyone := func(string, string) bool { return true }
	summary := load.NewSummary()
	for _, r := range results {
		if r.Start.After(start.Add(settleFor)) {
			summary.Add(r)
		}
	}
	busy, length := slotTime(record)
	slots := float64(e.deployment.Slots*e.deployment.Targets) * (record.To - record.From).Seconds()
	return []table.Value{
		{Name: "runs/s", Number: float64(found.runs) / (record.To - record.From).Seconds()},
		{Name: "cached %", Number: percent(found.cached, found.runs)},
		{Name: "in one large cache %", Number: percent(found.whole, found.runs)},
		{Name: "slot ms/run", Number: length * 1000},
		{Name: "first part p50 ms", Number: summary.FirstPartLatency(50).Seconds() * 1000},
		{Name: "p95 ms", Number: summary.FirstPartLatency(95).Seconds() * 1000},
		{Name: "slots busy %", Number: 100 * busy / slots},
		{Name: "utilisation %", Number: 100 * record.Utilisation(e.deployment.SlotsOf(), everyone)},
		{Name: "gap s/share", Number: record.FairnessGap(shares).SlotSeconds},
		{Name: "not answered", Number: float64(len(results) - answered(results))},
	}
}

func answered(results []load.Result) int {
	n := 0
	for _, r := range results {
		n += count(r.Verdict == load.Answered)
	}
	return n
}

// slotTime returns the slot seconds held within the record's bounds, and the
// mean length in seconds of the runs that began there.
func slotTime(record measure.Record) (busy, mean float64) {
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
