package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/store"
)

// peerNetwork is a PeerFetcher that connects followers by name. Responses are
// encoded and decoded as between routers.
type peerNetwork struct {
	mu    sync.Mutex
	nodes map[string]*Follower
	calls int
}

func newPeerNetwork() *peerNetwork { return &peerNetwork{nodes: make(map[string]*Follower)} }

func (n *peerNetwork) add(name string, f *Follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[name] = f
}

func (n *peerNetwork) Fetch(_ context.Context, node string, from config.Version) (Update, error) {
	n.mu.Lock()
	n.calls++
	f := n.nodes[node]
	n.mu.Unlock()
	if f == nil {
		return Update{}, fmt.Errorf("no route to %s", node)
	}
	update, err := f.Serve(from)
	if err != nil {
		return Update{}, err
	}
	encoded, err := update.Encode()
	if err != nil {
		return Update{}, err
	}
	return DecodeUpdate(encoded)
}

// switchableSource is a Source that can be made unavailable.
type switchableSource struct {
	Source
	mu   sync.Mutex
	down bool
}

func (s *switchableSource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *switchableSource) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	return nil
}

func (s *switchableSource) Since(ctx context.Context, after config.Version) ([]config.Entry, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.Source.Since(ctx, after)
}

func (s *switchableSource) Load(ctx context.Context) (*config.Snapshot, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.Source.Load(ctx)
}

// fetchFunc is a function that implements PeerFetcher.
type fetchFunc func(ctx context.Context, node string, from config.Version) (Update, error)

func (f fetchFunc) Fetch(ctx context.Context, node string, from config.Version) (Update, error) {
	return f(ctx, node, from)
}

// unavailableSource returns a source that is never available.
func unavailableSource() *switchableSource { return &switchableSource{down: true} }

func TestVersionsSpreadDuringAStoreOutage(t *testing.T) {
	s := newStore(t)
	network := newPeerNetwork()
	first, firstSeen := startFollower(t, Options{Source: s, Peers: network})
	network.add("first", first)
	submit(t, s, 0)
	firstSeen.waitFor(t, 1)

	// The other routers never reach the store; each fetches from the one before it.
	previous := "first"
	for _, name := range []string{"second", "third"} {
		f, seen := startFollower(t, Options{Source: unavailableSource(), Peers: network})
		network.add(name, f)
		f.VersionSeen(previous, 1)
		seen.waitFor(t, 1)
		waitReady(t, f)
		if f.Current().Digest != first.Current().Digest {
			t.Fatalf("%s holds different content", name)
		}
		previous = name
	}
}

func TestRestartedNodeIsNotReadyUntilStoreOrPeerAnswers(t *testing.T) {
	s := newStore(t)
	submit(t, s, 0)
	source := &switchableSource{Source: s, down: true}
	failing := make(chan struct{}, 100)
	peers := fetchFunc(func(context.Context, string, config.Version) (Update, error) {
		failing <- struct{}{}
		return Update{}, errors.New("cut off")
	})
	f, seen := startFollower(t, Options{Source: source, Peers: peers})
	f.VersionSeen("peer", 1)
	<-failing
	select {
	case <-f.Ready():
		t.Fatal("ready without a version")
	default:
	}
	if f.Current() != nil {
		t.Fatalf("version %v without an answer", f.Current())
	}
	source.setDown(false)
	seen.waitFor(t, 1)
	waitReady(t, f)
}

func TestRestartedNodeFetchesSnapshotFromPeer(t *testing.T) {
	s := newStore(t)
	network := newPeerNetwork()
	peer, peerSeen := startFollower(t, Options{Source: s, KeepEntries: 3})
	network.add("peer", peer)
	peerSeen.waitFor(t, 0)
	for base := config.Version(0); base < 10; base++ {
		submit(t, s, base)
	}
	peerSeen.waitFor(t, 10)
	f, seen := startFollower(t, Options{Source: unavailableSource(), Peers: network})
	f.VersionSeen("peer", 10)
	seen.waitFor(t, 10)
	if got := seen.versions(); len(got) != 1 {
		t.Fatalf("versions %v, want only the newest, from a snapshot", got)
	}
}

