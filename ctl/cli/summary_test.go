package cli

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/operator"
)

// largeFleet returns the status of a fleet of 300 routers, some of which need attention.
func largeFleet() operator.Status {
	s := operator.Status{Newest: 7}
	for n := range 300 {
		r := operator.RouterStatus{Node: fmt.Sprintf("vm-%03d", n), DataCentre: fmt.Sprintf("dc-%d", n%2), State: operator.RouterReady, Version: 7, Waiting: 1, Running: 2}
		switch n {
		case 10:
			r.State, r.Version, r.Error = operator.RouterUnreachable, 0, "timeout"
		case 11:
			r.Version = 6
		case 12:
			r.Leaving = true
		}
		s.Routers = append(s.Routers, r)
	}
	for n := range 200 {
		health := operator.TargetLive
		if n < 30 {
			health = operator.TargetSuspect
		}
		s.Targets = append(s.Targets, operator.TargetStatus{Name: fmt.Sprintf("t-%03d", n), Pool: "gen", DataCentre: "dc-0", Health: health, Running: 1, Slots: 4})
	}
	for n := range 60 {
		s.Backlog = append(s.Backlog, operator.WorkspaceBacklog{Workspace: fmt.Sprintf("w-%02d", n), Waiting: n})
	}
	return s
}

// TestStatusOfLargeFleet checks that the status of hundreds of routers fits on two screens,
// summarises what is healthy, and lists what is not.
func TestStatusOfLargeFleet(t *testing.T) {
	var out bytes.Buffer
	a := &app{Streams: Streams{Out: &out}}
	if err := a.printStatus(largeFleet(), false); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"DATA-CENTRE ROUTERS READY UNREACHABLE BEHIND LEAVING WAITING RUNNING dc-0 150 149 1 0 1 150 300 dc-1 150 150 0 1 0 150 300",
		"3 routers not ready, behind, leaving or with an error",
		"vm-010 dc-0 unreachable - - - - timeout vm-011 dc-1 ready 6 1 2 - - vm-012 dc-0 ready 7 1 2 yes -",
		"gen dc-0 200 170 30 0 0 0 200 800 30 targets not live",
		"t-023 gen dc-0 suspect 1 4 0s - - 6 more; --all lists them",
		"w-59 59 0 0 w-58 58 0 0",
		"w-36 36 0 0 36 workspaces more, with 630 waiting; --all lists them",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
	const maxLines = 80
	if lines := strings.Count(out.String(), "\n"); lines > maxLines {
		t.Errorf("%d lines", lines)
	}
}

// TestStatusOfLargeFleetWithAll checks that everything is listed if all is set.
func TestStatusOfLargeFleetWithAll(t *testing.T) {
	var out bytes.Buffer
	a := &app{Streams: Streams{Out: &out}}
	if err := a.printStatus(largeFleet(), true); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"vm-000", "vm-299", "t-199", "w-00"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in the list", want)
		}
	}
}

// TestStatusOfHealthyLargeFleet checks that no router is listed if none needs attention.
func TestStatusOfHealthyLargeFleet(t *testing.T) {
	s := largeFleet()
	for n := range s.Routers {
		s.Routers[n].State, s.Routers[n].Version, s.Routers[n].Leaving, s.Routers[n].Error = operator.RouterReady, 7, false, ""
	}
	var out bytes.Buffer
	a := &app{Streams: Streams{Out: &out}}
	if err := a.printStatus(s, false); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "vm-") || !strings.Contains(out.String(), "\n0 routers not ready") {
		t.Errorf("%s", out.String())
	}
}
