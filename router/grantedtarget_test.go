package router

import (
	"io"
	"log/slog"
	"testing"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/pipeline"
)

// TestGrantFollowsItsTarget: an exchange can tell until it is sent whether its target
// still takes work, as the listing of targets in force then says, and what the target said.
func TestGrantFollowsItsTarget(t *testing.T) {
	const address = "127.0.0.1:1"
	var inForce *config.Snapshot
	list := func(targets map[string]config.Target) {
		inForce = &config.Snapshot{Declarations: config.Declarations{Targets: targets}}
	}
	loop := newLoop(nil, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g := &grants{loop: loop, inForce: func() *config.Snapshot { return inForce }, notices: &notices{}}
	ex := &pipeline.Exchange{}
	list(map[string]config.Target{"a": {Address: address}})
	if err := g.accept(ex, grantAnswer{dispatch: &control.Dispatch{Target: "a"}}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		listed map[string]config.Target
		serves bool
	}{
		{"unchanged", map[string]config.Target{"a": {Address: address}}, true},
		{"leaving", map[string]config.Target{"a": {Address: address, Leaving: true}}, false},
		{"gone", nil, false},
		{"moved", map[string]config.Target{"a": {Address: "127.0.0.1:2"}}, false},
	} {
		list(c.listed)
		if got := ex.TargetServes(); got != c.serves {
			t.Errorf("%s: serves %v", c.name, got)
		}
	}
	list(map[string]config.Target{"a": {Address: address, Start: 2}})
	g.notices.add(0, "a", 1, notice.Notice{Leaving: true})
	if !ex.TargetServes() {
		t.Error("does not serve, as the start before said that it leaves")
	}
	g.notices.add(0, "a", 2, notice.Notice{Leaving: true})
	if ex.TargetServes() {
		t.Error("serves, though its answer said that it leaves")
	}
}
