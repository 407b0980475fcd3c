package platform

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine outlives the tests, except for those of fasthttp
// that sleep for a fixed time and then end by themselves: its clock, and the
// cleaners of idle workers and connections.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}
