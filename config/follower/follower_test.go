package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/store/memory"
	"go.uber.org/goleak"
)

// testTimeout limits every wait for an event; no result depends on its value.
const testTimeout = 30 * time.Second

func newStore(t *testing.T) *configstore.Store {
	t.Helper()
	backing := memory.New(memory.Options{})
	s := configstore.New(backing, backing.Objects(), configstore.Options{PageSize: 5})
	t.Cleanup(s.Wait)
	return s
}

func submit(t *testing.T, s *configstore.Store, base config.Version) configstore.Accepted {
	t.Helper()
	changes := fmt.Sprintf(`{"workspaces": {"bakery": {"share": %d}}}`, base+1)
	patch := config.Patch{ID: config.NewPatchID(), Base: base, Changes: json.RawMessage(changes)}
	accepted, err := s.Submit(context.Background(), nil, patch)
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// versionRecorder records the versions that took effect, in order.
type versionRecorder struct {
	mu      sync.Mutex
	seen    []config.Version
	changed chan struct{}
}

func newVersionRecorder() *versionRecorder { return &versionRecorder{changed: make(chan struct{}, 1)} }

func (r *versionRecorder) onChange(s *config.Snapshot) {
	r.mu.Lock()
	r.seen = append(r.seen, s.Version)
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// versions returns the versions recorded so far.
func (r *versionRecorder) versions() []config.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]config.Version(nil), r.seen...)
}

// waitFor waits until a version is in force.
func (r *versionRecorder) waitFor(t *testing.T, want config.Version) {
	t.Helper()
	limit := time.After(testTimeout)
	for {
		seen := r.versions()
		if len(seen) > 0 && seen[len(seen)-1] >= want {
			return
		}
		select {
		case <-r.changed:
		case <-limit:
			t.Fatalf("version %d did not take effect; seen %v", want, seen)
		}
	}
}

// startFollower runs a new follower and records the versions that take effect.
func startFollower(t *testing.T, options Options) (*Follower, *versionRecorder) {
	t.Helper()
	r := newVersionRecorder()
	options.OnChange = r.onChange
	if options.PollEvery == 0 {
		options.PollEvery = 5 * time.Millisecond
	}
	f := New(options)
	runFollower(t, f)
	return f, r
}

// runFollower runs a follower until the test ends.
func runFollower(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func waitReady(t *testing.T, f *Follower) {
	t.Helper()
	select {
	case <-f.Ready():
	case <-time.After(testTimeout):
		t.Fatal("not ready")
	}
}

func TestEmptyStoreIsReadyAtVersionZero(t *testing.T) {
	f, r := startFollower(t, Options{Source: newStore(t)})
	waitReady(t, f)
	r.waitFor(t, 0)
	if f.Current() == nil || f.Version() != 0 {
		t.Fatalf("version %v", f.Current())
	}
}

func TestFollowsNewVersionsOfTheStore(t *testing.T) {
	s := newStore(t)
	_, r := startFollower(t, Options{Source: s})
	r.waitFor(t, 0)
	for base := config.Version(0); base < 23; base++ {
		submit(t, s, base)
	}
	r.waitFor(t, 23)
	seen := r.versions()
	for i := 1; i < len(seen); i++ {
		if seen[i] <= seen[i-1] {
			t.Fatalf("versions %v are not increasing", seen)
		}
	}
}
