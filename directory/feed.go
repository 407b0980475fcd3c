// Package directory follows what a managed platform publishes: the newest
// configuration, which its operators write, and the targets, which register
// themselves. It composes both into the snapshots that the rest of the product
// serves by, and passes them between routers, so that one that the platform
// turns away keeps up by its peers. A snapshot is swapped whole and never
// replaced by an older one.
package directory

import (
	"context"
	"errors"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// ErrHistoryLost says that the platform no longer keeps the changes after the
// revision that was asked for: everything has to be loaded again.
var ErrHistoryLost = errors.New("directory: the platform has dropped these changes")

// ErrRestored says that the platform came back from an older copy, in a new era: changes after
// a revision of the era before cannot be told, and everything has to be loaded again.
var ErrRestored = errors.New("directory: the platform came back from an older copy")

// Feed publishes entries of one type. Its methods are safe for concurrent use.
type Feed[T any] interface {
	// Load returns all entries as of one moment.
	Load(ctx context.Context) (Listing[T], error)
	// Follow returns the changes after a revision as soon as there is one, or an
	// empty listing once hold has passed. Its errors may be ErrHistoryLost and ErrRestored.
	Follow(ctx context.Context, after config.Revision, hold time.Duration) (Listing[T], error)
}

// Listing is all entries, or the changed ones, as of a revision.
type Listing[T any] struct {
	Entries []Entry[T]
	// Revision is where Follow goes on.
	Revision config.Revision
}

// Entry is one published value. Revisions grow with every change on the platform.
type Entry[T any] struct {
	Key      string
	Revision config.Revision
	// Gone says that the entry was removed at this revision; Value then holds only what is
	// encoded in Key.
	Gone  bool
	Value T
}

// Directive is an entry that operators write: either a configuration version or the evacuation
// of a data centre. An evacuation lasts until its entry is removed.
type Directive struct {
	Configuration
	// Evacuates is the data centre to evacuate; empty for a configuration.
	Evacuates string
}

// Configuration is a published configuration version without its targets.
type Configuration struct {
	Version config.Version
	// Revision is that of the entry.
	Revision config.Revision
	// Declarations holds everything but the targets.
	Declarations config.Declarations
}
