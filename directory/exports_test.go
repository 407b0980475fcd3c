package directory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// largeDeclarations returns a configuration with many routes.
func largeDeclarations() config.Declarations {
	const routes = 1700
	d := config.Declarations{
		Workspaces: map[string]config.Workspace{"bakery": {KeyHashes: []string{"00"}, Pools: []string{"ops"}}},
		Pools:      map[string]config.Pool{"ops": {}},
		Routes:     make(map[string]config.Route, routes),
	}
	for n := range routes {
		d.Routes[fmt.Sprintf("route-%d", n)] = config.Route{
			Host: "shop.example", Prefix: fmt.Sprintf("/%d/", n), Kind: config.RouteStream,
			Split: []config.RouteShare{{Pool: "ops", Weight: 1}},
		}
	}
	return d
}

// followerWith returns a follower that knows a configuration and no targets.
func followerWith(c Configuration) *Follower {
	f := New(Options{OnChange: func(*config.Snapshot) {}, Log: slog.New(slog.DiscardHandler)})
	f.setConfiguration(c)
	return f
}

func (f *Follower) setConfiguration(c Configuration) {
	f.update(sourcePlatform, func(s *state) bool {
		s.listed = true
		return s.applyConfiguration(c)
	})
}

// count returns the number of encoded exports that are kept.
func (e *exports) count() int {
	e.lock <- struct{}{}
	defer func() { <-e.lock }()
	return len(e.encoded)
}

// TestPeersThatAskTogetherShareOneExport guards against a router that spends seconds of its
// processor on encoding the same directory for each of the peers that ask for it.
func TestPeersThatAskTogetherShareOneExport(t *testing.T) {
	f := followerWith(Configuration{Version: 2, Revision: 9, Declarations: largeDeclarations()})
	export := func(peers int) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range peers {
			if _, err := f.Export(t.Context(), Cursor{Version: 1, ConfigRevision: 1}); err != nil {
				t.Fatal(err)
			}
		}
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	one := export(1)
	if hundred := export(100); hundred > 2*one {
		t.Errorf("exports for 100 peers allocate %d bytes, the first one %d", hundred, one)
	}
}

// TestExportIsNotReusedAfterAChange guards against peers that get an outdated directory.
func TestExportIsNotReusedAfterAChange(t *testing.T) {
	f := followerWith(Configuration{Version: 2, Revision: 9, Declarations: largeDeclarations()})
	behind := followerWith(Configuration{Version: 1, Revision: 1})
	for next := config.Version(2); next < 5; next++ {
		f.setConfiguration(Configuration{Version: next, Revision: config.Revision(next) + 9, Declarations: largeDeclarations()})
		encoded, err := f.Export(t.Context(), Cursor{})
		if err != nil {
			t.Fatal(err)
		}
		if err := behind.Import("peer", encoded); err != nil {
			t.Fatal(err)
		}
		if got := behind.state.configuration.Version; got != next {
			t.Errorf("the export brings version %d, want %d", got, next)
		}
	}
}

// TestExportIsAbandonedWithItsPeer guards against encoding for peers that have gone.
func TestExportIsAbandonedWithItsPeer(t *testing.T) {
	f := followerWith(Configuration{Version: 2, Revision: 9, Declarations: largeDeclarations()})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := f.Export(ctx, Cursor{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want the context's", err)
	}
}

// TestExportsAreFreed guards against routers that keep encodings which no peer asks for any more.
func TestExportsAreFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := followerWith(Configuration{Version: 2, Revision: 9, Declarations: largeDeclarations()})
		for n := range 3 * maxExports {
			if _, err := f.Export(t.Context(), Cursor{Version: 1, Revision: config.Revision(n)}); err != nil {
				t.Fatal(err)
			}
			if got := f.exports.count(); got > maxExports {
				t.Fatalf("%d encoded exports are kept", got)
			}
		}
		time.Sleep(exportLifetime + time.Second)
		if got := f.exports.count(); got != 0 {
			t.Errorf("%d encoded exports are kept for good", got)
		}
	})
}
