package cli

import (
	"cmp"
	"io"
	"slices"

	"github.com/walnutcove/walnutcove/operator"
)

// maxListedRows is the number of routers, targets or workspaces up to which the status lists
// all of them: as many as fit on a screen. Of more, it prints a summary and lists those that
// need attention.
const maxListedRows = 24

// group identifies the routers or targets that one line of a summary covers. The pool is
// empty for routers.
type group struct{ pool, dataCentre string }

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.dataCentre, b.dataCentre))
}

// groupRows collects rows by group, and returns the groups in order.
func groupRows[T any](rows []T, groupOf func(T) group) ([]group, map[group][]T) {
	byGroup := make(map[group][]T)
	var groups []group
	for _, row := range rows {
		g := groupOf(row)
		if byGroup[g] == nil {
			groups = append(groups, g)
		}
		byGroup[g] = append(byGroup[g], row)
	}
	slices.SortFunc(groups, compareGroups)
	return groups, byGroup
}

// count returns for how many rows a condition holds.
func count[T any](rows []T, holds func(T) bool) int {
	n := 0
	for _, row := range rows {
		if holds(row) {
			n++
		}
	}
	return n
}

// sum adds up a figure over rows.
func sum[T any](rows []T, figure func(T) int) int {
	total := 0
	for _, row := range rows {
		total += figure(row)
	}
	return total
}

// summariseRouters prints a line for each data centre, and lists the routers that need
// attention.
func (a *app) summariseRouters(s operator.Status) error {
	t := newTable(a.Out, "DATA-CENTRE", "ROUTERS", "READY", "UNREACHABLE", "BEHIND", "LEAVING", "WAITING", "RUNNING")
	groups, rows := groupRows(s.Routers, func(r operator.RouterStatus) group { return group{dataCentre: r.DataCentre} })
	for _, g := range groups {
		members := rows[g]
		countIn := func(state operator.RouterState) int {
			return count(members, func(r operator.RouterStatus) bool { return r.State == state })
		}
		t.row(g.dataCentre, formatNumber(len(members)), formatNumber(countIn(operator.RouterReady)), formatNumber(countIn(operator.RouterUnreachable)),
			formatNumber(count(members, func(r operator.RouterStatus) bool { return isBehind(r, s) })),
			formatNumber(count(members, func(r operator.RouterStatus) bool { return r.Leaving })),
			formatNumber(sum(members, func(r operator.RouterStatus) int { return r.Waiting })),
			formatNumber(sum(members, func(r operator.RouterStatus) int { return r.Running })))
	}
	if err := t.w.Flush(); err != nil {
		return err
	}
	return listMatching(a, "routers not ready, behind, leaving or with an error", s.Routers, printRouters, func(r operator.RouterStatus) bool {
		return r.State != operator.RouterReady || isBehind(r, s) || r.Leaving || r.Error != ""
	})
}

// isBehind reports whether a router that answers has an older version in force than the
// newest one.
func isBehind(r operator.RouterStatus, s operator.Status) bool {
	return r.State != operator.RouterUnreachable && r.Version < s.Newest
}

// summariseTargets prints a line for each pool and data centre, and lists the targets that
// need attention.
func (a *app) summariseTargets(rows []operator.TargetStatus) error {
	t := newTable(a.Out, "POOL", "DATA-CENTRE", "TARGETS", "LIVE", "SUSPECT", "LEAVING", "EVACUATED", "UNKNOWN", "RUNNING", "SLOTS")
	groups, byGroup := groupRows(rows, func(r operator.TargetStatus) group { return group{r.Pool, r.DataCentre} })
	for _, g := range groups {
		members := byGroup[g]
		countIn := func(health operator.TargetHealth) string {
			return formatNumber(count(members, func(r operator.TargetStatus) bool { return r.Health == health }))
		}
		t.row(g.pool, g.dataCentre, formatNumber(len(members)), countIn(operator.TargetLive), countIn(operator.TargetSuspect),
			countIn(operator.TargetLeaving), countIn(operator.TargetEvacuated), countIn(operator.TargetUnknown),
			formatNumber(sum(members, func(r operator.TargetStatus) int { return r.Running })),
			formatNumber(sum(members, func(r operator.TargetStatus) int { return r.Slots })))
	}
	if err := t.w.Flush(); err != nil {
		return err
	}
	return listMatching(a, "targets not live or not in their declared state", rows, printTargets, func(r operator.TargetStatus) bool {
		return r.Health != operator.TargetLive || (r.Orders != "" && r.Orders != operator.OrdersDone)
	})
}

// summariseBacklog lists the workspaces with the most waiting requests.
func (a *app) summariseBacklog(rows []operator.WorkspaceBacklog) error {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, func(x, y operator.WorkspaceBacklog) int { return cmp.Compare(y.Waiting, x.Waiting) })
	rest := rows[maxListedRows:]
	if err := printBacklog(a.Out, rows[:maxListedRows]); err != nil {
		return err
	}
	a.printf("%d workspaces more, with %d waiting; --all lists them\n", len(rest),
		sum(rest, func(r operator.WorkspaceBacklog) int { return r.Waiting }))
	return nil
}

// listMatching prints how many rows a condition holds for and lists the first maxListedRows
// of them.
func listMatching[T any](a *app, what string, rows []T, printTable func(io.Writer, []T) error, holds func(T) bool) error {
	matching := slices.DeleteFunc(slices.Clone(rows), func(row T) bool { return !holds(row) })
	a.printf("%d %s\n", len(matching), what)
	if len(matching) == 0 {
		return nil
	}
	if err := printTable(a.Out, matching[:min(len(matching), maxListedRows)]); err != nil {
		return err
	}
	if more := len(matching) - maxListedRows; more > 0 {
		a.printf("%d more; --all lists them\n", more)
	}
	return nil
}
