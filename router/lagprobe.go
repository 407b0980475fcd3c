package router

import (
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// lagProbe measures how late this process takes in what arrives. A late timer alone
// does not tell: the runtime runs timers before the goroutines that wait for the
// processor, and a request waits in their queue at each of its reads. So a byte is
// sent through a pipe, and the time until it is read counts.
type lagProbe struct {
	in, out *os.File
	// sentAt is when the byte that is under way was sent, in nanoseconds since start;
	// zero: none is.
	sentAt atomic.Int64
	// took is how long the last one took, in nanoseconds.
	took  atomic.Int64
	start time.Time
}

// startLagProbe starts a probe. Without a descriptor left for it, it measures nothing.
func startLagProbe(log *slog.Logger) *lagProbe {
	p := &lagProbe{start: time.Now()}
	var err error
	if p.out, p.in, err = os.Pipe(); err != nil {
		log.Error("router: No pipe to measure lag with, timers alone tell.", "error", err)
		return p
	}
	go p.run()
	return p
}

// run reads until close.
func (p *lagProbe) run() {
	buffer := make([]byte, 1)
	for {
		if _, err := p.out.Read(buffer); err != nil {
			return // closed
		}
		p.took.Store(int64(time.Since(p.start)) - p.sentAt.Load())
		p.sentAt.Store(0)
	}
}

// late returns how late the last byte was, or the present one if that is later
// already, and sends the next one if none is under way.
func (p *lagProbe) late() time.Duration {
	if p.in == nil {
		return 0
	}
	now := int64(time.Since(p.start))
	if sent := p.sentAt.Load(); sent != 0 {
		return time.Duration(now - sent)
	}
	took := p.took.Load()
	p.sentAt.Store(now)
	if _, err := p.in.Write([]byte{0}); err != nil {
		p.sentAt.Store(0) // closed: the router ends
	}
	return time.Duration(took)
}

func (p *lagProbe) close() {
	if p.in == nil {
		return
	}
	_ = p.in.Close()
	_ = p.out.Close()
}
