package control

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// newRegionFleet returns a tokenFleet with one engine in each of three regions. route and
// workspace are the regions that route "r" and workspace "a" allow.
func newRegionFleet(route, workspace []string) *tokenFleet {
	f := newTokenFleet("e-north", "e-south", "e-west")
	f.declareRegions(route, workspace)
	return f
}

// declareRegions applies a version with the allowed regions of route "r" and workspace "a".
func (f *tokenFleet) declareRegions(route, workspace []string) []Command {
	declarations := *f.machine.topo.decl
	r, w := declarations.Routes["r"], declarations.Workspaces["a"]
	r.Regions, w.Regions = route, workspace
	declarations.Routes = map[string]config.Route{"r": r}
	declarations.Workspaces = map[string]config.Workspace{"a": w, "b": declarations.Workspaces["b"]}
	declarations.Targets = make(map[string]config.Target)
	for name, target := range f.machine.topo.decl.Targets {
		target.Region = name[len("e-"):]
		declarations.Targets[name] = target
	}
	order := f.machine.topo.order
	return f.step(ConfigChanged{Snapshot: &config.Snapshot{Version: order.Version + 1, Declarations: declarations, TargetsRevision: order.Targets}})
}

// arriveByRoute delivers a request by route "r".
func (f *tokenFleet) arriveByRoute(workspace string, excluded ...string) ([]Command, RequestID) {
	f.requests++
	return f.step(RequestArrived{
		Request: f.requests, Attempt: 1, Workspace: workspace, Pool: "gen", Route: "r", Excluded: excluded,
		Deadline: f.now + 12*time.Second, Objective: f.now + 400*time.Millisecond,
		Work: Work{Parts: []PromptPart{sharedPart(1), ownPart(uint64(f.requests))}, OutputTokens: 50},
	}), f.requests
}

// TestRequestsStayInAllowedRegions guards against granting, or fetching from, targets outside
// the regions that the route and the workspace allow, also if both declare regions.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		route, workspace []string
		want             []string
	}{
		{nil, nil, []string{"e-north", "e-south", "e-west"}},
		{[]string{"north", "south"}, nil, []string{"e-north", "e-south"}},
		{nil, []string{"west"}, []string{"e-west"}},
		{[]string{"north", "south"}, []string{"south", "west"}, []string{"e-south"}},
	} {
		f := newRegionFleet(c.route, c.workspace)
		seen := make(map[string]bool)
		for range 8 * len(c.want) {
			commands, request := f.arriveByRoute("a")
			if d, refused := outcomeOf(commands, request); d != nil {
				seen[d.Target] = true
				if d.FetchFrom != "" {
					seen[d.FetchFrom] = true
				}
			} else if refused != nil {
				t.Errorf("route %v, workspace %v: refused with %d", c.route, c.workspace, refused.Code)
			}
		}
		if len(seen) != len(c.want) {
			t.Errorf("route %v, workspace %v: used %v", c.route, c.workspace, seen)
		}
		for _, name := range c.want {
			if !seen[name] {
				t.Errorf("route %v, workspace %v: %s was not used", c.route, c.workspace, name)
			}
		}
	}
}

// TestNoTargetInAllowedRegionsIsRefusedAtOnce guards against requests that wait, or run in
// another region, when no target is left in the allowed regions.
func TestNoTargetInAllowedRegionsIsRefusedAtOnce(t *testing.T) {
	cases := map[string]struct{ route, workspace, excluded []string }{
		"no common region": {route: []string{"north"}, workspace: []string{"south"}},
		"unknown region":   {route: []string{"nowhere"}},
		"second attempt":   {workspace: []string{"north"}, excluded: []string{"e-north"}},
	}
	for name, c := range cases {
		f := newRegionFleet(c.route, c.workspace)
		commands, request := f.arriveByRoute("a", c.excluded...)
		if d, refuse := outcomeOf(commands, request); d != nil || refuse == nil || refuse.Code != result.NoHomeTarget {
			t.Errorf("%s: grant %+v, refusal %+v", name, d, refuse)
		}
	}
}

// TestAllowedRegionsChangeWhileRequestsWait guards against granting a waiting request by the
// allowed regions of an earlier version.
func TestAllowedRegionsChangeWhileRequestsWait(t *testing.T) {
	f := newRegionFleet([]string{"north"}, nil)
	var running []*Dispatch
	for range 8 {
		commands, request := f.arriveByRoute("a")
		d, _ := outcomeOf(commands, request)
		running = append(running, d)
	}
	commands, waiting := f.arriveByRoute("a")
	if d, _ := outcomeOf(commands, waiting); d != nil {
		t.Fatal("granted although all eight slots of the target are in use")
	}
	commands = f.declareRegions([]string{"south"}, nil)
	if d, _ := outcomeOf(commands, waiting); d == nil || d.Target != "e-south" {
		t.Errorf("after the change: %+v", d)
	}
	commands, late := f.arriveByRoute("a")
	if d, _ := outcomeOf(commands, late); d == nil || d.Target != "e-south" {
		t.Errorf("a new request: %+v", d)
	}
	f.declareRegions([]string{"north"}, nil)
	for _, d := range running {
		f.finish(d)
	}
	commands, after := f.arriveByRoute("a")
	if d, _ := outcomeOf(commands, after); d == nil || d.Target != "e-north" {
		t.Errorf("after the change back: grant %+v, want e-north", d)
	}
}
