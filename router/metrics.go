package router

import (
	"fmt"
	"reflect"
	"strings"
	"unicode"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/directory"
)

// publishMetrics exports the state of this router and the counters of its
// control state machine until the returned function is called.
func (r *Router) publishMetrics() (stop func()) {
	set := metrics.NewSet()
	node := fmt.Sprintf("{node=%q}", r.settings.Node.Name)
	set.NewGauge("walnut_router_ready"+node, func() float64 { return oneIf(r.Ready() && !r.Draining()) })
	set.NewGauge("walnut_router_draining"+node, func() float64 { return oneIf(r.Draining()) })
	set.NewGauge("walnut_config_version"+node, func() float64 { return float64(r.version()) })
	set.NewGauge("walnut_accept_active"+node, func() float64 { return float64(r.front.Active()) })
	set.NewGauge("walnut_accept_held_bytes"+node, func() float64 { return float64(r.front.HeldBytes()) })
	set.NewGauge("walnut_accept_answer_bytes"+node, func() float64 { return float64(r.front.BufferedAnswerBytes()) })
	set.NewGauge("walnut_router_fleet_size"+node, func() float64 { return float64(r.fleet.count()) })
	set.NewGauge("walnut_retry_slack"+node, func() float64 { return r.retryLimits().Slack })
	if r.managed != nil {
		publishFeedAges(set, r.settings.Node.Name, r.directory)
		set.NewGauge("walnut_directory_era"+node, func() float64 { return float64(r.directory.Era()) })
		set.NewGauge("walnut_directory_version_behind_seconds"+node, func() float64 { return r.directory.BehindFor().Seconds() })
		set.NewGauge("walnut_router_directory_fetches_in_progress"+node, func() float64 { return float64(r.fetcher.InProgress()) })
	}
	var links offloading
	if r.managed != nil {
		links = r.offloading
	}
	publishOffload(set, r.settings.Node.Name, links, r.front.HeldAnswerBytes)
	r.loop.publishCounters(set, node)
	metrics.RegisterSet(set)
	return func() { metrics.UnregisterSet(set, true) }
}

// publishFeedAges exports, for each feed, how old the platform's data may be.
func publishFeedAges(set *metrics.Set, node string, source *directory.Follower) {
	for feed := range source.FeedAges() {
		labels := fmt.Sprintf("{node=%q,feed=%q}", node, feed)
		set.NewGauge("walnut_directory_answer_age_seconds"+labels, func() float64 { return source.FeedAges()[feed].Answer.Seconds() })
		set.NewGauge("walnut_directory_call_age_seconds"+labels, func() float64 { return source.FeedAges()[feed].Call.Seconds() })
		set.NewGauge("walnut_directory_stale_seconds"+labels, func() float64 { return source.FeedAges()[feed].Stale.Seconds() })
	}
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// publishCounters exports each counter of the control state machine as
// walnut_control_<name>_total. They are read from the copy that the control
// goroutine makes at each tick.
func (l *loop) publishCounters(set *metrics.Set, labels string) {
	fields := reflect.TypeFor[control.Counters]()
	for i := range fields.NumField() {
		name := "walnut_control_" + snakeCase(fields.Field(i).Name) + "_total" + labels
		set.NewGauge(name, func() float64 { return l.counter(i) })
	}
}

// counter returns the value of the field of control.Counters with the given index.
func (l *loop) counter(field int) float64 {
	counters := l.counters.Load()
	if counters == nil {
		return 0
	}
	return float64(reflect.ValueOf(*counters).Field(field).Uint())
}

// snakeCase converts a field name to snake case for a metric name.
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
