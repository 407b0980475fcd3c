package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/walnutcove/walnutcove/operator"
)

// table prints aligned columns. Empty cells are printed as "-" so that scripts
// can split lines into columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, headers ...string) table {
	t := table{w: tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	t.row(headers...)
	return t
}

func (t table) row(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (a *app) printHistory(entries []operator.HistoryEntry) error {
	t := newTable(a.Out, "VERSION", "ACCEPTED", "PATCH", "OBJECTS", "AUTHOR", "NOTE")
	for _, e := range entries {
		note := strings.Join(strings.Fields(e.Note), " ")
		t.row(formatNumber(e.Version), e.AcceptedAt.UTC().Format(time.RFC3339), e.PatchID, strconv.Itoa(e.Objects), e.Author, note)
	}
	return t.w.Flush()
}

// printStatus prints the state of the fleet; unless all is set, large tables are summarised.
func (a *app) printStatus(s operator.Status, all bool) error {
	a.printf("newest version=%d\n\nROUTERS\n", s.Newest)
	if err := a.showRouters(s, all); err != nil {
		return err
	}
	a.printf("\nSHARDS\n")
	if err := printShards(a.Out, s.Shards); err != nil {
		return err
	}
	a.printf("\nTARGETS\n")
	if err := a.showTargets(s.Targets, all); err != nil {
		return err
	}
	a.printf("\nBACKLOG\n")
	return a.showBacklog(s.Backlog, all)
}

func (a *app) showRouters(s operator.Status, all bool) error {
	if all || len(s.Routers) <= maxListedRows {
		return printRouters(a.Out, s.Routers)
	}
	return a.summariseRouters(s)
}

func (a *app) showTargets(rows []operator.TargetStatus, all bool) error {
	if all || len(rows) <= maxListedRows {
		return printTargets(a.Out, rows)
	}
	return a.summariseTargets(rows)
}

func (a *app) showBacklog(rows []operator.WorkspaceBacklog, all bool) error {
	if all || len(rows) <= maxListedRows {
		return printBacklog(a.Out, rows)
	}
	return a.summariseBacklog(rows)
}

func printRouters(w io.Writer, rows []operator.RouterStatus) error {
	t := newTable(w, "NODE", "DATA-CENTRE", "STATE", "VERSION", "WAITING", "RUNNING", "LEAVING", "ERROR")
	for _, r := range rows {
		if r.State == operator.RouterUnreachable {
			t.row(r.Node, r.DataCentre, string(r.State), "", "", "", yesOrEmpty(r.Leaving), r.Error)
			continue
		}
		t.row(r.Node, r.DataCentre, string(r.State), formatNumber(r.Version), formatNumber(r.Waiting), formatNumber(r.Running), yesOrEmpty(r.Leaving), r.Error)
	}
	return t.w.Flush()
}

func printShards(w io.Writer, rows []operator.ShardStatus) error {
	t := newTable(w, "POOL", "DATA-CENTRE", "SCHEDULER", "WAITING", "RUNNING", "SLOTS")
	for _, r := range rows {
		t.row(r.Pool, r.DataCentre, r.Scheduler, formatNumber(r.Waiting), formatNumber(r.Running), formatNumber(r.Slots))
	}
	return t.w.Flush()
}

func printTargets(w io.Writer, rows []operator.TargetStatus) error {
	t := newTable(w, "TARGET", "POOL", "DATA-CENTRE", "HEALTH", "RUNNING", "SLOTS", "LOAD-AGE", "SCHEDULER", "ORDERS")
	for _, r := range rows {
		t.row(r.Name, r.Pool, r.DataCentre, string(r.Health), formatNumber(r.Running), formatNumber(r.Slots), formatAge(r.LoadAgeMillis), r.Scheduler, r.Orders)
	}
	return t.w.Flush()
}

func printBacklog(w io.Writer, rows []operator.WorkspaceBacklog) error {
	t := newTable(w, "WORKSPACE", "WAITING", "BYTES", "RUNNING")
	for _, r := range rows {
		t.row(r.Workspace, formatNumber(r.Waiting), formatNumber(r.WaitingBytes), formatNumber(r.Running))
	}
	return t.w.Flush()
}

func formatNumber[T ~int | ~int64 | ~uint64](n T) string { return fmt.Sprint(n) }

func yesOrEmpty(b bool) string {
	if b {
		return "yes"
	}
	return ""
}

func formatAge(millis int64) string {
	if millis < 0 {
		return ""
	}
	return (time.Duration(millis) * time.Millisecond).String()
}
