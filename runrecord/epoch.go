package runrecord

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/walnutcove/walnutcove/store"
)

// epochTable and epochKey identify the row that holds the retention epoch.
const (
	epochTable = "run_record_epoch"
	epochKey   = "epoch"
)

// epoch is the fleet's retention epoch, a counter that a router may advance once
// it has observed it unchanged for Options.EpochLength. It measures the age of
// records without comparing the clocks of different VMs.
type epoch struct {
	number   uint64
	revision uint64
}

// checkOp returns the condition that the epoch has not advanced.
func (e epoch) checkOp() store.Op {
	return store.Op{Kind: store.OpCheck, Table: epochTable, Key: epochKey, Revision: e.revision}
}

// epochCache caches the epoch as last read. The zero value is empty.
type epochCache struct {
	mu     sync.Mutex
	cached epoch
}

// current returns the cached epoch, or reads it if none is cached.
func (c *epochCache) current(ctx context.Context, table store.Table) (epoch, error) {
	c.mu.Lock()
	cached := c.cached
	c.mu.Unlock()
	if cached.revision != 0 {
		return cached, nil
	}
	return c.refresh(ctx, table)
}

// invalidate empties the cache.
func (c *epochCache) invalidate() { c.set(epoch{}) }

func (c *epochCache) set(read epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = read
}

// refresh reads the epoch, creating its row if it does not exist yet.
func (c *epochCache) refresh(ctx context.Context, table store.Table) (epoch, error) {
	read, err := readEpoch(ctx, table)
	if errors.Is(err, store.ErrNotFound) {
		op := store.Op{Kind: store.OpInsert, Table: epochTable, Key: epochKey, Value: []byte("1")}
		if err := table.Commit(ctx, []store.Op{op}); err != nil && !errors.Is(err, store.ErrConflict) {
			return epoch{}, err
		}
		read, err = readEpoch(ctx, table)
	}
	if err != nil {
		return epoch{}, err
	}
	c.set(read)
	return read, nil
}

func readEpoch(ctx context.Context, table store.Table) (epoch, error) {
	row, err := table.Get(ctx, epochTable, epochKey)
	if err != nil {
		return epoch{}, err
	}
	number, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return epoch{}, fmt.Errorf("runrecord: decode epoch: %w", err)
	}
	return epoch{number: number, revision: row.Revision}, nil
}
