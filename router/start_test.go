package router

import (
	"log/slog"
	"net"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/walnutcove/walnutcove/settings"
)

func testSettings() settings.Settings {
	s := settings.Defaults()
	s.Node = settings.Node{Name: "vm-1", DataCentre: "ikeja"}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.Address = "127.0.0.1:1" // nothing listens there
	return s
}

// ignoredGoroutines are goroutines that libraries keep for the whole process.
var ignoredGoroutines = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
}

// TestFailedStartLeavesNothingRunning occupies the port of one listener after the
// other and checks that no goroutine and no listener is left.
func TestFailedStartLeavesNothingRunning(t *testing.T) {
	defer goleak.VerifyNone(t, ignoredGoroutines...)
	for _, key := range []string{keyCallers, keyOperators, keyPeers} {
		taken, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := testSettings()
		free := freeAddress(t)
		s.Listen.Callers = free
		*map[string]*string{
			keyCallers:   &s.Listen.Callers,
			keyOperators: &s.Listen.Operators,
			keyPeers:     &s.Listen.Peers,
		}[key] = taken.Addr().String()
		_, err = Start(s, slog.New(slog.DiscardHandler))
		if err == nil || !strings.HasPrefix(err.Error(), key+": listen") && !strings.HasPrefix(err.Error(), key+": peer: listen") {
			t.Errorf("%s: got %v", key, err)
		}
		again, err := net.Listen("tcp4", free)
		if err != nil {
			t.Errorf("%s: a listener was left open: %v", key, err)
		} else {
			again.Close()
		}
		taken.Close()
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestCloseLeavesNothingRunning starts and closes a router.
func TestCloseLeavesNothingRunning(t *testing.T) {
	defer goleak.VerifyNone(t, ignoredGoroutines...)
	r, err := Start(testSettings(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	r.Close()
}
