package engine

import (
	"time"

	"github.com/walnutcove/walnutcove/targets"
)

// loadReport is the load at a past time, as the engine reports it.
type loadReport struct {
	load    targets.Load
	takenAt time.Time
}

// reportLoop refreshes the load report at once and then every LoadLag.
func (e *Engine) reportLoop() {
	defer e.loops.Done()
	ticker := time.NewTicker(e.options.LoadLag)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		e.refreshReport()
		e.mu.Unlock()
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
	}
}

// refreshReport sets the load report to the current load. The caller holds e.mu.
func (e *Engine) refreshReport() {
	e.report = loadReport{
		load: targets.Load{
			Running:        len(e.running),
			Queued:         len(e.queue),
			Slots:          e.options.Slots,
			CachedPrefixes: e.reportedPrefixes(),
		},
		takenAt: time.Now(),
	}
}

// reportedPrefixes returns the cached prefixes, and omits each with the probability
// PrefixGap.
func (e *Engine) reportedPrefixes() []uint64 {
	var reported []uint64
	for _, hash := range e.prefixes.hashes() {
		if e.random.Float64() >= e.options.PrefixGap {
			reported = append(reported, hash)
		}
	}
	return reported
}