// makeHistory creates versions 1 to n and returns their entries, and the
// snapshots of versions 0 to n.
func makeHistory(t *testing.T, n config.Version) ([]config.Entry, []*config.Snapshot) {
	t.Helper()
	s := newStore(t)
	snapshots := []*config.Snapshot{config.Empty()}
	var entries []config.Entry
	for base := config.Version(0); base < n; base++ {
		accepted := submit(t, s, base)
		entries = append(entries, accepted.Entry)
		snapshots = append(snapshots, accepted.Snapshot)
	}
	return entries, snapshots
}

func TestReorderedResponsesNeverLowerTheVersion(t *testing.T) {
	entries, snapshots := makeHistory(t, 6)
	r := newVersionRecorder()
	f := New(Options{OnChange: r.onChange})
	for _, c := range []candidate{
		{snapshot: snapshots[3]},
		{snapshot: snapshots[1]}, // a late response of the store
		{entries: entries[0:2]},  // a late response of a peer
		{entries: entries[1:4]},  // partly known
		{snapshot: snapshots[4]}, // the current version again
		{entries: entries[4:], snapshot: snapshots[2]},
		{entries: entries[5:]},
		{snapshot: snapshots[0]},
	} {
		if err := f.apply(c); err != nil {
			t.Fatalf("candidate rejected: %v", err)
		}
	}
	want := []config.Version{3, 4, 6}
	if got := r.versions(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("versions %v, want %v", got, want)
	}
}

func TestInapplicableUpdatesAreRejected(t *testing.T) {
	entries, snapshots := makeHistory(t, 4)
	others, otherSnapshots := makeHistory(t, 4) // the same version numbers with different content
	for name, test := range map[string]struct {
		candidate candidate
		reason    rejectionReason
	}{
		"gap":                            {candidate{entries: entries[3:]}, reasonSequence},
		"different history":              {candidate{entries: others[2:]}, reasonDigest},
		"own version, different history": {candidate{entries: others[1:2]}, reasonDigest},
		"own version, snapshot":          {candidate{snapshot: otherSnapshots[2]}, reasonDigest},
		"not applicable":                 {candidate{entries: []config.Entry{{Version: 3}}}, reasonInvalid},
	} {
		r := newVersionRecorder()
		f := New(Options{OnChange: r.onChange})
		if err := f.apply(candidate{snapshot: snapshots[2]}); err != nil {
			t.Fatal(err)
		}
		err := f.apply(test.candidate)
		if err == nil || reasonOf(err) != test.reason {
			t.Errorf("%s: %v", name, err)
		}
		if got := f.Version(); got != 2 || len(r.versions()) != 1 {
			t.Errorf("%s: version %d", name, got)
		}
	}
}

func TestDigestMismatchFromPeerIsCounted(t *testing.T) {
	s := newStore(t)
	submit(t, s, 0)
	others, _ := makeHistory(t, 2)
	divergent := fetchFunc(func(context.Context, string, config.Version) (Update, error) {
		return Update{Entries: others[1:]}, nil
	})
	before := rejectionCounters[reasonDigest].Get()
	f, seen := startFollower(t, Options{Source: s, Peers: divergent})
	seen.waitFor(t, 1)
	f.VersionSeen("peer", 2)
	waitUntil(t, "the mismatch", func() bool { return rejectionCounters[reasonDigest].Get() > before })
	if f.Version() != 1 {
		t.Fatalf("version %d", f.Version())
	}
	submit(t, s, 1)
	seen.waitFor(t, 2)
	if f.Current().Digest == others[1].Digest {
		t.Fatal("the divergent history took effect")
	}
}

