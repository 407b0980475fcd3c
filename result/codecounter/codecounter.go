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
	name  string
	known map[result.Code]*metrics.Counter
}

// New returns a counter that exports name{reason="<code's name>"} from the
// process's own set. The given codes are there from the start with zero; any
// other appears with its first count.
func New(name string, codes ...result.Code) *Counter {
	c := &Counter{name: name, known: make(map[result.Code]*metrics.Counter, len(codes))}
	for _, code := range codes {
		c.known[code] = c.counter(code)
	}
	return c
}

// Inc counts a code.
func (c *Counter) Inc(code result.Code) {
	counter, ok := c.known[code]
	if !ok {
		counter = c.counter(code)
	}
	counter.Inc()
}

// Get returns how often a code was counted.
func (c *Counter) Get(code result.Code) uint64 { return c.counter(code).Get() }

func (c *Counter) counter(code result.Code) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", c.name, code.Info().Name))
}
