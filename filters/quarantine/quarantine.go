// Package quarantine is the filter of the guard stage that refuses requests whose
// fingerprint is quarantined because targets crashed while they ran such a request.
package quarantine

import (
	"context"
	"sync"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/result/codecounter"
)

var refusals = codecounter.New("walnut_quarantine_refusals_total", result.Quarantined)

// Set is the set of quarantined fingerprints. The control loop changes it; the
// goroutines that serve requests read it. The zero value is an empty set.
type Set struct {
	mu           sync.RWMutex
	fingerprints map[uint64]struct{}
}

// Change adds or removes a fingerprint and reports whether that changed the set; see
// control.QuarantineChanged.
func (s *Set) Change(fingerprint uint64, quarantined bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, wasQuarantined := s.fingerprints[fingerprint]; wasQuarantined == quarantined {
		return false
	}
	if !quarantined {
		delete(s.fingerprints, fingerprint)
		return true
	}
	if s.fingerprints == nil {
		s.fingerprints = make(map[uint64]struct{})
	}
	s.fingerprints[fingerprint] = struct{}{}
	return true
}

// Contains reports whether a fingerprint is quarantined.
func (s *Set) Contains(fingerprint uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.fingerprints[fingerprint]
	return ok
}

// Filter refuses quarantined requests. It checks again right before each dispatch,
// because a request may be quarantined while it waits or is retried.
type Filter struct {
	// Set holds the quarantined fingerprints.
	Set *Set
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "quarantine" }

// Serve implements pipeline.Filter.
func (f *Filter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	check := func() error { return f.check(ex) }
	if err := check(); err != nil {
		return err
	}
	ex.BeforeDispatch = append(ex.BeforeDispatch, check)
	return next(ctx, ex)
}

// check refuses a quarantined request. On a retry an earlier attempt may have
// run, so the refusal does not report the request as not run.
func (f *Filter) check(ex *pipeline.Exchange) error {
	if !f.Set.Contains(ex.Fingerprint) {
		return nil
	}
	refusals.Inc(result.Quarantined)
	refusal := result.New(result.Quarantined, "Targets crashed while they ran this request.")
	if ex.Attempt > 1 {
		refusal.Ran = result.RanUnknown
	}
	return refusal
}
