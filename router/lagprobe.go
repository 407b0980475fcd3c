package router

import (
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// lagProbe measures how long input waits until this process reads it. Timer lateness
// alone does not show that: the runtime runs timers before the goroutines that wait for
// the processor, and a request waits in their queue at each of its reads. So the probe
// sends a byte through a pipe and measures the time until it is read.
type lagProbe struct {
	writer, reader *os.File
	// sentAt is when the byte in transit was sent, in nanoseconds since start; zero if
	// there is none.
	sentAt atomic.Int64
	// lastDelay is how long the last byte took, in nanoseconds.
	lastDelay atomic.Int64
	start     time.Time
}

// startLagProbe starts a probe. If no descriptors are left for its pipe, it measures nothing.
func startLagProbe(log *slog.Logger) *lagProbe {
	p := &lagProbe{start: time.Now()}
	var err error
	if p.reader, p.writer, err = os.Pipe(); err != nil {
		log.Error("router: Could not create a pipe to measure lag, using timers only.", "error", err)
		return p
	}
	go p.run()
	return p
}

// run reads the bytes until close is called.
func (p *lagProbe) run() {
	buffer := make([]byte, 1)
	for {
		if _, err := p.reader.Read(buffer); err != nil {
			return // closed
		}
		p.lastDelay.Store(int64(time.Since(p.start)) - p.sentAt.Load())
		p.sentAt.Store(0)
	}
}

// currentDelay returns the delay of the byte in transit so far. If there is none, it returns the
// delay of the last byte and sends the next one.
func (p *lagProbe) currentDelay() time.Duration {
	if p.writer == nil {
		return 0
	}
	now := int64(time.Since(p.start))
	if sent := p.sentAt.Load(); sent != 0 {
		return time.Duration(now - sent)
	}
	lastDelay := p.lastDelay.Load()
	p.sentAt.Store(now)
	if _, err := p.writer.Write([]byte{0}); err != nil {
		p.sentAt.Store(0) // closed: the router is stopping
	}
	return time.Duration(lastDelay)
}

func (p *lagProbe) close() {
	if p.writer == nil {
		return
	}
	_ = p.writer.Close()
	_ = p.reader.Close()
}
