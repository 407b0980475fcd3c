package targets_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/targets"
)

// TestSlowTargetHoldsNoCopies guards against memory beside the bodies, which are counted, for targets
// that do not read: a call has its buffers of 20 KiB.
func TestSlowTargetHoldsNoCopies(t *testing.T) {
	const calls, maxBytesPerCall = 50, 64 << 10
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := scriptServer(t, func(net.Conn) { <-ctx.Done() })
	client := newClient(t, targets.Options{Metrics: metrics.NewSet()})
	body := make([]byte, 8<<20) // shared: what is measured is held beside it
	before := heapInUse()
	var ended sync.WaitGroup
	for range calls {
		ended.Go(func() {
			request := targets.Request{Address: address, Method: http.MethodPost, Path: "/", Body: body}
			if answer, err := client.Do(ctx, request); err == nil {
				answer.Body.Close()
				t.Error("a call to a target that reads nothing was answered")
			}
		})
	}
	time.Sleep(200 * time.Millisecond) // until the writes block
	if held := (heapInUse() - before) / calls; held > maxBytesPerCall {
		t.Errorf("%d bytes held for each call", held)
	} else {
		t.Logf("%d bytes held for each call", held)
	}
	cancel()
	ended.Wait()
	runtime.KeepAlive(body)
}

// heapInUse returns the bytes of heap and stacks.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // pooled buffers are freed by the second collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
