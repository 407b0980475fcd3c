package router

import (
	"testing"
	"time"
)

func TestClaimOwnersMayBeRunning(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newClaimOwners("a", 1, func() time.Time { return now })
	check := func(state string, got, want bool) {
		t.Helper()
		if got != want {
			t.Errorf("%s: mayBeRunning is %v, want %v", state, got, want)
		}
	}
	check("this process", o.mayBeRunning("a", 1), true)
	check("this router's previous process", o.mayBeRunning("a", 7), false)
	check("no message received", o.mayBeRunning("b", 5), true)
	o.messageReceived("b", 5)
	check("message received", o.mayBeRunning("b", 5), true)
	check("its previous process", o.mayBeRunning("b", 4), false)
	o.sessionChanged("b", false)
	now = now.Add(ownerGrace - 1)
	o.sessionChanged("b", false)
	check("just lost", o.mayBeRunning("b", 5), true)
	now = now.Add(1)
	check("lost for ownerGrace", o.mayBeRunning("b", 5), false)
	o.sessionChanged("b", true)
	check("reconnected", o.mayBeRunning("b", 5), true)
	o.messageReceived("b", 6)
	check("restarted", o.mayBeRunning("b", 5), false)
}
