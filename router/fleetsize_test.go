package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// fleetNames returns the names of routers.
func fleetNames(first, count int) (names []control.NodeID) {
	for i := range count {
		names = append(names, control.NodeID(fmt.Sprintf("edge-%03d", first+i)))
	}
	return names
}

// TestFleetSizeCountsRoutersOutOfSight guards against a router that takes more than its part of
// the fleet's limits while the others are cut off, are leaving, or have not been met yet.
func TestFleetSizeCountsRoutersOutOfSight(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		change func(f *fleetSize)
		want   int
	}{
		{"just started", func(*fleetSize) {}, 0},
		{"met some before the list", func(f *fleetSize) { f.setAlive(fleetNames(0, 3)) }, 0},
		{"met nobody yet", func(f *fleetSize) { f.setListed(fleetNames(0, 8)); f.setAlive(fleetNames(0, 1)) }, 8},
		{"met an unlisted router", func(f *fleetSize) { f.setListed(fleetNames(0, 8)); f.setAlive(fleetNames(4, 8)) }, 12},
		{"all leaving", func(f *fleetSize) {
			f.setListed(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 8))
			now = now.Add(time.Minute)
			f.setAlive(fleetNames(0, 1))
			f.setListed(fleetNames(0, 1))
		}, 8},
		{"cut off for long", func(f *fleetSize) {
			f.setListed(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 1))
			now = now.Add(10 * routerRetention)
		}, 8},
		{"one lost for good", func(f *fleetSize) {
			f.setListed(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 7))
			now = now.Add(2 * routerRetention)
		}, 7},
		{"one lost for good, and listed again", func(f *fleetSize) {
			f.setListed(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 7))
			now = now.Add(2 * routerRetention)
			f.count()
			f.setListed(fleetNames(0, 8))
		}, 7},
		{"all but one left", func(f *fleetSize) {
			f.setListed(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 8))
			f.setAlive(fleetNames(0, 1))
			f.setListed(fleetNames(0, 1))
			now = now.Add(2 * routerRetention)
		}, 1},
	} {
		f := newFleetSize(func() time.Time { return now })
		c.change(f)
		if got := f.count(); got != c.want {
			t.Errorf("%s: %d routers, want %d", c.name, got, c.want)
		}
	}
}
