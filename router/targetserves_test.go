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

// TestTargetServesFollowsListingAndNotices checks that, until a request is sent, its exchange
// reports whether the target still takes work, by the targets then in force and the target's
// notices.
func TestTargetServesFollowsListingAndNotices(t *testing.T) {
	const address = "127.0.0.1:1"
	var inForce *config.Snapshot
	list := func(targets map[string]config.Target) {
		inForce = &config.Snapshot{Declarations: config.Declarations{Targets: targets}}
	}
	loop := newLoop(nil, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g := &grantSource{loop: loop, inForce: func() *config.Snapshot { return inForce }, notices: &targetNotices{}}
	ex := &pipeline.Exchange{}
	list(map[string]config.Target{"a": {Address: address}})
	if err := g.applyAnswer(ex, grantAnswer{dispatch: &control.Dispatch{Target: "a"}}); err != nil {
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
		t.Error("does not serve, because the previous start announced that it leaves")
	}
	g.notices.add(0, "a", 2, notice.Notice{Leaving: true})
	if ex.TargetServes() {
		t.Error("serves, although its answer announced that it leaves")
	}
}
