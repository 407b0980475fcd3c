package engine

import (
	"time"

	"github.com/walnutcove/walnutcove/targets"
)

// loadReport is the load as it stood a while ago.
type loadReport struct {
	load  targets.Load
	taken time.Time
}

// reportLoop renews the load report every LoadLag.
func (e *Engine) reportLoop() {
	defer e.loops.Done()
	ticker := time.NewTicker(e.options.LoadLag)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		e.renewReport()
		e.mu.Unlock()
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
	}
}

// renewReport takes the load as it stands. e.mu is held.
func (e *Engine) renewReport() {
	e.report = loadReport{
		load: targets.Load{
			Running:        len(e.running),
			Queued:         len(e.queue),
			Slots:          e.options.Slots,
			CachedPrefixes: e.reportedPrefixes(),
		},
		taken: time.Now(),
	}
}

// reportedPrefixes returns the cached prefixes with gaps.
func (e *Engine) reportedPrefixes() []uint64 {
	var reported []uint64
	for _, hash := range e.prefixes.hashes() {
		if e.random.Float64() >= e.options.PrefixGap {
			reported = append(reported, hash)
		}
	}
	return reported
}
