package router

import (
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// TestQueuedWorkIsLag: where many goroutines that wait for the processor take turns,
// timers are on time and what arrives is read late. The probe tells.
func TestQueuedWorkIsLag(t *testing.T) {
	const (
		workers = 300
		turn    = time.Millisecond
		least   = 50 * time.Millisecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	probe := startLagProbe(slog.New(slog.DiscardHandler))
	defer probe.close()
	time.Sleep(lagEvery)
	probe.late()
	time.Sleep(lagEvery)
	if late := probe.late(); late > least {
		t.Errorf("%s late with nothing to do", late)
	}
	var stop atomic.Bool
	defer stop.Store(true)
	for range workers {
		go work(&stop, turn)
	}
	var most time.Duration
	for range 20 {
		time.Sleep(lagEvery)
		most = max(most, probe.late())
	}
	t.Log("late at most:", most)
	if most < least {
		t.Errorf("%s late at most behind %d goroutines with turns of %s", most, workers, turn)
	}
}

// work uses the processor in turns, each for what arrived on a connection.
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
