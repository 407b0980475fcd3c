package control

import (
	"testing"
	"time"
)

// TestRefusedRequestsUseNoShare guards against share that is lost with refused requests. Requests
// within their workspace's share that are refused, because no target can begin them in time, have
// to return it for later requests. Otherwise a workspace whose requests are the last to wait after
// a crash has no share left for seconds.
func TestRefusedRequestsUseNoShare(t *testing.T) {
	f := newTokenFleet("e1")
	f.overloadPool()
	// minWithinShare is the number of such requests that half of the pool serves in 1.5 s: the
	// time for which a workspace may use its share at once.
	const minWithinShare = 7
	granted, waiting := 0, make(map[RequestID]bool)
	for n := range uint64(14) {
		id, dispatch, refuse := f.arrive("a", sharedPart(100+n))
		switch {
		case refuse != nil:
			t.Fatalf("request %d is refused at once: %+v", n, refuse)
		case dispatch != nil:
			granted++
		default:
			waiting[id] = true
		}
	}
	refused := 0
	for _, command := range f.tickFor(time.Second / 2) {
		if refuse, ok := command.(Refuse); ok && waiting[refuse.Request] {
			refused++
		}
	}
	if refused != len(waiting) || granted > 3 {
		t.Fatalf("%d granted, %d of %d refused: want at most 3 granted and the others refused", granted, refused, len(waiting))
	}
	if left := f.countWithinShare("a"); left < minWithinShare {
		t.Errorf("%d more requests are within the share, want at least %d after %d were granted and %d refused", left, minWithinShare, granted, refused)
	}
}

// overloadPool makes workspace "b" request more than the pool serves.
func (f *tokenFleet) overloadPool() {
	const excess = 10 // seconds of service
	f.machine.ensureShard(ShardID{Pool: "gen"}).shares.Take(f.now, "b", excess)
}

// countWithinShare returns how many more requests with one shared part each are within a
// workspace's share.
func (f *tokenFleet) countWithinShare(workspace string) int {
	shares := f.machine.ensureShard(ShardID{Pool: "gen"}).shares
	amount := nominalService(engineTaskOf(Work{Parts: []PromptPart{sharedPart(1)}, OutputTokens: 50})).Seconds()
	requests := 0
	for shares.Take(f.now, workspace, amount) {
		requests++
	}
	return requests
}
