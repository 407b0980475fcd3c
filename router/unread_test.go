package router

import (
	"log/slog"
	"strings"
	"testing"
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
