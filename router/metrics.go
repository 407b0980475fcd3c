package router

import (
	"reflect"
	"strings"
	"unicode"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
)

// publishCounters exports the counters of the control state machine, each as
// walnut_control_<name>_total, until the returned function is called. They are
// read from the copy that the control goroutine leaves at each tick.
func (l *loop) publishCounters(node string) (stop func()) {
	set := metrics.NewSet()
	fields := reflect.TypeFor[control.Counters]()
	for i := range fields.NumField() {
		name := "walnut_control_" + snakeCase(fields.Field(i).Name) + `_total{node="` + node + `"}`
		set.NewGauge(name, func() float64 { return l.counter(i) })
	}
	metrics.RegisterSet(set)
	return func() { metrics.UnregisterSet(set, true) }
}

// counter returns the counter of a field of control.Counters.
func (l *loop) counter(field int) float64 {
	counters := l.counters.Load()
	if counters == nil {
		return 0
	}
	return float64(reflect.ValueOf(*counters).Field(field).Uint())
}

// snakeCase turns a field's name into a metric's.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
