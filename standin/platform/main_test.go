package platform

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine outlives the tests, but for those of fasthttp
// that sleep out a fixed time: its clock, and the cleaners of idle workers and
// connections, which end by themselves.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}
