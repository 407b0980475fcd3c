package batch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of a Table.
type counters struct {
	set          *metrics.Set
	commits      *metrics.Counter   // commits that callers made
	transactions *metrics.Counter   // transactions sent for them
	conflicts    *metrics.Counter   // callers told ErrConflict
	isolations   *metrics.Counter   // transactions read back to find the conflict
	reads        *metrics.Counter   // rows read back
	rows         *metrics.Histogram // operations of each transaction
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

// refusal counts commits that were given up on, by reason.
func (c counters) refusal(reason string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`walnut_batch_refusals_total{reason=%q}`, reason))
}
