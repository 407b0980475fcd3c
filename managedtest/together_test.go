package managedtest

import (
	"testing"
	"time"
)

// TestRoutersThatStartTogetherFindEachOther: more routers than the store lets wait for
// their announcement, as when a large fleet gets its power back. All know each other soon
// after the store could have taken the announcements in.
func TestRoutersThatStartTogetherFindEachOther(t *testing.T) {
	const (
		routers   = 24
		perSecond = 8
		// within is the time that the announcements take, and as much again.
		within = 2 * routers / perSecond * time.Second
	)
	f := startFleet(t, 0)
	f.store.LimitWrites(perSecond)
	began := time.Now()
	for range routers {
		f.router()
	}
	f.waitJoined()
	if took := time.Since(began); took > within {
		t.Errorf("the routers knew each other after %s", took)
	}
}
