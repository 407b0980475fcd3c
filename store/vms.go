package store

import (
	"context"
	"slices"
	"sync"
)

// vmListCache holds the list of VMs as last read, with its entity tag. The zero
// value is empty.
type vmListCache struct {
	mu  sync.Mutex
	tag string
	vms []VM
}

func (l *vmListCache) get() (tag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, slices.Clone(l.vms)
}

func (l *vmListCache) set(tag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag = tag
	l.vms = slices.Clone(vms)
}

// ListVMs implements VMList. It sends the entity tag of the cached list, if the
// platform gave one, so that an unchanged list is not transferred again.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	tag, cached := c.vmList.get()
	got, err := c.read(ctx, call{op: opVMs, path: PathVMs, knownTag: tag})
	if err != nil {
		return nil, err
	}
	if got.notModified {
		return cached, nil
	}
	var reply VMsReply
	if err := c.decode(opVMs, got, &reply); err != nil {
		return nil, err
	}
	c.vmList.set(got.etag, reply.VMs)
	return reply.VMs, nil
}
