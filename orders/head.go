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

// errNewerVersion reports that the table holds a newer version than this router.
var errNewerVersion = errors.New("orders: the table holds a newer version")

// versionConfirmer confirms that a version is the newest in the table. One read at
// a time serves all targets, and its result is reused until it expires.
type versionConfirmer struct {
	versions Versions
	now      func() time.Time
	// ttl is how long a confirmation is valid, from the start of its read.
	ttl time.Duration
	// minLeft is the remaining validity that a confirmation must have to be reused.
	minLeft time.Duration

	// readSlot is a semaphore held by the goroutine that reads the table. It guards
	// the fields below.
	readSlot         chan struct{}
	confirmedVersion config.Version
	confirmedAt      time.Time
	// superseded is the highest version known not to be the newest.
	superseded config.Version
}

func newVersionConfirmer(versions Versions, now func() time.Time, ttl, minLeft time.Duration) *versionConfirmer {
	return &versionConfirmer{versions: versions, now: now, ttl: ttl, minLeft: minLeft, readSlot: make(chan struct{}, 1)}
}

// confirm returns the time until which version counts as the newest. The error is
// errNewerVersion if a newer one exists, and another error if the table could not
// be read early enough for the confirmation to be usable.
func (h *versionConfirmer) confirm(ctx context.Context, version config.Version) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, h.ttl-h.minLeft)
	defer cancel()
	select {
	case h.readSlot <- struct{}{}:
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
	defer func() { <-h.readSlot }()
	if version <= h.superseded {
		return time.Time{}, errNewerVersion
	}
	until := h.confirmedAt.Add(h.ttl)
	if h.confirmedVersion == version && until.Sub(h.now()) >= h.minLeft {
		return until, nil
	}
	started := h.now()
	if err := h.checkNewest(ctx, version); err != nil {
		if errors.Is(err, errNewerVersion) {
			h.superseded = version
		}
		return time.Time{}, err
	}
	h.confirmedVersion = version
	h.confirmedAt = started
	return started.Add(h.ttl), nil
}

// checkNewest returns nil if the table has no version after the given one.
func (h *versionConfirmer) checkNewest(ctx context.Context, version config.Version) error {
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
