package store

import (
	"context"
	"slices"
	"sync"
)

// vmList is the list of VMs as last read. The zero value is empty.
type vmList struct {
	mu  sync.Mutex
	tag string
	vms []VM
}

func (l *vmList) get() (tag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, slices.Clone(l.vms)
}

func (l *vmList) set(tag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag = tag
	l.vms = slices.Clone(vms)
}

// ListVMs implements VMList. It sends the entity tag of the list that it holds,
// if the platform gave one, so that an unchanged list is not sent again.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	tag, held := c.vms.get()
	got, err := c.read(ctx, call{op: opVMs, path: PathVMs, known: tag})
	if err != nil {
		return nil, err
	}
	if got.unchanged {
		return held, nil
	}
	var reply VMsReply
	if err := c.decode(opVMs, got, &reply); err != nil {
		return nil, err
	}
	c.vms.set(got.tag, reply.VMs)
	return reply.VMs, nil
}
