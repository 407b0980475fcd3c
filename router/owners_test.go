package router

import (
	"testing"
	"time"
)

func TestOwnersAlive(t *testing.T) {
	now := time.Unix(1000, 0)
	o := newOwners("a", 1, func() time.Time { return now })
	check := func(when string, got, want bool) {
		t.Helper()
		if got != want {
			t.Errorf("%s: alive is %v, want %v", when, got, want)
		}
	}
	check("this process", o.alive("a", 1), true)
	check("this router's last process", o.alive("a", 7), false)
	check("never heard", o.alive("b", 5), true)
	o.heard("b", 5)
	check("heard", o.alive("b", 5), true)
	check("its last process", o.alive("b", 4), false)
	o.connected("b", false)
	now = now.Add(ownerGrace - 1)
	o.connected("b", false)
	check("just lost", o.alive("b", 5), true)
	now = now.Add(1)
	check("lost for long", o.alive("b", 5), false)
	o.connected("b", true)
	check("back", o.alive("b", 5), true)
	o.heard("b", 6)
	check("restarted", o.alive("b", 5), false)
}
