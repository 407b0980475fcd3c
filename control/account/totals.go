package account

import (
	"slices"
	"strings"
	"time"
)

// reportTTL is how long after its last report a contributor is sent levels, and how long
// it may send nothing before the growth in its next report no longer counts. It is also how
// long a scheduler relies on what it was sent about others.
const reportTTL = 3 * time.Second

// levelTolerance is more than a level loses by rounding in messages.
const levelTolerance = 1e-5

// Totals holds the levels of the workspaces that a node accounts for.
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
	own        float64
	pending    float64
	waiting    bool
	reportedAt time.Duration
	// stale is set if the level may include more of its service than own. Its next
	// report has to arrive before the growth of own counts or the level is sent to it.
	stale bool
}

// Count holds one workspace's values for one contributor.
type Count struct {
	Workspace string
	// Level is the fleet's level and Own the part of it from the contributor.
	Level, Own float64
	Elsewhere  Elsewhere
}

// NewTotals returns the totals of a node that has received no reports.
func NewTotals() *Totals {
	return &Totals{records: make(map[string]*record), dirty: make(map[string]bool)}
}

// Len returns the number of workspaces that are accounted for here.
func (t *Totals) Len() int { return len(t.records) }

// Report adds a contributor's report on a workspace.
func (t *Totals) Report(now time.Duration, from Source, workspace string, report Report) {
	r := t.records[workspace]
	if r == nil {
		r = &record{contributors: make(map[Source]*contributor)}
		t.records[workspace] = r
	}
	t.dirty[workspace] = true
	c := r.contributors[from]
	if c == nil {
		c = &contributor{own: report.Own, reportedAt: now}
		r.contributors[from] = c
	}
	if now-c.reportedAt > reportTTL {
		c.stale = true // another node may have counted its service in this time
	}
	c.reportedAt = now
	r.add(c, report)
}

// add adds the growth of the contributor's own service, or adopts its level if that is
// higher. A higher level was raised by the scheduler or comes from another accounting
// node. It may include service of the other contributors that they have yet to report
// here.
func (r *record) add(c *contributor, report Report) {
	if report.Own >= c.own {
		if !c.stale {
			r.level += report.Own - c.own
		}
		c.stale = false
		c.own = report.Own
		c.pending = report.Pending
		c.waiting = report.Waiting
	}
	raised := report.Level > r.level+levelTolerance
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

// Changed reports whether Push has anything to return.
func (t *Totals) Changed() bool { return len(t.dirty) > 0 }

// Push returns, for each contributor that reported within reportTTL, the values of the
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

// push adds the record's values for the contributors that reported within reportTTL.
func (r *record) push(now time.Duration, workspace string, out map[Source][]Count) {
	pending, waiting := 0.0, 0
	for _, c := range r.contributors {
		if now-c.reportedAt > reportTTL {
			continue
		}
		pending += c.pending
		if c.waiting {
			waiting++
		}
	}
	for from, c := range r.contributors {
		if now-c.reportedAt > reportTTL || c.stale {
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

// Forget removes the contributors that are other incarnations of a node.
func (t *Totals) Forget(node string, current uint64) {
	for _, r := range t.records {
		for from := range r.contributors {
			if from.Node == node && from.Incarnation != current {
				delete(r.contributors, from)
			}
		}
	}
}
