package config

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RouteKind determines whether a request may be repeated after it was sent.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent is for requests that may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent is for requests that must run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteStream is for requests answered by event streams. A stream is
	// non-idempotent unless the route sets Resumes.
	RouteStream RouteKind = "stream"
)

// Route assigns the requests for a host and path prefix to pools.
type Route struct {
	// Host is the host name that callers send, without a port.
	Host string `json:"host" toml:"host"`
	// Prefix is a path prefix that begins and ends with a slash. Of a host's
	// routes, the one with the longest matching prefix is used.
	Prefix string `json:"prefix" toml:"prefix"`
	// Split lists the pools that serve the route, with their weights.
	Split []RouteShare `json:"split" toml:"split"`
	// Kind determines whether requests may be repeated.
	Kind RouteKind `json:"kind" toml:"kind"`
	// Resumes allows a broken stream to continue at another target.
	Resumes bool `json:"resumes,omitempty" toml:"resumes,omitempty"`
	// Public routes need no workspace key.
	Public bool `json:"public,omitempty" toml:"public,omitempty"`
	// Attempts limits the number of targets that may run one request. Default 1.
	Attempts int `json:"attempts,omitempty" toml:"attempts,omitempty"`
	// TimeoutMillis limits the time to the end of an answer; zero: limited by
	// the caller's deadline only.
	TimeoutMillis int `json:"timeout_millis,omitempty" toml:"timeout_millis,omitempty"`
	// ObjectiveMillis is the time within which an answer, or the first event of
	// a stream, counts as on time; zero: no objective.
	ObjectiveMillis int `json:"objective_millis,omitempty" toml:"objective_millis,omitempty"`
	// PauseMillis is the longest pause between two events for a stream to be on
	// time; zero: no limit.
	PauseMillis int `json:"pause_millis,omitempty" toml:"pause_millis,omitempty"`
	// Regions, if not empty, restricts the route's requests to targets in these regions.
	Regions []string `json:"regions,omitempty" toml:"regions,omitempty"`
	// Priority ranks requests; 0 is the highest.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
}

// RouteShare is a pool's share of a route's requests.
type RouteShare struct {
	// Pool is the pool's name.
	Pool string `json:"pool" toml:"pool"`
	// Weight is the pool's share of the requests, relative to the other weights.
	Weight int `json:"weight" toml:"weight"`
}

// MaxRouteMillis is the upper limit of a route's times: one day.
const MaxRouteMillis = 24 * 60 * 60 * 1000

// IsIdempotent reports whether a request may run more than once, as long as its
// caller has received no part of an answer.
func (r Route) IsIdempotent() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumes)
}

// Timeout is the route's time limit; zero if it has none.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Objective is the time within which an answer counts as on time; zero if there
// is no objective.
func (r Route) Objective() time.Duration {
	return time.Duration(r.ObjectiveMillis) * time.Millisecond
}

