package router

import (
	"encoding/hex"
	"log/slog"
	"math"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/config"
)

func TestUnreadCountsAreTakenOnce(t *testing.T) {
	var u unreadCounts
	u.add("a", "gen")
	u.add("a", "gen")
	u.add("b", "gen")
	if counts := u.take(); len(counts) != 2 || counts[unreadKey{pool: "gen", workspace: "a"}] != 2 {
		t.Errorf("took %v", counts)
	}
	if counts := u.take(); len(counts) > 0 {
		t.Errorf("took %v again", counts)
	}
}

// TestUnreadLogNamesMostRefused guards against operators who cannot tell which workspaces a
// crowded router refuses: the line names those with most requests, each request counted once.
func TestUnreadLogNamesMostRefused(t *testing.T) {
	var u unreadCounts
	for workspace, count := range map[string]int{"a": 5, "b": 2, "c": 7, "d": 1} {
		for range count {
			u.add(workspace, "gen", "plain")
		}
	}
	var output strings.Builder
	log := slog.New(slog.NewTextHandler(&output, nil))
	logUnread(log, u.takeByWorkspace())
	if want := `requests=15 workspaces=4 most="[c:7 a:5 b:2]"`; !strings.Contains(output.String(), want) {
		t.Errorf("logged %q, want %s", output.String(), want)
	}
	output.Reset()
	logUnread(log, u.takeByWorkspace())
	if output.Len() > 0 {
		t.Errorf("logged %q without refusals", output.String())
	}
}

// TestShedRequestsCountOnceRefused guards against requests that an executor serves and that count
// as refused all the same: the schedulers would hold back other workspaces for them.
func TestShedRequestsCountOnceRefused(t *testing.T) {
	hash := config.HashKey([]byte("secret"))
	r := &Router{managed: &managed{overload: &overload{callerCount: func() int { return 1000 }}}}
	r.inForce.Store(&config.Snapshot{Version: 1, Declarations: config.Declarations{
		Workspaces: map[string]config.Workspace{"bakery": {Share: 1, KeyHashes: []string{hex.EncodeToString(hash[:])}}},
		Routes:     map[string]config.Route{"r": {Host: "h", Prefix: "/", Split: []config.RouteShare{{Pool: "gen", Weight: 1}}}},
	}})
	r.overload.shedFraction.Store(math.Float64bits(1))
	r.overload.meanShedFraction.Store(math.Float64bits(1))
	shed, countRefused := r.confirmShed(false, []byte("h"), []byte("/x"), func(string) []byte { return []byte("secret") })
	if !shed || countRefused == nil {
		t.Fatalf("shed: %v", shed)
	}
	if counts := r.unread.take(); len(counts) > 0 {
		t.Errorf("counted before it was refused: %v", counts)
	}
	countRefused()
	if counts := r.unread.take(); counts[unreadKey{pool: "gen", workspace: "bakery"}] != 1 {
		t.Errorf("counted %v", counts)
	}
}

// TestUnreadLogTellsWhyNotOffloaded guards against operators who cannot tell why a router refuses
// requests that others could serve: the line gives the reasons since the last one.
func TestUnreadLogTellsWhyNotOffloaded(t *testing.T) {
	o := &overload{}
	source := newOffloadSource("a", slog.New(slog.DiscardHandler), nil, nil)
	state := newShedState(o, source)
	offloadLimited.Add(3)
	log := func() string {
		var u unreadCounts
		u.add("a", "gen")
		var output strings.Builder
		logUnread(slog.New(slog.NewTextHandler(&output, nil)).With(state.attributes()...), u.takeByWorkspace())
		return output.String()
	}
	if line := log(); !strings.Contains(line, "not_offloaded=[limited:3]") || !strings.Contains(line, "cores_used=") {
		t.Errorf("logged %q", line)
	}
	if line := log(); !strings.Contains(line, "not_offloaded=[]") {
		t.Errorf("logged %q again", line)
	}
}
