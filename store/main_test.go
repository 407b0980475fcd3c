package store_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	standin "github.com/walnutcove/walnutcove/standin/platform"
	"github.com/walnutcove/walnutcove/store"
)

// TestMain fails if a goroutine outlives the tests, except those of fasthttp that
// end by themselves after a fixed time: its clock, and the cleaners of idle
// workers and connections.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

// fixture is a stand-in of the platform with a client of it.
type fixture struct {
	*store.Client
	server  *standin.Server
	address string
	metrics *metrics.Set
}

func newFixture(t *testing.T, options store.Options) *fixture {
	t.Helper()
	server := standin.New(standin.Options{})
	address, err := server.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{server: server, address: address, metrics: metrics.NewSet()}
	options.Address = address
	options.Metrics = f.metrics
	f.Client = store.NewClient(options)
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		f.Client.Close()
	})
	return f
}

func (f *fixture) setFaults(t *testing.T, faults standin.Faults) {
	t.Helper()
	if err := f.server.SetFaults(faults); err != nil {
		t.Fatal(err)
	}
}

// appliedKeys returns the keys of the applied writes, in order.
func (f *fixture) appliedKeys() []string {
	var keys []string
	for _, entry := range f.server.Journal(0, 1000).Entries {
		keys = append(keys, entry.Key)
	}
	return keys
}

func (f *fixture) counter(format string, args ...any) uint64 {
	return f.metrics.GetOrCreateCounter(fmt.Sprintf(format, args...)).Get()
}

func insert(key string) []store.Op {
	return []store.Op{{Kind: store.OpInsert, Table: "runs", Key: key, Value: []byte("v")}}
}

func wantError(t *testing.T, err, kind error, reason string) {
	t.Helper()
	var failure *store.Failure
	if !errors.Is(err, kind) || !errors.As(err, &failure) || failure.Reason() != reason {
		t.Fatalf("got %v, want %v for %s", err, kind, reason)
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

var background = context.Background()