// PickPool selects the pool for a request in proportion to the weights. point
// is in [0, 1); equal points select the same pool.
func (r Route) PickPool(point float64) string {
	total := 0
	for _, share := range r.Split {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return ""
	}
	remaining := int(point * float64(total))
	for _, share := range r.Split {
		remaining -= max(0, share.Weight)
		if remaining < 0 {
			return share.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}

func defaultRoute() Route { return withRouteDefaults(Route{}) }

func withRouteDefaults(r Route) Route {
	if r.Attempts == 0 {
		r.Attempts = 1
	}
	return normaliseRoute(r)
}

func normaliseRoute(r Route) Route {
	if r.Split == nil {
		r.Split = []RouteShare{}
	}
	return r
}

// checkRoute adds the problems of one route.
func checkRoute(d Declarations, name string, r Route, problems *problemList) {
	object := routeSection.path(name)
	checkName(object, name, problems)
	if r.Host == "" || len(r.Host) > MaxNameBytes || r.Host != strings.ToLower(r.Host) {
		problems.add(object, "host", "must be a host name in lower case")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		problems.add(object, "prefix", "must begin and end with a slash")
	}
	kinds := []RouteKind{RouteIdempotent, RouteNonIdempotent, RouteStream}
	if !slices.Contains(kinds, r.Kind) {
		problems.add(object, "kind", "must be one of %q", kinds)
	}
	if r.Attempts < 1 {
		problems.add(object, "attempts", "must be over 0")
	}
	checkMillis(object, "timeout_millis", r.TimeoutMillis, problems)
	checkMillis(object, "objective_millis", r.ObjectiveMillis, problems)
	checkMillis(object, "pause_millis", r.PauseMillis, problems)
	checkSplit(d, object, r, problems)
}

func checkMillis(object, field string, millis int, problems *problemList) {
	if millis < 0 || millis > MaxRouteMillis {
		problems.add(object, field, "must be from 0 to %d", MaxRouteMillis)
	}
}

func checkSplit(d Declarations, object string, r Route, problems *problemList) {
	weights := 0
	for _, share := range r.Split {
		if share.Weight < 0 {
			problems.add(object, "split", "weight of pool %q is below 0", share.Pool)
		}
		weights += max(0, share.Weight)
		if _, ok := d.Pools[share.Pool]; !ok {
			problems.add(object, "split", "pool %q is not declared", share.Pool)
		}
	}
	if weights == 0 {
		problems.add(object, "split", "must give a pool a weight over 0")
	}
}

// Uses reports whether the route leads to a pool.
func (r Route) Uses(pool string) bool {
	return slices.ContainsFunc(r.Split, func(share RouteShare) bool { return share.Pool == pool && share.Weight > 0 })
}

// pools returns the names of the pools in the split.
func (r Route) pools() []string {
	names := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		names = append(names, share.Pool)
	}
	return names
}

// checkRoutesUnique rejects routes with the same host and prefix.
func checkRoutesUnique(routes map[string]Route, problems *problemList) {
	seen := make(map[string]string, len(routes))
	for _, name := range sortedNames(routes) {
		key := routes[name].Host + routes[name].Prefix
		if other, taken := seen[key]; taken {
			problems.add(routeSection.path(name), "prefix", "is that of route %q too", other)
		}
		seen[key] = name
	}
}

// NamedRoute is a route with its name.
type NamedRoute struct {
	Route
	// Name is the route's name in the declarations.
	Name string
}

// routeTable holds the routes by host, longest prefix first.
type routeTable map[string][]*NamedRoute

func newRouteTable(routes map[string]Route) routeTable {
	table := make(routeTable)
	for name, route := range routes {
		table[route.Host] = append(table[route.Host], &NamedRoute{Route: route, Name: name})
	}
	for _, list := range table {
		slices.SortFunc(list, func(a, b *NamedRoute) int {
			if byLength := len(b.Prefix) - len(a.Prefix); byLength != 0 {
				return byLength
			}
			return strings.Compare(a.Prefix, b.Prefix)
		})
	}
	return table
}

// RouteOf returns the route of a request, or nil if there is none. The host may
// include a port and the path a query.
func (x *Index) RouteOf(host, path string) *NamedRoute {
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	path, _, _ = strings.Cut(path, "?")
	for _, route := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// String formats the order for logs.
func (o SnapshotOrder) String() string { return fmt.Sprintf("%d at %s", o.Version, o.Targets) }

// SnapshotOrder ranks snapshots: by version, and within a version by the revision of
// the target listing. A router never goes back to a snapshot of lower order.
type SnapshotOrder struct {
	// Version is the configuration version.
	Version Version
	// Config is Snapshot.ConfigRevision. It distinguishes contents published
	// under the same version.
	Config Revision
	// Targets is the revision of the target listing; zero if the targets are
	// part of the version.
	Targets Revision
	// Unversioned is Snapshot.UnversionedChanges. It is local to this router.
	Unversioned uint64
}

// After reports whether a snapshot of order o may replace one of order other:
// no component is lower, and at least one is higher. Config is compared only
// within one version.
func (o SnapshotOrder) After(other SnapshotOrder) bool {
	if o.Version < other.Version || o.Targets < other.Targets || o.Unversioned < other.Unversioned {
		return false
	}
	if o.Version == other.Version && o.Config < other.Config {
		return false
	}
	return o != other
}

// Order returns the snapshot's order.
func (s *Snapshot) Order() SnapshotOrder {
	return SnapshotOrder{Version: s.Version, Config: s.ConfigRevision, Targets: s.TargetsRevision, Unversioned: s.UnversionedChanges}
}
