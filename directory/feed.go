// Package directory follows what a managed platform publishes: the newest configuration,
// written by operators, and the targets, which register themselves. It combines both into the
// snapshots that the rest of the router serves from, and exchanges them with peers, so that a
// router that the platform refuses stays up to date through its peers. A snapshot is replaced
// as a whole and never by an older one.
package directory

import (
	"context"
	"errors"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// ErrHistoryLost reports that the platform no longer keeps the changes after the requested
// revision, so everything has to be loaded again.
var ErrHistoryLost = errors.New("directory: the platform no longer keeps the requested changes")

// ErrRestored reports that the platform's store was restored from an older copy and is in a new
// era. The platform cannot list the changes after a revision of an earlier era, so everything
// has to be loaded again.
var ErrRestored = errors.New("directory: the platform's store was restored from an older copy")

// Feed publishes entries of one type. Its methods are safe for concurrent use.
type Feed[T any] interface {
	// Load returns all entries as of one revision.
	Load(ctx context.Context) (Listing[T], error)
	// Follow returns the changes after a revision as soon as there are any, or an empty listing
	// after hold. Its errors may be ErrHistoryLost and ErrRestored.
	Follow(ctx context.Context, after config.Revision, hold time.Duration) (Listing[T], error)
}

// Listing holds all entries, or only the changed ones, as of a revision.
type Listing[T any] struct {
	Entries []Entry[T]
	// Revision is the revision from which Follow continues.
	Revision config.Revision
}

// Entry is one published value. The revision increases with every change on the platform.
type Entry[T any] struct {
	Key      string
	Revision config.Revision
	// Gone reports that the entry was removed at this revision; Value then holds only what Key
	// encodes.
	Gone  bool
	Value T
}

// Directive is an entry written by operators: either a configuration version or the evacuation
// of a data centre. An evacuation lasts until its entry is removed.
type Directive struct {
	Configuration
	// Evacuates is the data centre to evacuate; empty for a configuration.
	Evacuates string
}

// Configuration is a published configuration version without its targets.
type Configuration struct {
	Version config.Version
	// Revision is the revision of the entry.
	Revision config.Revision
	// Declarations holds everything but the targets.
	Declarations config.Declarations
	// Format is the declarationsFormat of the builds that the declarations have passed through;
	// zero if it is not known. Feeds leave it zero.
	Format int
}
