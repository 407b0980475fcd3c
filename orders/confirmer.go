package orders

import (
	"context"
	"errors"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/config/store"
)

// Versions reads the configuration versions in the platform's table.
// *store.Store implements it.
type Versions interface {
	// Entry returns one version. The error is a *store.UnknownVersionError if the
	// version does not exist.
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
func (c *versionConfirmer) confirm(ctx context.Context, version config.Version) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, c.ttl-c.minLeft)
	defer cancel()
	select {
	case c.readSlot <- struct{}{}:
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
	defer func() { <-c.readSlot }()
	if version <= c.superseded {
		return time.Time{}, errNewerVersion
	}
	until := c.confirmedAt.Add(c.ttl)
	if c.confirmedVersion == version && until.Sub(c.now()) >= c.minLeft {
		return until, nil
	}
	started := c.now()
	if err := c.checkNewest(ctx, version); err != nil {
		if errors.Is(err, errNewerVersion) {
			c.superseded = version
		}
		return time.Time{}, err
	}
	c.confirmedVersion = version
	c.confirmedAt = started
	return started.Add(c.ttl), nil
}

// checkNewest returns nil if the table has no version after the given one.
func (c *versionConfirmer) checkNewest(ctx context.Context, version config.Version) error {
	_, err := c.versions.Entry(ctx, version+1)
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
