package store

import "github.com/VictoriaMetrics/metrics"

// Counters of the store.
var (
	commitRetries = metrics.GetOrCreateCounter(`walnut_config_retries_total{reason="outcome_unknown"}`)
	readFailures  = metrics.GetOrCreateCounter(`walnut_config_failures_total{reason="snapshot_read"}`)
	writeFailures = metrics.GetOrCreateCounter(`walnut_config_failures_total{reason="snapshot_write"}`)
)
