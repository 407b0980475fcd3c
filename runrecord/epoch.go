package runrecord

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/walnutcove/walnutcove/store"
)

// epochTable and epochKey name the row that holds the retention epoch.
const (
	epochTable = "run_record_epoch"
	epochKey   = "epoch"
)

// epoch is the fleet's retention epoch, a counter that any router may advance
// after it has seen it stand still for a whole period. It ages records without
// comparing the clocks of two VMs.
type epoch struct {
	number   uint64
	revision uint64
}

// check is the condition that the epoch has not advanced.
func (e epoch) check() store.Op {
	return store.Op{Kind: store.OpCheck, Table: epochTable, Key: epochKey, Revision: e.revision}
}

// epochCache holds the epoch as last read. The zero value is empty.
type epochCache struct {
	mu    sync.Mutex
	known epoch
}

// current returns the cached epoch, and reads it first if there is none.
func (c *epochCache) current(ctx context.Context, table store.Table) (epoch, error) {
	c.mu.Lock()
	known := c.known
	c.mu.Unlock()
	if known.revision != 0 {
		return known, nil
	}
	return c.refresh(ctx, table)
}

// forget empties the cache.
func (c *epochCache) forget() { c.set(epoch{}) }

func (c *epochCache) set(known epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = known
}

// refresh reads the epoch, and creates its row in a new fleet.
func (c *epochCache) refresh(ctx context.Context, table store.Table) (epoch, error) {
	known, err := readEpoch(ctx, table)
	if errors.Is(err, store.ErrNotFound) {
		op := store.Op{Kind: store.OpInsert, Table: epochTable, Key: epochKey, Value: []byte("1")}
		if err := table.Commit(ctx, []store.Op{op}); err != nil && !errors.Is(err, store.ErrConflict) {
			return epoch{}, err
		}
		known, err = readEpoch(ctx, table)
	}
	if err != nil {
		return epoch{}, err
	}
	c.set(known)
	return known, nil
}

func readEpoch(ctx context.Context, table store.Table) (epoch, error) {
	row, err := table.Get(ctx, epochTable, epochKey)
	if err != nil {
		return epoch{}, err
	}
	number, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return epoch{}, fmt.Errorf("runrecord: epoch cannot be read: %w", err)
	}
	return epoch{number: number, revision: row.Revision}, nil
}
