package batch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of a Table.
type counters struct {
	set          *metrics.Set
	commits      *metrics.Counter   // commits made by callers
	transactions *metrics.Counter   // transactions sent for these commits
	conflicts    *metrics.Counter   // commits that failed with ErrConflict
	isolations   *metrics.Counter   // transactions whose rows were read back to find the conflict
	reads        *metrics.Counter   // rows read back
	rows         *metrics.Histogram // operations per transaction
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set:          set,
		commits:      set.GetOrCreateCounter("walnut_batch_commits_total"),
		transactions: set.GetOrCreateCounter("walnut_batch_transactions_total"),
		conflicts:    set.GetOrCreateCounter("walnut_batch_conflicts_total"),
		isolations:   set.GetOrCreateCounter("walnut_batch_isolations_total"),
		reads:        set.GetOrCreateCounter("walnut_batch_reads_total"),
		rows:         set.GetOrCreateHistogram("walnut_batch_transaction_rows"),
	}
}

// refusals returns the counter of the commits that were refused or given up for a
// reason.
func (c counters) refusals(reason string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_batch_refusals_total{reason=%q}`, reason))
}
