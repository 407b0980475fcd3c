package codecounter

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
)

func TestCounter(t *testing.T) {
	c := New("walnut_test_refusals_total", result.QueueFull, result.NoTarget)
	c.Inc(result.QueueFull)
	c.Inc(result.CallerGone)
	c.Inc(result.CallerGone)
	if got := c.Get(result.CallerGone); got != 2 {
		t.Errorf("caller_gone counted %d times", got)
	}
	var page bytes.Buffer
	metrics.WritePrometheus(&page, false)
	for _, line := range []string{
		`walnut_test_refusals_total{reason="queue_full"} 1`,
		`walnut_test_refusals_total{reason="no_target"} 0`,
		`walnut_test_refusals_total{reason="caller_gone"} 2`,
	} {
		if !strings.Contains(page.String(), line+"\n") {
			t.Errorf("no line %s", line)
		}
	}
}
