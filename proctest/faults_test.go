package proctest

import (
	"github.com/walnutcove/walnutcove/standin/engine"
	standin "github.com/walnutcove/walnutcove/standin/platform"
)

// isolate cuts a router from the other routers, both ways.
func (f *fleet) isolate(n int) {
	f.note("cut %s from the others", routerName(n))
	for other := range routerCount {
		if other != n {
			f.peers[n][other].Cut()
			f.peers[other][n].Cut()
		}
	}
}

// rejoin ends isolate.
func (f *fleet) rejoin(n int) {
	f.t.Helper()
	f.note("%s rejoins the others", routerName(n))
	for other := range routerCount {
		if other != n {
			f.peers[n][other].heal()
			f.peers[other][n].heal()
		}
	}
}

// restart starts a router again, with empty memory, after its end.
func (f *fleet) restart(n int) {
	f.t.Helper()
	f.note("restart %s", routerName(n))
	f.must(f.routers[n].Restart())
}

// platformFaults replaces the platform's faults.
func (f *fleet) platformFaults(faults standin.Faults) {
	f.t.Helper()
	f.note("platform faults %+v", faults)
	f.post("http://"+f.platform.Address+"/_fault", faults, nil)
}

// targetFaults replaces a target's faults, once it is up if it is down.
func (f *fleet) targetFaults(target string, faults engine.Faults) {
	f.t.Helper()
	f.note("%s faults %+v", target, faults)
	f.eventually(target+" takes its faults", func() bool {
		return post("http://"+f.targets[target].Address+"/_fault", faults, nil) == nil
	})
}

// heal ends the faults of the platform, every cut and every freeze.
func (f *fleet) heal() {
	f.t.Helper()
	f.note("heal everything")
	f.platformFaults(standin.Faults{})
	for n := range routerCount {
		f.must(f.routers[n].Thaw())
		f.platformWays[n].heal()
		f.rejoin(n)
	}
	f.healTargets()
}
