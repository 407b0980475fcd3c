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

// fleet connects followers by name. Answers pass through their encoding.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*Follower
	calls int
}

func newFleet() *fleet { return &fleet{nodes: make(map[string]*Follower)} }

func (n *fleet) add(name string, f *Follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[name] = f
}

func (n *fleet) Fetch(_ context.Context, node string, from config.Version) (Update, error) {
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

// switchable is a source that can be turned off.
type switchable struct {
	Source
	mu   sync.Mutex
	down bool
}

func (s *switchable) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *switchable) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	return nil
}

func (s *switchable) Since(ctx context.Context, after config.Version) ([]config.Entry, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.Source.Since(ctx, after)
}

func (s *switchable) Load(ctx context.Context) (*config.Snapshot, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.Source.Load(ctx)
}

// fetchFunc is a PeerFetcher made of a function.
type fetchFunc func(ctx context.Context, node string, from config.Version) (Update, error)

func (f fetchFunc) Fetch(ctx context.Context, node string, from config.Version) (Update, error) {
	return f(ctx, node, from)
}

// deadStore is a source in an outage that never ends.
func deadStore() *switchable { return &switchable{down: true} }

func TestVersionsSpreadThroughAnOutage(t *testing.T) {
	s := newStore(t)
	network := newFleet()
	first, firstSeen := start(t, Options{Source: s, Peers: network})
	network.add("first", first)
	submit(t, s, 0)
	firstSeen.waitFor(t, 1)

	// All others never reach the store; each hears of the one before it.
	previous := "first"
	for _, name := range []string{"second", "third"} {
		f, seen := start(t, Options{Source: deadStore(), Peers: network})
		network.add(name, f)
		f.VersionSeen(previous, 1)
		seen.waitFor(t, 1)
		waitReady(t, f)
		if f.Current().Digest != first.Current().Digest {
			t.Fatalf("%s holds another content", name)
		}
		previous = name
	}
}

func TestRestartedNodeIsNotReadyUntilSomeoneAnswers(t *testing.T) {
	s := newStore(t)
	submit(t, s, 0)
	source := &switchable{Source: s, down: true}
	failing := make(chan struct{}, 100)
	peers := fetchFunc(func(context.Context, string, config.Version) (Update, error) {
		failing <- struct{}{}
		return Update{}, errors.New("cut off")
	})
	f, seen := start(t, Options{Source: source, Peers: peers})
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
	source.set(false)
	seen.waitFor(t, 1)
	waitReady(t, f)
}

func TestRestartedNodeTakesAWholeSnapshotFromAPeer(t *testing.T) {
	s := newStore(t)
	network := newFleet()
	peer, peerSeen := start(t, Options{Source: s, KeepEntries: 3})
	network.add("peer", peer)
	peerSeen.waitFor(t, 0)
	for base := config.Version(0); base < 10; base++ {
		submit(t, s, base)
	}
	peerSeen.waitFor(t, 10)
	f, seen := start(t, Options{Source: deadStore(), Peers: network})
	f.VersionSeen("peer", 10)
	seen.waitFor(t, 10)
	if got := seen.versions(); len(got) != 1 {
		t.Fatalf("versions %v, want one whole swap", got)
	}
}

