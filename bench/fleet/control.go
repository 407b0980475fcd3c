package fleet

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/walnutcove/walnutcove/operator"
)

// ControlTraffic is the control traffic of one router, as the mean over the fleet.
type ControlTraffic struct {
	// BytesPerSecond counts bytes on the wire to and from other routers.
	BytesPerSecond float64
	// MessagesPerSecond counts messages to and from other routers.
	MessagesPerSecond float64
	// PlatformBytesPerSecond counts bytes to and from the platform.
	PlatformBytesPerSecond float64
	// CorePercent is the busy time of the control goroutine in percent of one core.
	CorePercent float64
	// Disturbances counts, over the whole fleet and time, suspected routers,
	// schedulers that did not answer and processes that resumed after a freeze.
	// Each of these may move a shard to another scheduler.
	Disturbances int
}

// ControlCounters holds the fleet's counters at one time, summed over the routers.
type ControlCounters struct {
	routers       int
	bytes         float64
	messages      float64
	platformBytes float64
	busySeconds   float64
	disturbances  float64
}

// The metrics that ControlCounters sums.
const (
	metricPeerBytes        = "walnut_peer_wire_bytes_total"
	metricPeerMessages     = "walnut_peer_messages_total"
	metricPlatformSent     = "walnut_platform_sent_bytes_total"
	metricPlatformReceived = "walnut_platform_received_bytes_total"
	metricControlBusy      = "walnut_control_busy_seconds_total"
	metricSuspected        = "walnut_control_nodes_suspected_total"
	metricUnanswering      = "walnut_control_schedulers_unanswering_total"
	metricThaws            = "walnut_control_thaws_total"
)

// ReadControlCounters reads the counters of every router.
func (f *Fleet) ReadControlCounters() (ControlCounters, error) {
	counts := ControlCounters{routers: len(f.Routers)}
	for _, r := range f.Routers {
		values, err := ReadMetrics(r.Settings.Listen.Operators)
		if err != nil {
			return counts, err
		}
		counts.bytes += values[metricPeerBytes]
		counts.messages += values[metricPeerMessages]
		counts.platformBytes += values[metricPlatformSent] + values[metricPlatformReceived]
		counts.busySeconds += values[metricControlBusy]
		counts.disturbances += values[metricSuspected] + values[metricUnanswering] + values[metricThaws]
	}
	return counts, nil
}

// Since returns the mean rates of one router since earlier counters.
func (c ControlCounters) Since(earlier ControlCounters, elapsed time.Duration) ControlTraffic {
	routerSeconds := float64(c.routers) * elapsed.Seconds()
	return ControlTraffic{
		BytesPerSecond:         (c.bytes - earlier.bytes) / routerSeconds,
		MessagesPerSecond:      (c.messages - earlier.messages) / routerSeconds,
		PlatformBytesPerSecond: (c.platformBytes - earlier.platformBytes) / routerSeconds,
		CorePercent:            100 * (c.busySeconds - earlier.busySeconds) / routerSeconds,
		Disturbances:           int(c.disturbances - earlier.disturbances),
	}
}

// ReadMetrics returns the metrics that a router serves at its address for
// operators, summed over their labels.
func ReadMetrics(operators string) (map[string]float64, error) {
	response, err := http.Get("http://" + operators + operator.PathMetrics)
	if err != nil {
		return nil, fmt.Errorf("read the metrics: %w", err)
	}
	defer response.Body.Close()
	values := make(map[string]float64)
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		name, value, ok := parseMetric(scanner.Text())
		if ok {
			values[name] += value
		}
	}
	return values, scanner.Err()
}

// parseMetric parses one line of the text format and drops the labels. The last
// result is false if the line holds no metric.
func parseMetric(line string) (string, float64, bool) {
	if line == "" || line[0] == '#' {
		return "", 0, false
	}
	space := strings.LastIndexByte(line, ' ')
	if space < 0 {
		return "", 0, false
	}
	value, err := strconv.ParseFloat(line[space+1:], 64)
	name, _, _ := strings.Cut(line[:space], "{")
	return name, value, err == nil
}
