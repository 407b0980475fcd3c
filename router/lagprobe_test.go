package router

import (
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// TestLagProbeMeasuresQueuedWork checks that the probe measures lag when many goroutines share
// the processor: timers are then on time, but input is read late.
func TestLagProbeMeasuresQueuedWork(t *testing.T) {
	const (
		workers = 300
		turn    = time.Millisecond
		minLag  = 50 * time.Millisecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	probe := startLagProbe(slog.New(slog.DiscardHandler))
	defer probe.close()
	time.Sleep(lagInterval)
	probe.currentDelay()
	time.Sleep(lagInterval)
	if late := probe.currentDelay(); late > minLag {
		t.Errorf("%s late on an idle process", late)
	}
	var stop atomic.Bool
	defer stop.Store(true)
	for range workers {
		go work(&stop, turn)
	}
	var maxLag time.Duration
	for range 20 {
		time.Sleep(lagInterval)
		maxLag = max(maxLag, probe.currentDelay())
	}
	t.Log("maximum lag:", maxLag)
	if maxLag < minLag {
		t.Errorf("%s late at most behind %d goroutines with turns of %s", maxLag, workers, turn)
	}
}

// work uses the processor for one turn for each byte that arrives on a connection.
func work(stop *atomic.Bool, turn time.Duration) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		buffer := make([]byte, 1)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
			for began := time.Now(); time.Since(began) < turn; {
			}
		}
	}()
	for !stop.Load() {
		_, _ = near.Write([]byte{0}) // ends with stop
	}
}
