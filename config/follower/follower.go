// Package follower keeps a router on the newest configuration version.
//
// It polls the store with jitter, fetches from peers that announce a newer
// version, and serves peers from memory, so that versions spread while the
// store is unavailable. One goroutine applies all updates: the version in force
// is replaced as a whole and only by a newer one, whatever the order in which
// responses arrive.
package follower

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// Defaults of Options.
const (
	// DefaultPollEvery is the mean interval between polls of the store.
	DefaultPollEvery = time.Second
	// DefaultTimeout limits each call to the store or a peer.
	DefaultTimeout = 2 * time.Second
	// DefaultKeepEntries is the number of recent entries kept for peers.
	DefaultKeepEntries = 256
	// DefaultKeepBytes limits the total size of the changes in those entries: 4 MiB.
	DefaultKeepBytes = 4 << 20
)

// pollJitter is the fraction of the poll interval by which a poll may be early or late.
const pollJitter = 0.25

// Options configures a Follower. Zero fields take the defaults.
type Options struct {
	// Source is the store. Required.
	Source Source
	// Peers fetches updates from peers. If nil, only the store is followed.
	Peers PeerFetcher
	// OnChange is called with each new snapshot, in order, from the follower's
	// goroutine. Of versions that arrive together only the newest is passed.
	OnChange func(*config.Snapshot)
	// PollEvery is the mean interval between polls of the store.
	PollEvery time.Duration
	// Timeout limits each call to the store or a peer.
	Timeout time.Duration
	// KeepEntries and KeepBytes limit the recent entries kept for peers.
	KeepEntries int
	KeepBytes   int
	// Random is the source of the poll jitter and of the choice of peers.
	// Default: randomly seeded.
	Random *rand.Rand
	// Log receives the follower's messages. Default slog.Default().
	Log *slog.Logger
}

// Follower tracks the newest configuration version. Create it with New and call
// Run once.
type Follower struct {
	options       Options
	state         atomic.Pointer[state]
	ready         chan struct{}
	announcements chan announcement
	candidates    chan candidate
}

// announcement is a version announced by another router.
type announcement struct {
	node    string
	version config.Version
}

// candidateSource identifies where a candidate came from.
type candidateSource string

// The sources of candidates.
const (
	fromStore    candidateSource = "store"
	fromPeer     candidateSource = "peer"
	fromOperator candidateSource = "operator"
)

// candidate is a response or an entry that may be newer than the version in
// force, or the error of a failed call.
type candidate struct {
	source    candidateSource
	node      string         // for fromPeer: the name of the router
	announced config.Version // for fromPeer: the announced version that caused the call
	entries   []config.Entry
	snapshot  *config.Snapshot
	err       error
}

