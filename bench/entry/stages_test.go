package entry

import (
	"testing"

	"github.com/google/pprof/profile"
)

// TestStageOf checks that a sample counts for the innermost of the router's own packages in
// its stack.
func TestStageOf(t *testing.T) {
	for _, c := range []struct {
		stack        []string // innermost first
		stage        string
		inSystemCall bool
	}{
		{[]string{"syscall.Syscall", "net.(*conn).Write", modulePath + "front.(*callerConn).Write", "github.com/valyala/fasthttp.(*Server).serveConn"}, "front", true},
		{[]string{"runtime.mallocgc", modulePath + "filters/events.(*stream).Read", modulePath + "front.(*answerStream).Read"}, "filters/events", false},
		{[]string{"github.com/valyala/fasthttp.(*RequestHeader).parse", "github.com/valyala/fasthttp.(*Server).serveConn"}, stageHTTP, false},
		{[]string{"runtime.scanobject", "runtime.gcBgMarkWorker"}, stageRuntime, false},
		{[]string{"encoding/json.Marshal", "main.main"}, stageOther, false},
	} {
		var sample profile.Sample
		for _, name := range c.stack {
			function := &profile.Function{Name: name}
			sample.Location = append(sample.Location, &profile.Location{Line: []profile.Line{{Function: function}}})
		}
		if stage, inSystemCall := stageOf(&sample); stage != c.stage || inSystemCall != c.inSystemCall {
			t.Errorf("%v: %s, %v", c.stack, stage, inSystemCall)
		}
	}
}
