// Package codecounter counts result codes under one metric, with a counter for
// each code: walnut_<part>_refusals_total{reason="queue_full"}.
package codecounter

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/result"
)

// Counter counts codes. It is safe for concurrent use.
type Counter struct {
	name       string
	registered map[result.Code]*metrics.Counter
}

// New returns a counter that exports name{reason="<code's name>"} in the process's
// default metric set. The given codes are exported from the start, with zero; any
// other code appears when it is first counted.
func New(name string, codes ...result.Code) *Counter {
	c := &Counter{name: name, registered: make(map[result.Code]*metrics.Counter, len(codes))}
	for _, code := range codes {
		c.registered[code] = c.counter(code)
	}
	return c
}

// Inc adds one to the count of a code.
func (c *Counter) Inc(code result.Code) {
	counter, ok := c.registered[code]
	if !ok {
		counter = c.counter(code)
	}
	counter.Inc()
}

// Get returns the count of a code.
func (c *Counter) Get(code result.Code) uint64 { return c.counter(code).Get() }

func (c *Counter) counter(code result.Code) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", c.name, code.Info().Name))
}
