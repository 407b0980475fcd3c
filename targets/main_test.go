package targets_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if the client or the stand-in engines leak goroutines. Two of fasthttp's own
// are ignored: the clock of its Date header, which never ends, and the cleaner of a stopped
// server, which ends within 10 s.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
