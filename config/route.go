package config

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be done with a request after it was sent once.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteStream answers are event streams. A stream is non-idempotent unless
	// the route says that it resumes.
	RouteStream RouteKind = "stream"
)

// Route sends the requests of one host and path prefix to pools.
type Route struct {
	// Host is the host name that callers send, without a port.
	Host string `json:"host" toml:"host"`
	// Prefix is a path prefix that begins and ends with a slash. Among the
	// routes of a host the longest prefix of the path wins.
	Prefix string `json:"prefix" toml:"prefix"`
	// Split lists the pools that serve the route, by weight.
	Split []RouteShare `json:"split" toml:"split"`
	// Kind says what may be repeated.
	Kind RouteKind `json:"kind" toml:"kind"`
	// Resumes says that a broken stream may go on at another target.
	Resumes bool `json:"resumes,omitempty" toml:"resumes,omitempty"`
	// Public routes need no workspace key.
	Public bool `json:"public,omitempty" toml:"public,omitempty"`
	// Attempts bounds the targets that may run one request. Default 1.
	Attempts int `json:"attempts,omitempty" toml:"attempts,omitempty"`
	// TimeoutMillis bounds the time to the end of an answer; zero: only the
	// caller's deadline does.
	TimeoutMillis int `json:"timeout_millis,omitempty" toml:"timeout_millis,omitempty"`
	// ObjectiveMillis is the time within which an answer, or a stream's first
	// event, is on time; zero: there is no objective.
	ObjectiveMillis int `json:"objective_millis,omitempty" toml:"objective_millis,omitempty"`
	// PauseMillis is the longest pause between two events of a stream that is
	// on time; zero: there is no bound.
	PauseMillis int `json:"pause_millis,omitempty" toml:"pause_millis,omitempty"`
	// Regions, if not empty, restricts its requests to targets in these regions.
	Regions []string `json:"regions,omitempty" toml:"regions,omitempty"`
	// Priority ranks requests; 0 is the highest.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
}

// RouteShare is one pool of a route's split.
type RouteShare struct {
	// Pool is the pool's name.
	Pool string `json:"pool" toml:"pool"`
	// Weight is the pool's part of the requests, relative to the others'.
	Weight int `json:"weight" toml:"weight"`
}

// MaxRouteMillis bounds the times of a route: one day.
const MaxRouteMillis = 24 * 60 * 60 * 1000

// IsIdempotent says whether a request may run more than once as long as its
// caller has seen nothing of an answer.
func (r Route) IsIdempotent() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumes)
}

// Timeout is the route's time limit; zero if it has none.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Objective is the time within which an answer is on time; zero if there is none.
func (r Route) Objective() time.Duration {
	return time.Duration(r.ObjectiveMillis) * time.Millisecond
}

// Pick returns the pool of a request by its weight. The same point, from 0 up
// to but without 1, gives the same pool.
func (r Route) Pick(point float64) string {
	total := 0
	for _, share := range r.Split {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return ""
	}
	left := int(point * float64(total))
	for _, share := range r.Split {
		left -= max(0, share.Weight)
		if left < 0 {
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

// checkRoute lists the problems of one route.
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

// pools names the pools of the split.
func (r Route) pools() []string {
	names := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		names = append(names, share.Pool)
	}
	return names
}

// checkRoutesUnique refuses two routes of one host and prefix.
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

// routeTable finds routes by host; the longest prefix stands first.
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

// RouteOf returns the route of a request, or nil. The host may carry a port,
// and the path a query.
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

// String names the order of a snapshot for logs.
func (o Order) String() string { return fmt.Sprintf("%d at %s", o.Version, o.Targets) }

// Order ranks snapshots: by version, and for one version by the revision of
// the listing that the targets were read from. A node only moves upwards.
type Order struct {
	// Version is the configuration version.
	Version Version
	// Config is Snapshot.ConfigRevision. It tells writings of one version apart.
	Config Revision
	// Targets is the revision of the listing of targets; zero if the targets
	// are part of the version.
	Targets Revision
	// Lapsed is Snapshot.TargetsLapsed. It counts at this router only.
	Lapsed uint64
}

// After says that a snapshot of this order may replace one of the other:
// no part lies below the other's, and one lies above.
func (o Order) After(other Order) bool {
	if o.Version < other.Version || o.Targets < other.Targets || o.Lapsed < other.Lapsed {
		return false
	}
	if o.Version == other.Version && o.Config < other.Config {
		return false
	}
	return o != other
}

// Order returns the snapshot's order.
func (s *Snapshot) Order() Order {
	return Order{Version: s.Version, Config: s.ConfigRevision, Targets: s.TargetsRevision, Lapsed: s.TargetsLapsed}
}
