package memory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

// vmHistory keeps the lists that a lagging reader may still see.
type vmHistory struct {
	lag     time.Duration
	entries []vmEntry // oldest first
}

type vmEntry struct {
	since time.Time
	vms   []store.VM
}

// maxVMEntries bounds the history; older lists are forgotten.
const maxVMEntries = 1024

// SetVMs replaces the list of VMs. Readers see it once the lag has passed.
func (s *Store) SetVMs(vms []store.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := vmEntry{since: s.options.Now(), vms: slices.Clone(vms)}
	s.vms.entries = append(s.vms.entries, entry)
	if extra := len(s.vms.entries) - maxVMEntries; extra > 0 {
		s.vms.entries = slices.Delete(s.vms.entries, 0, extra)
	}
}

// SetVMLag sets how old a list of VMs must be before readers see it. Default 0.
func (s *Store) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.lag = lag
}

// ListVMs implements store.VMList.
func (s *Store) ListVMs(ctx context.Context) ([]store.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.options.Now().Add(-s.vms.lag)
	for i := len(s.vms.entries) - 1; i >= 0; i-- {
		entry := s.vms.entries[i]
		if !entry.since.After(latest) {
			return slices.Clone(entry.vms), nil
		}
	}
	return nil, nil
}