// history makes versions 1 to n and returns their entries and snapshots.
func history(t *testing.T, n config.Version) ([]config.Entry, []*config.Snapshot) {
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

func TestCrossedAndLateAnswersNeverLowerTheVersion(t *testing.T) {
	entries, snapshots := history(t, 6)
	r := newRecorder()
	f := New(Options{OnChange: r.onChange})
	for _, o := range []offer{
		{snapshot: snapshots[3]},
		{snapshot: snapshots[1]}, // a late answer of the store
		{entries: entries[0:2]},  // a late answer of a peer
		{entries: entries[1:4]},  // half of it is known
		{snapshot: snapshots[4]}, // the same version again
		{entries: entries[4:], snapshot: snapshots[2]},
		{entries: entries[5:]},
		{snapshot: snapshots[0]},
	} {
		if err := f.apply(o); err != nil {
			t.Fatalf("offer refused: %v", err)
		}
	}
	want := []config.Version{3, 4, 6}
	if got := r.versions(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("versions %v, want %v", got, want)
	}
}

func TestOffersThatDoNotFitAreRefused(t *testing.T) {
	entries, snapshots := history(t, 4)
	others, otherSnapshots := history(t, 4) // the same numbers, another past
	for name, test := range map[string]struct {
		offer  offer
		reason refusal
	}{
		"gap":                     {offer{entries: entries[3:]}, reasonSequence},
		"other past":              {offer{entries: others[2:]}, reasonDigest},
		"own version, other past": {offer{entries: others[1:2]}, reasonDigest},
		"own version, whole":      {offer{snapshot: otherSnapshots[2]}, reasonDigest},
		"not applicable":          {offer{entries: []config.Entry{{Version: 3}}}, reasonInvalid},
	} {
		r := newRecorder()
		f := New(Options{OnChange: r.onChange})
		if err := f.apply(offer{snapshot: snapshots[2]}); err != nil {
			t.Fatal(err)
		}
		err := f.apply(test.offer)
		if err == nil || refusalReason(err) != test.reason {
			t.Errorf("%s: %v", name, err)
		}
		if got := f.Version(); got != 2 || len(r.versions()) != 1 {
			t.Errorf("%s: version %d", name, got)
		}
	}
}

func TestMismatchFromAPeerIsCounted(t *testing.T) {
	s := newStore(t)
	submit(t, s, 0)
	others, _ := history(t, 2)
	lying := fetchFunc(func(context.Context, string, config.Version) (Update, error) {
		return Update{Entries: others[1:]}, nil
	})
	before := refusals[reasonDigest].Get()
	f, seen := start(t, Options{Source: s, Peers: lying})
	seen.waitFor(t, 1)
	f.VersionSeen("peer", 2)
	await(t, "the mismatch", func() bool { return refusals[reasonDigest].Get() > before })
	if f.Version() != 1 {
		t.Fatalf("version %d", f.Version())
	}
	submit(t, s, 1)
	seen.waitFor(t, 2)
	if f.Current().Digest == others[1].Digest {
		t.Fatal("the other past came into force")
	}
}

// await polls for a condition that no event tells of.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("%s did not happen", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// A router whose past differs from the store's cannot apply the store's
// entries; it heals by taking the store's newest version whole.
func TestOtherPastHealsFromTheStore(t *testing.T) {
	_, others := history(t, 2)
	s := newStore(t)
	for base := config.Version(0); base < 4; base++ {
		submit(t, s, base)
	}
	r := newRecorder()
	f := New(Options{Source: s, OnChange: r.onChange, PollEvery: time.Millisecond})
	if err := f.apply(offer{snapshot: others[2]}); err != nil {
		t.Fatal(err)
	}
	run(t, f)
	r.waitFor(t, 4)
	newest, err := s.Load(context.Background())
	if err != nil || f.Current().Digest != newest.Digest {
		t.Fatalf("digest %s, store %v, %v", f.Current().Digest, newest, err)
	}
}

func TestHangingPeerDoesNotHoldUpTheStore(t *testing.T) {
	s := newStore(t)
	asked := make(chan struct{})
	hanging := fetchFunc(func(ctx context.Context, _ string, _ config.Version) (Update, error) {
		close(asked)
		<-ctx.Done()
		return Update{}, ctx.Err()
	})
	f, seen := start(t, Options{Source: s, Peers: hanging, Timeout: testTimeout})
	seen.waitFor(t, 0)
	f.VersionSeen("peer", 9)
	<-asked
	submit(t, s, 0)
	seen.waitFor(t, 1)
}

func TestFailingPeerIsFollowedByAnother(t *testing.T) {
	network := newFleet()
	_, snapshots := history(t, 3)
	good := New(Options{})
	if err := good.apply(offer{snapshot: snapshots[3]}); err != nil {
		t.Fatal(err)
	}
	network.add("good", good)
	f := New(Options{Source: deadStore(), Peers: network})
	f.VersionSeen("bad", 9) // asked first: it claims to be newer
	f.VersionSeen("good", 3)
	run(t, f)
	waitReady(t, f)
	if f.Version() != 3 {
		t.Fatalf("version %d", f.Version())
	}
}

func TestAcceptedEntryComesIntoForceAtOnce(t *testing.T) {
	s := newStore(t)
	f, seen := start(t, Options{Source: s, PollEvery: time.Hour})
	seen.waitFor(t, 0)
	f.Accepted(context.Background(), submit(t, s, 0).Entry)
	seen.waitFor(t, 1)
	for base := config.Version(1); base < 13; base++ {
		submit(t, s, base) // accepted by another router, not heard of here
	}
	f.Accepted(context.Background(), submit(t, s, 13).Entry)
	seen.waitFor(t, 14) // over several pages of the store, without another poll
}

func TestOldAnnouncementsAreNotAsked(t *testing.T) {
	s := newStore(t)
	submit(t, s, 0)
	network := newFleet()
	f, seen := start(t, Options{Source: s, Peers: network})
	seen.waitFor(t, 1)
	f.VersionSeen("peer", 1)
	f.VersionSeen("peer", 0)
	submit(t, s, 1)
	seen.waitFor(t, 2) // The loop has gone round since.
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.calls != 0 {
		t.Fatalf("%d fetches", network.calls)
	}
}

func TestServe(t *testing.T) {
	entries, snapshots := history(t, 6)
	f := New(Options{KeepEntries: 2})
	if update, err := f.Serve(0); err != nil || len(update.Entries)+len(update.Whole) != 0 {
		t.Fatalf("before ready: %+v, %v", update, err)
	}
	if err := f.apply(offer{snapshot: snapshots[2], entries: entries[2:]}); err != nil {
		t.Fatal(err)
	}
	for from, want := range map[config.Version]int{0: -1, 3: -1, 4: 2, 5: 1, 6: 0, 9: 0} {
		update, err := f.Serve(from)
		if err != nil {
			t.Fatal(err)
		}
		whole := len(update.Whole) > 0
		if whole != (want == -1) || (!whole && len(update.Entries) != want) {
			t.Errorf("from %d: %d entries, whole %v", from, len(update.Entries), whole)
		}
	}
}
