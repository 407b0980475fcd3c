package proctest

import (
	"fmt"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/operator"
)

// versionAt returns the version in force at a router, and whether the router is
// ready. It returns 0 and false if the router does not answer.
func (f *fleet) versionAt(n int) (config.Version, bool) {
	var readiness operator.Readiness
	if err := get(f.operatorsAddress(n)+operator.PathReadyz, &readiness); err != nil {
		return 0, false
	}
	return readiness.Version, readiness.Ready
}

// awaitVersion waits until routers are on the newest version known to the test.
func (f *fleet) awaitVersion(routers ...int) {
	f.t.Helper()
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	for _, n := range routers {
		f.eventually(fmt.Sprintf("%s is on version %d", routerName(n), version), func() bool {
			got, _ := f.versionAt(n)
			return got >= version
		})
	}
}

// scheduler returns the only one of the given routers that schedules a pool, in
// a fleet with one data centre. It returns -1 if none or several do, or if a
// router does not answer.
func (f *fleet) scheduler(pool string, routers ...int) int {
	found := -1
	for _, n := range routers {
		var status operator.Status
		if err := get(f.operatorsAddress(n)+operator.PathStatus, &status); err != nil {
			return -1
		}
		for _, shard := range status.Shards {
			if shard.Pool != pool {
				continue
			}
			if found >= 0 {
				return -1
			}
			found = n
		}
	}
	return found
}

// awaitSettled waits until exactly one router schedules each shard, which means
// that the routers know of one another.
func (f *fleet) awaitSettled() {
	f.t.Helper()
	shards := make(map[string]bool)
	for _, target := range f.declared {
		shards[target.Pool+"/"+target.DataCentre] = true
	}
	f.eventually("one router schedules each shard", func() bool {
		schedulers := f.schedulersByShard()
		for _, count := range schedulers {
			if count != 1 {
				return false
			}
		}
		return len(schedulers) == len(shards)
	})
}

// schedulersByShard counts the routers that schedule each shard, by
// "pool/data centre". It returns nil if a router does not answer.
func (f *fleet) schedulersByShard() map[string]int {
	counts := make(map[string]int)
	for n := range routerCount {
		var status operator.Status
		if err := get(f.operatorsAddress(n)+operator.PathStatus, &status); err != nil {
			return nil
		}
		for _, shard := range status.Shards {
			counts[shard.Pool+"/"+shard.DataCentre]++
		}
	}
	return counts
}
