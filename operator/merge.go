package operator

import (
	"cmp"
	"slices"
)

// MergeStatus merges the statuses of several routers into one. All routers and
// shards are listed; of a target reported twice, the row with the newer load
// report is kept; the backlog of a workspace is summed. Rows are sorted by name.
func MergeStatus(parts []Status) Status {
	merged := Status{}
	targets := make(map[string]TargetStatus)
	backlog := make(map[string]WorkspaceBacklog)
	for _, part := range parts {
		merged.Newest = max(merged.Newest, part.Newest)
		merged.Routers = append(merged.Routers, part.Routers...)
		merged.Shards = append(merged.Shards, part.Shards...)
		mergeTargets(targets, part.Targets)
		mergeBacklog(backlog, part.Backlog)
	}
	for _, row := range targets {
		merged.Targets = append(merged.Targets, row)
	}
	for _, row := range backlog {
		merged.Backlog = append(merged.Backlog, row)
	}
	sortStatus(&merged)
	return merged
}

func mergeTargets(into map[string]TargetStatus, rows []TargetStatus) {
	for _, row := range rows {
		previous, ok := into[row.Name]
		if !ok || hasNewerReport(row, previous) {
			into[row.Name] = row
		}
	}
}

// hasNewerReport reports whether a has a newer load report than b. A negative age
// means that there is no report.
func hasNewerReport(a, b TargetStatus) bool {
	if a.LoadAgeMillis < 0 {
		return false
	}
	return b.LoadAgeMillis < 0 || a.LoadAgeMillis < b.LoadAgeMillis
}

func mergeBacklog(into map[string]WorkspaceBacklog, rows []WorkspaceBacklog) {
	for _, row := range rows {
		sum := into[row.Workspace]
		sum.Workspace = row.Workspace
		sum.Waiting += row.Waiting
		sum.WaitingBytes += row.WaitingBytes
		sum.Running += row.Running
		into[row.Workspace] = sum
	}
}

func sortStatus(s *Status) {
	slices.SortFunc(s.Routers, func(a, b RouterStatus) int { return cmp.Compare(a.Node, b.Node) })
	slices.SortFunc(s.Targets, func(a, b TargetStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Backlog, func(a, b WorkspaceBacklog) int { return cmp.Compare(a.Workspace, b.Workspace) })
	slices.SortFunc(s.Shards, func(a, b ShardStatus) int {
		return cmp.Or(
			cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(a.Scheduler, b.Scheduler),
		)
	})
}
