package managedtest

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/standin/managed"
)

// usualLoad is the base of the replicas' slowness in this file, in percent.
const usualLoad = 100

// loadPause is longer than the time in which a router does not report a similar load again.
const loadPause = 150 * time.Millisecond

// reportingReplica returns a replica's options with a load in each answer.
func reportingReplica(options managed.ReplicaOptions) managed.ReplicaOptions {
	options.Slowness = managed.FluctuatingSlowness(usualLoad, 1)
	return options
}

// schedulersReadings returns how many readings of load have arrived at the fleet's schedulers.
func (f *fleet) schedulersReadings() int {
	f.t.Helper()
	var page bytes.Buffer
	metrics.WritePrometheus(&page, false)
	total := 0
	for _, s := range f.settings {
		row := fmt.Sprintf("walnut_control_load_readings_total{node=%q} ", s.Node.Name)
		_, value, found := strings.Cut(page.String(), row)
		if !found {
			f.t.Fatalf("%s is not exported", row)
		}
		value, _, _ = strings.Cut(value, "\n")
		count, err := strconv.Atoi(value)
		if err != nil {
			f.t.Fatal(err)
		}
		total += count
	}
	return total
}

// TestLoadReachesSchedulers guards against readings of load that are lost between a replica's
// answer and the scheduler of its pool, for plain calls, streams and refusals, and against ones
// that are made up where replicas report no load.
func TestLoadReachesSchedulers(t *testing.T) {
	for _, reports := range []bool{true, false} {
		for name, c := range map[string]struct {
			path    string
			options managed.ReplicaOptions
		}{
			"plain":   {pathNonIdempotent, opsReplica("o1")},
			"stream":  {pathStream, genReplica("g1")},
			"refusal": {pathNonIdempotent, managed.ReplicaOptions{ID: "o1", Service: managed.DemoService, Slots: 1, ReplicaFaults: managed.ReplicaFaults{Refuse: true}}},
		} {
			t.Run(fmt.Sprintf("%s, load reported %v", name, reports), func(t *testing.T) {
				if reports {
					c.options = reportingReplica(c.options)
				}
				f := startFleet(t, 2, c.options)
				f.waitJoined()
				before := f.schedulersReadings()
				for n := range 2 * len(f.routers) {
					got := f.send(f.routers[n%len(f.routers)], c.path)
					if !c.options.Refuse && got.Status != http.StatusOK {
						t.Fatalf("status %d", got.Status)
					}
				}
				if !reports {
					if after := f.schedulersReadings(); after != before {
						t.Errorf("%d readings", after-before)
					}
					return
				}
				// Each router reports at least its first reading.
				f.eventually(testTimeout, "the schedulers have a reading from each router", func() bool {
					return f.schedulersReadings() >= before+len(f.routers)
				})
			})
		}
	}
}

// TestLoadOfResumedStreamReachesScheduler guards against losing the load that the second target
// of a stream reports, which another part of the router opens.
func TestLoadOfResumedStreamReachesScheduler(t *testing.T) {
	breaking := reportingReplica(genReplica("g1"))
	breaking.BreakAfterEvents = 3
	f := startSettledFleet(t, unlimitedSlack, 1, breaking, reportingReplica(genReplica("g2")))
	for range 100 {
		time.Sleep(loadPause)
		before := f.schedulersReadings()
		got := f.send(f.routers[0], pathStream)
		if len(f.journal.Runs(got.ID)) < 2 {
			continue // the first target was not the breaking one
		}
		f.eventually(testTimeout, "the loads of both targets have arrived", func() bool { return f.schedulersReadings() >= before+2 })
		return
	}
	t.Error("no stream began on the breaking target")
}
