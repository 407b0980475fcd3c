package proctest

import (
	"github.com/walnutcove/walnutcove/standin/engine"
	standin "github.com/walnutcove/walnutcove/standin/platform"
)

// isolate cuts a router off from the other routers, in both directions.
func (f *fleet) isolate(n int) {
	f.note("cut %s off from the others", routerName(n))
	for other := range routerCount {
		if other != n {
			f.peerProxies[n][other].Cut()
			f.peerProxies[other][n].Cut()
		}
	}
}

// rejoin reconnects a router that isolate has cut off.
func (f *fleet) rejoin(n int) {
	f.t.Helper()
	f.note("%s rejoins the others", routerName(n))
	for other := range routerCount {
		if other != n {
			f.peerProxies[n][other].heal()
			f.peerProxies[other][n].heal()
		}
	}
}

// restart starts a router again, with empty memory, after its process has
// ended.
func (f *fleet) restart(n int) {
	f.t.Helper()
	f.note("restart %s", routerName(n))
	f.must(f.routers[n].Restart())
}

// setPlatformFaults replaces the faults of the stand-in platform.
func (f *fleet) setPlatformFaults(faults standin.Faults) {
	f.t.Helper()
	f.note("platform faults %+v", faults)
	f.post("http://"+f.platform.Address+"/_fault", faults, nil)
}

// setTargetFaults replaces a target's faults. If the target is down, it waits
// until the target is up again.
func (f *fleet) setTargetFaults(target string, faults engine.Faults) {
	f.t.Helper()
	f.note("%s faults %+v", target, faults)
	f.eventually(target+" accepts its faults", func() bool {
		return post("http://"+f.targets[target].Address+"/_fault", faults, nil) == nil
	})
}

// heal ends the platform's faults, thaws the routers and reconnects all
// processes.
func (f *fleet) heal() {
	f.t.Helper()
	f.note("heal everything")
	f.setPlatformFaults(standin.Faults{})
	for n := range routerCount {
		f.must(f.routers[n].Thaw())
		f.platformProxies[n].heal()
		f.rejoin(n)
	}
	f.healTargets()
}
