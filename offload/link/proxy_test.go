package link

import (
	"net"
	"sync"
	"testing"
)

// cutProxy forwards bytes between the two ends of a link. Each direction can be held: bytes are
// no longer read, so that the sender's buffers fill up, until the proxy is closed.
type cutProxy struct {
	sourceEnd, executorEnd net.Conn
	mu                     sync.Mutex
	held                   map[direction]chan struct{}
}

type direction int

const (
	toExecutor direction = iota
	toSource
)

func newCutProxy(t testing.TB) *cutProxy {
	t.Helper()
	p := &cutProxy{held: make(map[direction]chan struct{})}
	var source, executor net.Conn
	p.sourceEnd, source = tcpPair(t)
	p.executorEnd, executor = tcpPair(t)
	var copiers sync.WaitGroup
	copiers.Go(func() { p.forward(toExecutor, source, executor) })
	copiers.Go(func() { p.forward(toSource, executor, source) })
	t.Cleanup(func() {
		p.release()
		source.Close()
		executor.Close()
		copiers.Wait()
	})
	return p
}

// tcpPair returns the two ends of a connection over loopback.
func tcpPair(t testing.TB) (dialled, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if dialled, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if accepted, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return dialled, accepted
}

// hold stops a direction.
func (p *cutProxy) hold(d direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held[d] == nil {
		p.held[d] = make(chan struct{})
	}
}

// release lets the held directions go on.
func (p *cutProxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, held := range p.held {
		close(held)
	}
	clear(p.held)
}

func (p *cutProxy) forward(d direction, from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		held := p.held[d]
		p.mu.Unlock()
		if held != nil {
			<-held
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
