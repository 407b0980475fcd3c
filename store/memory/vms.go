package memory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

// vmListHistory holds the versions of the list that lagging readers may still see.
type vmListHistory struct {
	lag      time.Duration
	versions []vmListVersion // oldest first
}

type vmListVersion struct {
	since time.Time
	vms   []store.VM
}

// maxVMListVersions limits the history; older versions are dropped.
const maxVMListVersions = 1024

// SetVMs replaces the list of VMs. Readers see the new list once the lag has
// passed.
func (s *Store) SetVMs(vms []store.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := vmListVersion{since: s.options.Now(), vms: slices.Clone(vms)}
	s.vmHistory.versions = append(s.vmHistory.versions, version)
	if extra := len(s.vmHistory.versions) - maxVMListVersions; extra > 0 {
		s.vmHistory.versions = slices.Delete(s.vmHistory.versions, 0, extra)
	}
}

// SetVMLag sets how old a list of VMs must be before readers see it. Default 0.
func (s *Store) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmHistory.lag = lag
}

// ListVMs implements store.VMList.
func (s *Store) ListVMs(ctx context.Context) ([]store.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.options.Now().Add(-s.vmHistory.lag)
	for i := len(s.vmHistory.versions) - 1; i >= 0; i-- {
		version := s.vmHistory.versions[i]
		if !version.since.After(latest) {
			return slices.Clone(version.vms), nil
		}
	}
	return nil, nil
}
