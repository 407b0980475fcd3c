// Package follower keeps a router on the newest configuration version.
//
// It polls the store with jitter, fetches from peers that announce a newer
// version, and answers peers from memory, so that versions spread while the
// store is out. One goroutine applies all that arrives: the version in force
// is swapped whole and only upwards, whatever the order of the answers.
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
	// DefaultPollEvery is the mean period of reading the store.
	DefaultPollEvery = time.Second
	// DefaultTimeout bounds each call to the store or a peer.
	DefaultTimeout = 2 * time.Second
	// DefaultKeepEntries is the number of recent entries kept for peers.
	DefaultKeepEntries = 256
	// DefaultKeepBytes bounds the size of the changes in those entries: 4 MiB.
	DefaultKeepBytes = 4 << 20
)

// pollJitter is the share of the poll period by which a poll may be early or late.
const pollJitter = 0.25

// Options configures a Follower. Zero fields take the defaults.
type Options struct {
	// Source is the store. Required.
	Source Source
	// Peers fetches from peers. Nil follows the store alone.
	Peers PeerFetcher
	// OnChange is called with each new snapshot, in order, from the follower's
	// goroutine. Versions that arrived together are swapped as one.
	OnChange func(*config.Snapshot)
	// PollEvery is the mean period of reading the store.
	PollEvery time.Duration
	// Timeout bounds each call to the store or a peer.
	Timeout time.Duration
	// KeepEntries and KeepBytes bound the recent entries kept for peers.
	KeepEntries int
	KeepBytes   int
	// Random seeds the jitter. Default: a random seed.
	Random *rand.Rand
	// Log takes the follower's messages. Default slog.Default().
	Log *slog.Logger
}

// Follower follows the configuration. Create it with New and call Run once.
type Follower struct {
	options Options
	state   atomic.Pointer[state]
	ready   chan struct{}
	hints   chan hint
	offers  chan offer
}

// hint says that a node announced a version.
type hint struct {
	node    string
	version config.Version
}

// origin says where an offer came from.
type origin string

// The origins of an offer.
const (
	fromStore    origin = "store"
	fromPeer     origin = "peer"
	fromOperator origin = "operator"
)

// offer is something that arrived and may be newer than the version in force.
type offer struct {
	origin   origin
	node     string         // with fromPeer
	asked    config.Version // with fromPeer: the announced version that was asked for
	entries  []config.Entry
	snapshot *config.Snapshot
	err      error
}

// New returns a follower that has no version yet.
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
		options: options,
		ready:   make(chan struct{}),
		hints:   make(chan hint, hintBuffer),
		offers:  make(chan offer),
	}
}

// Current returns the version in force, or nil before the follower is ready.
func (f *Follower) Current() *config.Snapshot {
	if s := f.state.Load(); s != nil {
		return s.snapshot
	}
	return nil
}

// Version returns the number of the version in force, zero if there is none.
func (f *Follower) Version() config.Version {
	if s := f.state.Load(); s != nil {
		return s.snapshot.Version
	}
	return 0
}

// Ready is closed once a version came from the store or a peer and OnChange has
// returned for it. An empty store that answered counts: its version is zero.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// VersionSeen tells the follower that a node announced a version. It never
// blocks; a hint that finds no room is dropped, and the next one repeats it.
func (f *Follower) VersionSeen(node string, version config.Version) {
	if version <= f.Version() {
		return
	}
	select {
	case f.hints <- hint{node: node, version: version}:
	default:
		refusals[reasonHintsFull].Inc()
	}
}

// Accepted hands over an entry that this router's own operator interface had
// accepted by the store, so that it comes into force here without waiting for
// the next poll. It blocks until the follower's goroutine has it or ctx ends.
func (f *Follower) Accepted(ctx context.Context, entry config.Entry) {
	f.deliver(ctx, offer{origin: fromOperator, entries: []config.Entry{entry}})
}

func (f *Follower) deliver(ctx context.Context, o offer) {
	select {
	case f.offers <- o:
	case <-ctx.Done():
	}
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	l := newLoop(f)
	l.run(ctx)
}

// apply takes what is newer in an offer. It returns an error when something
// in it was refused; what came before the refused part may be in force.
func (f *Follower) apply(o offer) error {
	current := f.Current()
	if o.snapshot != nil {
		var err error
		if current, err = f.applyWhole(current, o.snapshot); err != nil {
			return err
		}
	}
	if len(o.entries) == 0 {
		return nil
	}
	if current == nil {
		current = config.Empty()
	}
	next, applied, err := applyEntries(current, o.entries)
	if len(applied) > 0 {
		f.swap(next, applied)
	}
	return err
}

// applyWhole puts a whole snapshot in force if it is newer and returns the
// version in force. The same version under another digest is refused.
func (f *Follower) applyWhole(current, whole *config.Snapshot) (*config.Snapshot, error) {
	if current == nil || whole.Version > current.Version {
		f.swap(whole, nil)
		return whole, nil
	}
	if whole.Version == current.Version && whole.Digest != current.Digest {
		return current, &config.DigestError{Version: whole.Version, Stated: whole.Digest, Computed: current.Digest}
	}
	return current, nil
}

// applyEntries applies the entries that follow s and skips those it has. An
// entry that s has under another digest is refused.
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

// swap puts a newer snapshot in force. Only the follower's goroutine calls it.
func (f *Follower) swap(next *config.Snapshot, applied []config.Entry) {
	previous := f.state.Load()
	f.state.Store(previous.follow(next, applied, f.options.KeepEntries, f.options.KeepBytes))
	f.options.Log.Info("config: Version in force.", "version", next.Version, "patch", next.PatchID)
	f.options.OnChange(next)
	if previous == nil {
		close(f.ready)
	}
}

// refuse counts and logs a refused offer.
func (f *Follower) refuse(o offer, err error) {
	refusals[refusalReason(err)].Inc()
	f.options.Log.Warn("config: Version refused.", "from", string(o.origin), "node", o.node, "error", err)
}

func refusalReason(err error) refusal {
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

// Serve answers a peer that has version from. It reads memory only.
func (f *Follower) Serve(from config.Version) (Update, error) {
	s := f.state.Load()
	if s == nil || s.snapshot.Version <= from {
		return Update{}, nil
	}
	if entries, ok := s.since(from); ok {
		return Update{Entries: entries}, nil
	}
	whole, err := s.whole()
	if err != nil {
		return Update{}, fmt.Errorf("config follower: serve: %w", err)
	}
	return Update{Whole: whole}, nil
}
