package directory

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/wait"
)

const (
	// eraProbeInterval is the pause between era probes. A platform restored from an older copy
	// may reissue the revision that a waiting call follows before it checks that call, which
	// then stays blocked for up to maxHold.
	eraProbeInterval = time.Second
	// eraProbeTimeout is well above the platform's usual response time of a few milliseconds.
	eraProbeTimeout = 500 * time.Millisecond
)

var (
	eraProbesOK     = metrics.GetOrCreateCounter(`walnut_directory_era_probes_total{result="ok"}`)
	eraProbesFailed = metrics.GetOrCreateCounter(`walnut_directory_era_probes_total{result="failed"}`)
)

// runEraProbes polls the platform's era until ctx ends, and reissues the calls that wait for
// changes when the era has advanced or the probe fails. Only the prober polls; other routers
// learn of a new era from their peers.
func (f *Follower) runEraProbes(ctx context.Context) {
	if f.options.ProbeEra == nil {
		return
	}
	for ctx.Err() == nil {
		wait.For(ctx, eraProbeInterval)
		if !f.role.isLiveProber() {
			continue // Another router probes, or a feed is down and detects a restore when it reconnects.
		}
		if f.needsReprobe(ctx) {
			f.Reprobe()
		}
	}
}

// needsReprobe probes the era once. It reports whether the era has advanced or the probe failed.
func (f *Follower) needsReprobe(ctx context.Context) bool {
	probeCtx, cancel := context.WithTimeout(ctx, eraProbeTimeout)
	defer cancel()
	era, err := f.options.ProbeEra(probeCtx)
	if err != nil {
		eraProbesFailed.Inc()
		f.options.Log.Warn("directory: Era probe failed.", "era_known", f.Era(), "error", err)
		return true
	}
	eraProbesOK.Inc()
	return era > f.Era()
}
