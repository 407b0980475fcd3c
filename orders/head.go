package orders

import (
	"context"
	"errors"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/config/store"
)

// Versions reads the configuration versions in the platform's table.
// *store.Store is one.
type Versions interface {
	// Entry returns one version. The error is *store.UnknownVersionError if
	// the version does not exist.
	Entry(ctx context.Context, version config.Version) (config.Entry, error)
}

// errNewerVersion says that the table holds a newer version than the one here.
var errNewerVersion = errors.New("orders: the table holds a newer version")

// head confirms that a version is the newest in the table. One read at a time
// serves all targets, and holds for a while.
type head struct {
	versions Versions
	now      func() time.Time
	// holds is how long a confirmation holds from the start of its read.
	holds time.Duration
	// margin is what must be left of a confirmation for it to be used again.
	margin time.Duration

	// reading is taken by the goroutine that reads; it guards the rest.
	reading   chan struct{}
	version   config.Version
	confirmed time.Time
	// passed is the highest version known not to be the newest.
	passed config.Version
}

func newHead(versions Versions, now func() time.Time, holds, margin time.Duration) *head {
	return &head{versions: versions, now: now, holds: holds, margin: margin, reading: make(chan struct{}, 1)}
}

// confirm returns until when version is taken for the newest. The error is
// errNewerVersion if it is not, and any other if the table could not be read in
// time to be of use.
func (h *head) confirm(ctx context.Context, version config.Version) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, h.holds-h.margin)
	defer cancel()
	select {
	case h.reading <- struct{}{}:
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
	defer func() { <-h.reading }()
	if version <= h.passed {
		return time.Time{}, errNewerVersion
	}
	until := h.confirmed.Add(h.holds)
	if h.version == version && until.Sub(h.now()) >= h.margin {
		return until, nil
	}
	started := h.now()
	if err := h.read(ctx, version); err != nil {
		if errors.Is(err, errNewerVersion) {
			h.passed = version
		}
		return time.Time{}, err
	}
	h.version = version
	h.confirmed = started
	return started.Add(h.holds), nil
}

// read returns nil if the table has no version after the given one.
func (h *head) read(ctx context.Context, version config.Version) error {
	_, err := h.versions.Entry(ctx, version+1)
	var unknown *store.UnknownVersionError
	switch {
	case err == nil:
		return errNewerVersion
	case errors.As(err, &unknown):
		return nil
	default:
		return err
	}
}
