package account

import (
	"slices"
	"strings"
	"time"
)

// interestTime is how long after its last report a contributor is told levels,
// and how long it may be silent before the growth of its next report no longer
// counts. It is also how long what was told of others holds.
const interestTime = 3 * time.Second

// rounding is more than a level loses on the way through messages.
const rounding = 1e-5

// Totals is the accounting node's side.
type Totals struct {
	records map[string]*record
	// dirty holds the workspaces with a report since the last Push.
	dirty map[string]bool
}

// record is the level of one workspace.
type record struct {
	level        float64
	contributors map[Source]*contributor
}

// contributor is one incarnation of a scheduler that gave service.
type contributor struct {
	own     float64
	pending float64
	waiting bool
	heardAt time.Duration
	// stale says that the level may hold more of its service than own: own is
	// to be heard anew before its growth counts or the level is told to it.
	stale bool
}

// Count is one workspace's figures for one contributor.
type Count struct {
	Workspace string
	// Level is the fleet's level and Own the part of it from the contributor.
	Level, Own float64
	Elsewhere  Elsewhere
}

// NewTotals returns an accounting node that knows nothing.
func NewTotals() *Totals {
	return &Totals{records: make(map[string]*record), dirty: make(map[string]bool)}
}

// Len returns the number of workspaces that are accounted for here.
func (t *Totals) Len() int { return len(t.records) }

// Report takes in what a contributor tells of a workspace.
func (t *Totals) Report(now time.Duration, from Source, workspace string, report Report) {
	r := t.records[workspace]
	if r == nil {
		r = &record{contributors: make(map[Source]*contributor)}
		t.records[workspace] = r
	}
	t.dirty[workspace] = true
	c := r.contributors[from]
	if c == nil {
		c = &contributor{own: report.Own, heardAt: now}
		r.contributors[from] = c
	}
	if now-c.heardAt > interestTime {
		c.stale = true // another node may have counted meanwhile
	}
	c.heardAt = now
	r.take(c, report)
}

// take adds the growth of the contributor's own service, or takes its level over
// if that is higher. A higher level was lifted or comes from another accounting
// node: it may hold what the others gave, which they report only now.
func (r *record) take(c *contributor, report Report) {
	if report.Own >= c.own {
		if !c.stale {
			r.level += report.Own - c.own
		}
		c.stale = false
		c.own = report.Own
		c.pending = report.Pending
		c.waiting = report.Waiting
	}
	raised := report.Level > r.level+rounding
	r.level = max(r.level, report.Level)
	if !raised {
		return
	}
	for _, other := range r.contributors {
		if other != c {
			other.stale = true
		}
	}
}

// Changed says whether Push has something to return.
func (t *Totals) Changed() bool { return len(t.dirty) > 0 }

// Push returns, for each contributor that reported of late, the figures of the
// workspaces with a report since the last Push, in order of name.
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
		slices.SortFunc(counts, func(a, b Count) int { return strings.Compare(a.Workspace, b.Workspace) })
	}
	return out
}

// push adds the record's figures for the contributors that reported of late.
func (r *record) push(now time.Duration, workspace string, out map[Source][]Count) {
	pending, waiting := 0.0, 0
	for _, c := range r.contributors {
		if now-c.heardAt > interestTime {
			continue
		}
		pending += c.pending
		if c.waiting {
			waiting++
		}
	}
	for from, c := range r.contributors {
		if now-c.heardAt > interestTime || c.stale {
			continue
		}
		others := waiting
		if c.waiting {
			others--
		}
		out[from] = append(out[from], Count{
			Workspace: workspace,
			Level:     r.level,
			Own:       c.own,
			Elsewhere: Elsewhere{Pending: max(0, pending-c.pending), Waiting: others},
		})
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
