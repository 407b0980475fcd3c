package soak

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

const (
	// secondZone is the zone of every other replica when soakOptions.evacuates is set.
	secondZone = "far"
	// maxEvacuationDelay limits how long routers may take to apply the start or end of an evacuation.
	maxEvacuationDelay = 2 * time.Second
)

// TestSoakEvacuates is TestSoak with replicas in two zones and zone evacuations among the faults. It
// is a separate test because an additional fault kind changes the faults that a seed draws.
func TestSoakEvacuates(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) { soak(t, seed, soakOptions{evacuates: true}) })
}

// evacuateZone evacuates a random zone until the fault ends.
func (f *faultInjector) evacuateZone() (string, func() bool) {
	zone := f.zones[f.random.IntN(len(f.zones))]
	subject := "zone " + zone
	if f.busy[subject] {
		return "", nil
	}
	f.evacuate(zone)
	return subject, func() bool { f.endEvacuation(zone); return true }
}

func (f *fleet) evacuate(zone string) {
	f.store.Put(wire.TableOperator, wire.PrefixEvacuation+zone, struct{}{})
}

func (f *fleet) endEvacuation(zone string) {
	f.store.Delete(wire.TableOperator, wire.PrefixEvacuation+zone)
}

// checkEvacuation evacuates a zone while no faults are active. It guards against routers that keep
// sending requests to an evacuated zone, or that do not use the zone again after the evacuation.
func (c *checker) checkEvacuation() {
	c.evacuate(secondZone)
	evacuatedAt := time.Now()
	time.Sleep(maxEvacuationDelay + inFlightTime)
	c.endEvacuation(secondZone)
	endedAt := time.Now()
	time.Sleep(maxEvacuationDelay)
	usedAgain := false
	for _, run := range c.journal.Runs("") {
		if c.zoneOf(run.Replica) != secondZone {
			continue
		}
		if elapsed := run.StartedAt.Sub(evacuatedAt); elapsed > maxEvacuationDelay && run.StartedAt.Before(endedAt) {
			c.t.Errorf("request %s reached replica %s %s after its zone was evacuated", run.ID, run.Replica, elapsed)
			return
		}
		usedAgain = usedAgain || run.StartedAt.After(endedAt)
	}
	if !usedAgain {
		c.t.Errorf("no replica in the evacuated zone received a request within %s after the evacuation ended", maxEvacuationDelay)
	}
}

// zoneOf returns the zone of a running replica, or "" if no running replica has the ID.
func (f *fleet) zoneOf(id string) string {
	for _, r := range f.replicas {
		if r.options.ID == id {
			return r.options.Zone
		}
	}
	return ""
}
