package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/processes"
)

// TestFreezeEndsInTime guards against answers that are late because a router stays frozen for longer
// than the limit of a fault while the injector waits for another router to start.
func TestFreezeEndsInTime(t *testing.T) {
	process, err := processes.Start("ticks", "sh", "-c", "while sleep 0.02; do echo tick; done")
	if err != nil {
		t.Fatal(err)
	}
	defer process.Kill()
	r := &router{Router: &processes.Router{Process: process}}
	f := &faultInjector{fleet: &fleet{t: t, routers: []*router{r}}, random: rand.New(rand.NewPCG(1, 0)), busy: make(map[string]bool)}
	if _, end := f.freeze(); end == nil {
		t.Fatal("no router was frozen")
	}
	ticks := func() int { return strings.Count(process.Output(), "tick") }
	time.Sleep(maxFaultTime / 2)
	frozen := ticks()
	time.Sleep(maxFaultTime / 4)
	if ticks() != frozen {
		t.Error("the router is not frozen")
	}
	time.Sleep(maxFaultTime)
	if ticks() == frozen {
		t.Errorf("the router is frozen for longer than %s", maxFaultTime)
	}
}
