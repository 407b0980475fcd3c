package processes

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Direction is a direction of the traffic through a Proxy.
type Direction int

// Values of Direction.
const (
	// Upstream is the direction from the client to the proxied address.
	Upstream Direction = iota
	// Downstream is the direction from the proxied address to the client.
	Downstream
)

// String implements fmt.Stringer.
func (d Direction) String() string {
	if d == Upstream {
		return "forth"
	}
	return "back"
}

const (
	// forwardBufferBytes bounds the bytes that are forwarded at once.
	forwardBufferBytes = 32 << 10
	// upstreamDialTimeout bounds connecting to the proxied address, on loopback.
	upstreamDialTimeout = time.Second
)

// Proxy is a TCP proxy in front of an address. It can inject network faults. It is safe
// for concurrent use.
type Proxy struct {
	// upstream is the proxied address, and address the one that the proxy listens on.
	name, upstream, address string

	mu sync.Mutex
	// listener is nil while the proxy is cut.
	listener    net.Listener
	conns       map[*net.TCPConn]struct{}
	impairments [2]impairment
	// changed is closed and replaced when impairments change or the proxy is closed.
	changed chan struct{}
	closed  bool
	// resets makes Cut reset connections instead of closing them.
	resets bool
}

// impairment is the fault injected into one direction. The zero value is no fault.
type impairment struct {
	// held stops forwarding, and delay delays what is forwarded.
	held  bool
	delay time.Duration
}

// NewProxy starts a proxy in front of upstream ("ip:port"), on a free port of ip. The name
// is used in reports.
func NewProxy(name, ip, upstream string) (*Proxy, error) {
	p := &Proxy{
		name:     name,
		upstream: upstream,
		address:  net.JoinHostPort(ip, "0"),
		conns:    make(map[*net.TCPConn]struct{}),
		changed:  make(chan struct{}),
	}
	return p, p.listen()
}

// Name returns the name used in reports.
func (p *Proxy) Name() string { return p.name }

// Address returns the "ip:port" that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// portReleaseTimeout is how long a port may stay in use after its listener was closed: a
// child process that another test is starting inherits the listener and keeps it open
// until it executes its own program.
const portReleaseTimeout = 2 * time.Second

// listenWithRetry listens on an address, and retries while the address is still in use by
// a listener that was just closed.
func listenWithRetry(address string) (net.Listener, error) {
	for deadline := time.Now().Add(portReleaseTimeout); ; time.Sleep(10 * time.Millisecond) {
		listener, err := net.Listen("tcp4", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// listen starts accepting connections, unless the proxy already does or is closed.
func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := listenWithRetry(p.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", p.name, err)
	}
	p.listener = listener
	p.address = listener.Addr().String()
	go p.accept(listener)
	return nil
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the proxy was cut
		}
		go p.connect(conn.(*net.TCPConn))
	}
}

// connect dials upstream and forwards data between the client and upstream until both
// directions have ended.
func (p *Proxy) connect(client *net.TCPConn) {
	dialled, err := net.DialTimeout("tcp4", p.upstream, upstreamDialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // sends a reset, like a refused connection
		_ = client.Close()
		return
	}
	upstream := dialled.(*net.TCPConn)
	if !p.track(client, upstream) {
		return
	}
	var copiers sync.WaitGroup
	copiers.Go(func() { p.forward(Upstream, client, upstream) })
	copiers.Go(func() { p.forward(Downstream, upstream, client) })
	copiers.Wait()
	p.untrack(client, upstream)
}

// track registers the two ends of a proxied connection. It closes them and returns false
// if the proxy was cut in the meantime.
func (p *Proxy) track(ends ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, end := range ends {
		if p.listener == nil {
			_ = end.Close()
			continue
		}
		p.conns[end] = struct{}{}
	}
	return p.listener != nil
}

// untrack closes and unregisters the two ends of a proxied connection.
func (p *Proxy) untrack(ends ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, end := range ends {
		_ = end.Close()
		delete(p.conns, end)
	}
}

// forward copies data in one direction until the connection ends.
func (p *Proxy) forward(direction Direction, source, destination *net.TCPConn) {
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := source.Read(buffer)
		p.awaitForwardable(direction)
		if n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil {
				_ = source.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = destination.CloseWrite()
			return
		}
		if err != nil {
			_ = destination.SetLinger(0) // an error on one side is passed on to the other as a reset
			_ = destination.Close()
			return
		}
	}
}

// awaitForwardable waits until data that has arrived now may be forwarded in a direction.
func (p *Proxy) awaitForwardable(direction Direction) {
	arrived := time.Now()
	for {
		p.mu.Lock()
		current, changed, closed := p.impairments[direction], p.changed, p.closed
		p.mu.Unlock()
		delayLeft := current.delay - time.Since(arrived)
		switch {
		case closed || !current.held && delayLeft <= 0:
			return
		case current.held:
			<-changed
		default:
			select {
			case <-changed:
			case <-time.After(delayLeft):
			}
		}
	}
}

// setImpairment replaces the impairment of one direction.
func (p *Proxy) setImpairment(direction Direction, to impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairments[direction] = to
	p.notifyChanged()
}

// notifyChanged wakes the goroutines in awaitForwardable. The caller holds p.mu.
func (p *Proxy) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// IsImpaired reports whether either direction is held or delayed.
func (p *Proxy) IsImpaired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairments != [2]impairment{}
}

// Hold stops forwarding in one direction. Connections stay open. It ends a delay of that
// direction.
func (p *Proxy) Hold(direction Direction) { p.setImpairment(direction, impairment{held: true}) }

// Delay delays all data in one direction. It ends a hold of that direction.
func (p *Proxy) Delay(direction Direction, by time.Duration) {
	p.setImpairment(direction, impairment{delay: by})
}

// Reset resets all connections. New ones are still accepted.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for end := range p.conns {
		_ = end.SetLinger(0)
		_ = end.Close()
	}
}

// SetResets makes Cut and Close reset connections instead of closing them. It is for
// connections on which a close has a meaning, such as the end of an answer.
func (p *Proxy) SetResets(resets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets = resets
}

// Cut closes all connections and refuses new ones until Heal.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for end := range p.conns {
		if p.resets {
			_ = end.SetLinger(0)
		}
		_ = end.Close()
	}
}

// Heal ends all faults: it accepts connections again, on the same address, and removes
// every hold and delay.
func (p *Proxy) Heal() error {
	p.mu.Lock()
	p.impairments = [2]impairment{}
	p.notifyChanged()
	p.mu.Unlock()
	return p.listen()
}

// Close stops the proxy for good.
func (p *Proxy) Close() {
	p.Cut()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.notifyChanged()
}
