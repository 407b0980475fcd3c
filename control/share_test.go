package control

import (
	"testing"
	"time"
)

// TestRefusedRequestsUseNoShare: requests within their workspace's share that are refused, as no
// target can begin them in time, leave the share to the ones that come after them. A workspace
// whose requests wait last after a crash would otherwise have nothing for seconds.
func TestRefusedRequestsUseNoShare(t *testing.T) {
	f := newTokenFleet("e1")
	f.crowd()
	// atOnce is how many such requests half of the pool is in the time for which a share may be
	// used at once.
	const atOnce = 7
	granted, waiting := 0, make(map[RequestID]bool)
	for n := range uint64(14) {
		id, dispatch, refuse := f.arrive("a", thing(100+n))
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
	for _, command := range f.pass(time.Second / 2) {
		if refuse, ok := command.(Refuse); ok && waiting[refuse.Request] {
			refused++
		}
	}
	if refused != len(waiting) || granted > 3 {
		t.Fatalf("%d granted, %d of %d refused: not the case to test", granted, refused, len(waiting))
	}
	if left := f.withinShare("a"); left < atOnce {
		t.Errorf("%d more requests are within the share, of %d, after %d were granted and %d refused", left, atOnce, granted, refused)
	}
}

// crowd has a workspace ask for more than the pool serves.
func (f *tokenFleet) crowd() {
	const muchMore = 10 // seconds of service
	f.machine.ensureShard(ShardID{Pool: "gen"}).shares.Take(f.now, "b", muchMore)
}

// withinShare returns how many more requests for one thing each are within a workspace's share.
func (f *tokenFleet) withinShare(workspace string) int {
	shares := f.machine.ensureShard(ShardID{Pool: "gen"}).shares
	amount := nominalService(engineTaskOf(Work{Parts: []PromptPart{thing(1)}, OutputTokens: 50})).Seconds()
	requests := 0
	for shares.Take(f.now, workspace, amount) {
		requests++
	}
	return requests
}
