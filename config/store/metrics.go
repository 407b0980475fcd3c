package store

import "github.com/VictoriaMetrics/metrics"

// Metrics of the configuration store.
var (
	commitRetries         = metrics.GetOrCreateCounter(`walnut_config_retries_total{reason="outcome_unknown"}`)
	snapshotReadFailures  = metrics.GetOrCreateCounter(`walnut_config_failures_total{reason="snapshot_read"}`)
	snapshotWriteFailures = metrics.GetOrCreateCounter(`walnut_config_failures_total{reason="snapshot_write"}`)
)