// waitUntil polls for a condition that no event signals.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("%s did not happen", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestDivergentHistoryIsReplacedFromTheStore checks that a router whose history
// differs from the store's, so that it cannot apply the store's entries, recovers
// by loading the store's newest snapshot.
func TestDivergentHistoryIsReplacedFromTheStore(t *testing.T) {
	_, others := makeHistory(t, 2)
	s := newStore(t)
	for base := config.Version(0); base < 4; base++ {
		submit(t, s, base)
	}
	r := newVersionRecorder()
	f := New(Options{Source: s, OnChange: r.onChange, PollEvery: time.Millisecond})
	if err := f.apply(candidate{snapshot: others[2]}); err != nil {
		t.Fatal(err)
	}
	runFollower(t, f)
	r.waitFor(t, 4)
	newest, err := s.Load(context.Background())
	if err != nil || f.Current().Digest != newest.Digest {
		t.Fatalf("digest %s, store %v, %v", f.Current().Digest, newest, err)
	}
}

func TestHangingPeerDoesNotDelayStorePolls(t *testing.T) {
	s := newStore(t)
	asked := make(chan struct{})
	hanging := fetchFunc(func(ctx context.Context, _ string, _ config.Version) (Update, error) {
		close(asked)
		<-ctx.Done()
		return Update{}, ctx.Err()
	})
	f, seen := startFollower(t, Options{Source: s, Peers: hanging, Timeout: testTimeout})
	seen.waitFor(t, 0)
	f.VersionSeen("peer", 9)
	<-asked
	submit(t, s, 0)
	seen.waitFor(t, 1)
}

func TestFetchTriesAnotherPeerAfterAFailure(t *testing.T) {
	network := newPeerNetwork()
	_, snapshots := makeHistory(t, 3)
	good := New(Options{})
	if err := good.apply(candidate{snapshot: snapshots[3]}); err != nil {
		t.Fatal(err)
	}
	network.add("good", good)
	f := New(Options{Source: unavailableSource(), Peers: network})
	f.VersionSeen("bad", 9) // asked first, since it claims the newest version
	f.VersionSeen("good", 3)
	runFollower(t, f)
	waitReady(t, f)
	if f.Version() != 3 {
		t.Fatalf("version %d", f.Version())
	}
}

func TestAcceptedEntryTakesEffectImmediately(t *testing.T) {
	s := newStore(t)
	f, seen := startFollower(t, Options{Source: s, PollEvery: time.Hour})
	seen.waitFor(t, 0)
	f.Accepted(context.Background(), submit(t, s, 0).Entry)
	seen.waitFor(t, 1)
	for base := config.Version(1); base < 13; base++ {
		submit(t, s, base) // accepted by another router, not announced here
	}
	f.Accepted(context.Background(), submit(t, s, 13).Entry)
	seen.waitFor(t, 14) // reads several pages of the store without waiting for a poll
}

func TestOldAnnouncementsCauseNoFetch(t *testing.T) {
	s := newStore(t)
	submit(t, s, 0)
	network := newPeerNetwork()
	f, seen := startFollower(t, Options{Source: s, Peers: network})
	seen.waitFor(t, 1)
	f.VersionSeen("peer", 1)
	f.VersionSeen("peer", 0)
	submit(t, s, 1)
	seen.waitFor(t, 2) // The loop has handled the announcements by then.
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.calls != 0 {
		t.Fatalf("%d fetches", network.calls)
	}
}

func TestServeReturnsEntriesOrSnapshot(t *testing.T) {
	entries, snapshots := makeHistory(t, 6)
	f := New(Options{KeepEntries: 2})
	if update, err := f.Serve(0); err != nil || len(update.Entries)+len(update.Snapshot) != 0 {
		t.Fatalf("before ready: %+v, %v", update, err)
	}
	if err := f.apply(candidate{snapshot: snapshots[2], entries: entries[2:]}); err != nil {
		t.Fatal(err)
	}
	for from, want := range map[config.Version]int{0: -1, 3: -1, 4: 2, 5: 1, 6: 0, 9: 0} {
		update, err := f.Serve(from)
		if err != nil {
			t.Fatal(err)
		}
		hasSnapshot := len(update.Snapshot) > 0
		if hasSnapshot != (want == -1) || (!hasSnapshot && len(update.Entries) != want) {
			t.Errorf("from %d: %d entries, snapshot %v", from, len(update.Entries), hasSnapshot)
		}
	}
}
