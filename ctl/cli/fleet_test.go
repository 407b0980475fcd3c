package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// testFleet is a Backend with a real configuration store and three routers. The first one
// serves the API.
type testFleet struct {
	store *configstore.Store

	mu sync.Mutex
	// lostReplies is how many more accepted patches fail as if their answer was lost.
	lostReplies int
	storeDown   bool
	behind      map[string]config.Version // routers that have an older version in force
	drained     []string
}

var fleetNodes = []string{"ikeja-1", "lekki-1", "yaba-1"}

func newFleet(t *testing.T) *testFleet {
	t.Helper()
	backing := memory.New(memory.Options{})
	now := func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) }
	f := &testFleet{
		store:  configstore.New(backing, backing.Objects(), configstore.Options{Now: now}),
		behind: make(map[string]config.Version),
	}
	t.Cleanup(f.store.Wait)
	return f
}

// serve starts the operator API on loopback and returns its address.
func (f *testFleet) serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := operator.New(f, operator.Options{Address: listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		<-done
	})
	return listener.Addr().String()
}

func (f *testFleet) storeError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return fmt.Errorf("read: %w", store.ErrUnavailable)
	}
	return nil
}

func (f *testFleet) Ready() operator.Readiness { return operator.Readiness{Ready: true} }

func (f *testFleet) Config(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	if err := f.storeError(); err != nil {
		return nil, err
	}
	if version == 0 {
		return f.store.Load(ctx)
	}
	return f.store.SnapshotAt(ctx, version)
}

func (f *testFleet) Apply(ctx context.Context, patch config.Patch) (config.Version, error) {
	if err := f.storeError(); err != nil {
		return 0, err
	}
	accepted, err := f.store.Submit(ctx, nil, patch)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostReplies > 0 {
		f.lostReplies--
		return 0, errors.New("reply lost")
	}
	return accepted.Entry.Version, nil
}

func (f *testFleet) History(ctx context.Context, before config.Version, limit int) ([]config.Entry, error) {
	if before == 0 {
		newest, err := f.store.Load(ctx)
		if err != nil {
			return nil, err
		}
		before = newest.Version + 1
	}
	from := max(int(before)-limit, 1)
	entries, err := f.store.History(ctx, config.Version(from), int(before)-from)
	slices.Reverse(entries)
	return entries, err
}

func (f *testFleet) Members(context.Context) ([]operator.Member, error) {
	var members []operator.Member
	for _, node := range fleetNodes {
		members = append(members, operator.Member{Node: node, DataCentre: node[:len(node)-2]})
	}
	return members, nil
}

func (f *testFleet) Status(ctx context.Context, request operator.StatusRequest) (operator.Status, error) {
	newest, err := f.store.Load(ctx)
	if err != nil {
		return operator.Status{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	version, isBehind := f.behind[request.Node]
	if !isBehind {
		version = newest.Version
	}
	router := operator.RouterStatus{Node: request.Node, DataCentre: request.Node[:len(request.Node)-2], State: operator.RouterReady, Version: version}
	status := operator.Status{Newest: version, Routers: []operator.RouterStatus{router}}
	if request.Detail && request.Node == fleetNodes[0] {
		status.Shards = []operator.ShardStatus{{Pool: "drafting", DataCentre: "ikeja", Scheduler: request.Node, Waiting: 4, Running: 8, Slots: 8}}
		status.Targets = []operator.TargetStatus{{Name: "draft-1", Pool: "drafting", DataCentre: "ikeja", Health: operator.TargetLive, Running: 8, Slots: 8, LoadAgeMillis: 120, Scheduler: request.Node, Orders: operator.OrdersDone}}
		status.Backlog = []operator.WorkspaceBacklog{{Workspace: "bakery", Waiting: 4, WaitingBytes: 2048, Running: 8}}
	}
	return status, nil
}

func (f *testFleet) Drain(_ context.Context, node string) error {
	if !slices.Contains(fleetNodes, node) {
		return result.New(result.UnknownRouter, "router %q is not in the platform's list", node)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = append(f.drained, node)
	return nil
}