// New returns a follower without a version.
func New(options Options) *Follower {
	if options.PollEvery <= 0 {
		options.PollEvery = DefaultPollEvery
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.KeepEntries <= 0 {
		options.KeepEntries = DefaultKeepEntries
	}
	if options.KeepBytes <= 0 {
		options.KeepBytes = DefaultKeepBytes
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Log == nil {
		options.Log = slog.Default()
	}
	if options.OnChange == nil {
		options.OnChange = func(*config.Snapshot) {}
	}
	return &Follower{
		options:       options,
		ready:         make(chan struct{}),
		announcements: make(chan announcement, maxPendingAnnouncements),
		candidates:    make(chan candidate),
	}
}

// Current returns the version in force, or nil before the follower is ready.
func (f *Follower) Current() *config.Snapshot {
	if s := f.state.Load(); s != nil {
		return s.snapshot
	}
	return nil
}

// Version returns the number of the version in force, or zero if there is none.
func (f *Follower) Version() config.Version {
	if s := f.state.Load(); s != nil {
		return s.snapshot.Version
	}
	return 0
}

// Ready returns a channel that is closed once a version has been received from
// the store or a peer and OnChange has returned for it. A response of an empty
// store counts as version zero.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// VersionSeen notifies the follower that another router, node, announced a version.
// It never blocks: if the buffer is full, the announcement is dropped, and that
// router's next one takes its place.
func (f *Follower) VersionSeen(node string, version config.Version) {
	if version <= f.Version() {
		return
	}
	select {
	case f.announcements <- announcement{node: node, version: version}:
	default:
		rejectionCounters[reasonAnnouncementsFull].Inc()
	}
}

// Accepted passes on an entry that the store accepted through this router's own
// operator interface, so that it takes effect here without waiting for the next
// poll. It blocks until the follower's goroutine receives it or ctx ends.
func (f *Follower) Accepted(ctx context.Context, entry config.Entry) {
	f.deliver(ctx, candidate{source: fromOperator, entries: []config.Entry{entry}})
}

func (f *Follower) deliver(ctx context.Context, c candidate) {
	select {
	case f.candidates <- c:
	case <-ctx.Done():
	}
}

// Run tracks the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	l := newLoop(f)
	l.run(ctx)
}

// apply puts the newer part of a candidate in force. If part of it is rejected,
// apply returns an error; the versions before that part may have taken effect.
func (f *Follower) apply(c candidate) error {
	current := f.Current()
	if c.snapshot != nil {
		var err error
		if current, err = f.applySnapshot(current, c.snapshot); err != nil {
			return err
		}
	}
	if len(c.entries) == 0 {
		return nil
	}
	if current == nil {
		current = config.Empty()
	}
	next, applied, err := applyEntries(current, c.entries)
	if len(applied) > 0 {
		f.setCurrent(next, applied)
	}
	return err
}

// applySnapshot puts a snapshot in force if it is newer, and returns the version
// in force. The same version with a different digest is rejected.
func (f *Follower) applySnapshot(current, snapshot *config.Snapshot) (*config.Snapshot, error) {
	if current == nil || snapshot.Version > current.Version {
		f.setCurrent(snapshot, nil)
		return snapshot, nil
	}
	if snapshot.Version == current.Version && snapshot.Digest != current.Digest {
		return current, &config.DigestError{Version: snapshot.Version, Stated: snapshot.Digest, Computed: current.Digest}
	}
	return current, nil
}

// applyEntries applies the entries that follow s and skips older ones. It
// returns the resulting snapshot and the entries applied. An entry of the same
// version as s with a different digest is rejected.
func applyEntries(s *config.Snapshot, entries []config.Entry) (*config.Snapshot, []config.Entry, error) {
	var applied []config.Entry
	for _, entry := range entries {
		if entry.Version < s.Version {
			continue
		}
		if entry.Version == s.Version {
			if entry.Digest != s.Digest {
				return s, applied, &config.DigestError{Version: s.Version, Stated: entry.Digest, Computed: s.Digest}
			}
			continue
		}
		next, err := config.ApplyEntry(s, entry)
		if err != nil {
			return s, applied, err
		}
		s = next
		applied = append(applied, entry)
	}
	return s, applied, nil
}

// setCurrent puts a newer snapshot in force. Only the follower's goroutine calls it.
func (f *Follower) setCurrent(next *config.Snapshot, applied []config.Entry) {
	previous := f.state.Load()
	f.state.Store(previous.advance(next, applied, f.options.KeepEntries, f.options.KeepBytes))
	f.options.Log.Info("config: Version in force.", "version", next.Version, "patch", next.PatchID)
	f.options.OnChange(next)
	if previous == nil {
		close(f.ready)
	}
}

// reject counts and logs a rejected candidate.
func (f *Follower) reject(c candidate, err error) {
	rejectionCounters[reasonOf(err)].Inc()
	f.options.Log.Warn("config: Update rejected.", "from", string(c.source), "node", c.node, "error", err)
}

func reasonOf(err error) rejectionReason {
	var digest *config.DigestError
	var sequence *config.SequenceError
	var broken *config.PatchError
	var invalid *config.ValidationError
	var conflict *config.VersionConflictError
	switch {
	case errors.As(err, &digest):
		return reasonDigest
	case errors.As(err, &sequence):
		return reasonSequence
	case errors.As(err, &broken), errors.As(err, &invalid), errors.As(err, &conflict):
		return reasonInvalid
	default:
		return reasonOther
	}
}

// Serve returns the update for a peer that has version from. It does not call
// the store.
func (f *Follower) Serve(from config.Version) (Update, error) {
	s := f.state.Load()
	if s == nil || s.snapshot.Version <= from {
		return Update{}, nil
	}
	if entries, ok := s.entriesAfter(from); ok {
		return Update{Entries: entries}, nil
	}
	encoded, err := s.encodedSnapshot()
	if err != nil {
		return Update{}, fmt.Errorf("config follower: serve: %w", err)
	}
	return Update{Snapshot: encoded}, nil
}
