package account

import (
	"slices"
	"time"
)

// interestTime is how long after its last report a contributor is told totals,
// and how long it may be silent before its next report is a new base line.
const interestTime = 3 * time.Second

// Totals is the accounting node's side.
type Totals struct {
	records map[string]*record
	// dirty holds the workspaces whose total changed since the last Push.
	dirty map[string]bool
}

// record is the sum for one workspace.
type record struct {
	total        float64
	contributors map[Source]*contributor
}

// contributor is one incarnation of a scheduler that gave service.
type contributor struct {
	own float64
	// base is the part of own that is not in the total: what came before the
	// first report, and before the first one after a long silence, is not
	// known to be new.
	base    float64
	heardAt time.Duration
}

// Count is one workspace's figures for one contributor.
type Count struct {
	Workspace string
	Own       float64
	Total     float64
}

// NewTotals returns an accounting node that knows nothing.
func NewTotals() *Totals {
	return &Totals{records: make(map[string]*record), dirty: make(map[string]bool)}
}

// Len returns the number of workspaces that are accounted for here.
func (t *Totals) Len() int { return len(t.records) }

// Report takes in a contributor's cumulative count.
func (t *Totals) Report(now time.Duration, from Source, workspace string, own float64) {
	r := t.records[workspace]
	if r == nil {
		r = &record{contributors: make(map[Source]*contributor)}
		t.records[workspace] = r
	}
	t.dirty[workspace] = true
	c := r.contributors[from]
	if c == nil {
		r.contributors[from] = &contributor{own: own, base: own, heardAt: now}
		return
	}
	if silent := now - c.heardAt; silent > interestTime && own > c.own {
		// Another node did the accounting meanwhile, or nobody could.
		c.base += own - c.own
		c.own = own
	}
	c.heardAt = now
	if own > c.own {
		r.total += own - c.own
		c.own = own
	}
}

// Push returns, for each contributor that reported of late, the counts that
// changed since the last Push, in order of workspace.
func (t *Totals) Push(now time.Duration) map[Source][]Count {
	if len(t.dirty) == 0 {
		return nil
	}
	out := make(map[Source][]Count)
	for workspace := range t.dirty {
		t.records[workspace].push(now, workspace, out)
	}
	clear(t.dirty)
	for _, counts := range out {
		slices.SortFunc(counts, byWorkspace)
	}
	return out
}

func byWorkspace(a, b Count) int {
	if a.Workspace < b.Workspace {
		return -1
	}
	return 1
}

// push adds the record's figures for the contributors that reported of late.
func (r *record) push(now time.Duration, workspace string, out map[Source][]Count) {
	for from, c := range r.contributors {
		if now-c.heardAt > interestTime {
			continue
		}
		out[from] = append(out[from], Count{Workspace: workspace, Own: c.own - c.base, Total: r.total})
	}
}

// Forget drops the contributors of a node's other incarnations.
func (t *Totals) Forget(node string, current uint64) {
	for _, r := range t.records {
		for from := range r.contributors {
			if from.Node == node && from.Incarnation != current {
				delete(r.contributors, from)
			}
		}
	}
}
