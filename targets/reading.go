package targets

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/control/speed"
)

// refusalLoad is the cause of a refusal by a target that reported its load with it.
type refusalLoad struct{ reading speed.Reading }

// Error implements error.
func (r *refusalLoad) Error() string {
	return fmt.Sprintf("target: %d running, %d waiting, %d slots, %d %% of the usual time",
		r.reading.Running, r.reading.Waiting, r.reading.Slots, r.reading.Percent)
}

// LoadOf returns what the target reported about its load in answer to a call of Client.Do, given
// the results of that call; the zero value if it reported nothing valid.
func LoadOf(answer *Response, err error) speed.Reading {
	if answer != nil {
		return answer.Load
	}
	var refusal *refusalLoad
	if errors.As(err, &refusal) {
		return refusal.reading
	}
	return speed.Reading{}
}

// readLoad returns what the answer reports about the load of the target that was asked; the zero
// value if that is nothing. Only answers to callers' requests are read.
func (ex *exchange) readLoad(resp *Response) speed.Reading {
	read := ex.client.options.Dialect.Load
	if read == nil || ex.counters.readings == nil || resp.Status == fasthttp.StatusMisdirectedRequest {
		return speed.Reading{}
	}
	reading, err := read(resp.header)
	ex.counters.readings.count(reading, err)
	if err != nil {
		return speed.Reading{}
	}
	return reading
}

// readingCounters count the answers in which a target reports its load.
type readingCounters struct {
	read, noSpeed, invalid *metrics.Counter
}

func newReadingCounters(set *metrics.Set) *readingCounters {
	return &readingCounters{
		read:    set.GetOrCreateCounter(`walnut_target_load_readings_total{result="read"}`),
		noSpeed: set.GetOrCreateCounter(`walnut_target_load_readings_total{result="no_speed"}`),
		invalid: set.GetOrCreateCounter(`walnut_target_load_readings_total{result="invalid"}`),
	}
}

func (c *readingCounters) count(reading speed.Reading, err error) {
	switch {
	case err != nil:
		c.invalid.Inc()
	case reading.HasSpeed():
		c.read.Inc()
	case reading != (speed.Reading{}):
		c.noSpeed.Inc()
	}
}
