package cli

import (
	"cmp"
	"io"
	"slices"

	"github.com/walnutcove/walnutcove/operator"
)

// mostRows is how many routers, targets or workspaces the status lists one by one: what
// fits on a screen. Of more, it sums up and lists only those that need a look.
const mostRows = 24

// group is what routers or targets are summed up by. The pool is empty for routers.
type group struct{ pool, dataCentre string }

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.dataCentre, b.dataCentre))
}

// grouped collects rows by group, and returns the groups in order.
func grouped[T any](rows []T, of func(T) group) ([]group, map[group][]T) {
	byGroup := make(map[group][]T)
	var groups []group
	for _, row := range rows {
		g := of(row)
		if byGroup[g] == nil {
			groups = append(groups, g)
		}
		byGroup[g] = append(byGroup[g], row)
	}
	slices.SortFunc(groups, compareGroups)
	return groups, byGroup
}

// count is how many rows a condition holds for.
func count[T any](rows []T, holds func(T) bool) int {
	n := 0
	for _, row := range rows {
		if holds(row) {
			n++
		}
	}
	return n
}

// sum adds a figure up over rows.
func sum[T any](rows []T, figure func(T) int) int {
	total := 0
	for _, row := range rows {
		total += figure(row)
	}
	return total
}

// sumUpRouters writes a line for each data centre, and lists the routers that need a look.
func (a *app) sumUpRouters(s operator.Status) error {
	t := newTable(a.Out, "DATA-CENTRE", "ROUTERS", "READY", "UNREACHABLE", "BEHIND", "LEAVING", "WAITING", "RUNNING")
	groups, rows := grouped(s.Routers, func(r operator.RouterStatus) group { return group{dataCentre: r.DataCentre} })
	for _, g := range groups {
		of := rows[g]
		in := func(state operator.RouterState) int {
			return count(of, func(r operator.RouterStatus) bool { return r.State == state })
		}
		t.row(g.dataCentre, number(len(of)), number(in(operator.RouterReady)), number(in(operator.RouterUnreachable)),
			number(count(of, func(r operator.RouterStatus) bool { return isBehind(r, s) })),
			number(count(of, func(r operator.RouterStatus) bool { return r.Leaving })),
			number(sum(of, func(r operator.RouterStatus) int { return r.Waiting })),
			number(sum(of, func(r operator.RouterStatus) int { return r.Running })))
	}
	if err := t.w.Flush(); err != nil {
		return err
	}
	return listMost(a, "routers not ready, behind, leaving or with an error", s.Routers, printRouters, func(r operator.RouterStatus) bool {
		return r.State != operator.RouterReady || isBehind(r, s) || r.Leaving || r.Error != ""
	})
}

// isBehind says whether a router that answers has an older version in force than another.
func isBehind(r operator.RouterStatus, s operator.Status) bool {
	return r.State != operator.RouterUnreachable && r.Version < s.Newest
}

// sumUpTargets writes a line for each pool and data centre, and lists the targets that need
// a look.
func (a *app) sumUpTargets(rows []operator.TargetStatus) error {
	t := newTable(a.Out, "POOL", "DATA-CENTRE", "TARGETS", "LIVE", "SUSPECT", "LEAVING", "EVACUATED", "UNKNOWN", "RUNNING", "SLOTS")
	groups, byGroup := grouped(rows, func(r operator.TargetStatus) group { return group{r.Pool, r.DataCentre} })
	for _, g := range groups {
		of := byGroup[g]
		in := func(health operator.TargetHealth) string {
			return number(count(of, func(r operator.TargetStatus) bool { return r.Health == health }))
		}
		t.row(g.pool, g.dataCentre, number(len(of)), in(operator.TargetLive), in(operator.TargetSuspect),
			in(operator.TargetLeaving), in(operator.TargetEvacuated), in(operator.TargetUnknown),
			number(sum(of, func(r operator.TargetStatus) int { return r.Running })),
			number(sum(of, func(r operator.TargetStatus) int { return r.Slots })))
	}
	if err := t.w.Flush(); err != nil {
		return err
	}
	return listMost(a, "targets not live or not in their declared state", rows, printTargets, func(r operator.TargetStatus) bool {
		return r.Health != operator.TargetLive || (r.Orders != "" && r.Orders != operator.OrdersDone)
	})
}

// sumUpBacklog lists the workspaces that have the most requests waiting.
func (a *app) sumUpBacklog(rows []operator.WorkspaceBacklog) error {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, func(x, y operator.WorkspaceBacklog) int { return cmp.Compare(y.Waiting, x.Waiting) })
	rest := rows[mostRows:]
	if err := printBacklog(a.Out, rows[:mostRows]); err != nil {
		return err
	}
	a.printf("%d workspaces more, with %d waiting; --all lists them\n", len(rest),
		sum(rest, func(r operator.WorkspaceBacklog) int { return r.Waiting }))
	return nil
}

// listMost lists the rows that a condition holds for, up to a screen of them.
func listMost[T any](a *app, what string, rows []T, list func(io.Writer, []T) error, holds func(T) bool) error {
	found := slices.DeleteFunc(slices.Clone(rows), func(row T) bool { return !holds(row) })
	a.printf("%d %s\n", len(found), what)
	if len(found) == 0 {
		return nil
	}
	if err := list(a.Out, found[:min(len(found), mostRows)]); err != nil {
		return err
	}
	if more := len(found) - mostRows; more > 0 {
		a.printf("%d more; --all lists them\n", more)
	}
	return nil
}
