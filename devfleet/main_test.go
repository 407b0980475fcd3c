package devfleet_test

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// tests runs the tests and then closes the idle connections that they leave.
type tests struct{ *testing.M }

// Run implements goleak.TestingM.
func (t tests) Run() int {
	defer http.DefaultClient.CloseIdleConnections()
	return t.M.Run()
}

// TestMain fails if a fleet leaves a goroutine running, except for fasthttp's that end
// by themselves.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(tests{m},
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
}
