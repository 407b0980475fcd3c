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

// Direction is a direction of a way, seen from the side that connects.
type Direction int

// The directions.
const (
	Forth Direction = iota
	Back
)

// String implements fmt.Stringer.
func (d Direction) String() string {
	if d == Forth {
		return "forth"
	}
	return "back"
}

const (
	// wayBuffer is how many bytes a way reads at once.
	wayBuffer = 32 << 10
	// wayDialTimeout bounds the connection to the other end, on loopback.
	wayDialTimeout = time.Second
)

// Way is a proxied way to an address, on which faults can be brought about. It is
// safe for concurrent use.
type Way struct {
	name, upstream, address string

	mu sync.Mutex
	// listener is nil while the way is cut.
	listener net.Listener
	conns    map[*net.TCPConn]struct{}
	flows    [2]flow
	// changed is closed and replaced when flows change.
	changed chan struct{}
	closed  bool
}

// flow is what happens to the bytes of a direction.
type flow struct {
	held  bool
	delay time.Duration
}

// NewWay starts a proxy before upstream ("ip:port"), on a port of ip. Name is for
// reports.
func NewWay(name, ip, upstream string) (*Way, error) {
	w := &Way{
		name:     name,
		upstream: upstream,
		address:  net.JoinHostPort(ip, "0"),
		conns:    make(map[*net.TCPConn]struct{}),
		changed:  make(chan struct{}),
	}
	return w, w.listen()
}

// Name is the name for reports.
func (w *Way) Name() string { return w.name }

// Address is where the proxy listens.
func (w *Way) Address() string { return w.address }

// portFreed is how long a port may stay taken after its listener was closed. A process that
// is being started by another test holds the listener until it runs its own program.
const portFreed = 2 * time.Second

// listenAgain listens at an address that may have been listened at until just now.
func listenAgain(address string) (net.Listener, error) {
	for end := time.Now().Add(portFreed); ; time.Sleep(10 * time.Millisecond) {
		listener, err := net.Listen("tcp4", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
	}
}

// listen takes connections on the way's address.
func (w *Way) listen() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil || w.closed {
		return nil
	}
	listener, err := listenAgain(w.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", w.name, err)
	}
	w.listener = listener
	w.address = listener.Addr().String()
	go w.accept(listener)
	return nil
}

func (w *Way) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the way was cut
		}
		go w.connect(conn.(*net.TCPConn))
	}
}

// connect joins a connection to the other end.
func (w *Way) connect(near *net.TCPConn) {
	dialled, err := net.DialTimeout("tcp4", w.upstream, wayDialTimeout)
	if err != nil {
		_ = near.SetLinger(0) // as if it had been refused
		_ = near.Close()
		return
	}
	far := dialled.(*net.TCPConn)
	if !w.keep(near, far) {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { w.pump(Forth, near, far) })
	pumps.Go(func() { w.pump(Back, far, near) })
	pumps.Wait()
	w.drop(near, far)
}

// keep notes the two ends of a connection; false: the way was cut meanwhile.
func (w *Way) keep(ends ...*net.TCPConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range ends {
		if w.listener == nil {
			_ = end.Close()
			continue
		}
		w.conns[end] = struct{}{}
	}
	return w.listener != nil
}

func (w *Way) drop(ends ...*net.TCPConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range ends {
		_ = end.Close()
		delete(w.conns, end)
	}
}

// pump passes bytes on in one direction until the connection ends.
func (w *Way) pump(direction Direction, from, to *net.TCPConn) {
	buffer := make([]byte, wayBuffer)
	for {
		n, err := from.Read(buffer)
		w.pass(direction)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0) // what broke on one side breaks on the other
			_ = to.Close()
			return
		}
	}
}

// pass waits until bytes of a direction may go on.
func (w *Way) pass(direction Direction) {
	arrived := time.Now()
	for {
		w.mu.Lock()
		now, changed, closed := w.flows[direction], w.changed, w.closed
		w.mu.Unlock()
		left := now.delay - time.Since(arrived)
		switch {
		case closed || !now.held && left <= 0:
			return
		case now.held:
			<-changed
		default:
			select {
			case <-changed:
			case <-time.After(left):
			}
		}
	}
}

// setFlow changes what happens in a direction.
func (w *Way) setFlow(direction Direction, to flow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flows[direction] = to
	w.wake()
}

// wake needs w.mu.
func (w *Way) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// IsDisturbed says whether the way is held or delayed.
func (w *Way) IsDisturbed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flows != [2]flow{}
}

// Hold lets nothing through in one direction; connections stay open.
func (w *Way) Hold(direction Direction) { w.setFlow(direction, flow{held: true}) }

// Delay holds everything back for a while in one direction.
func (w *Way) Delay(direction Direction, by time.Duration) {
	w.setFlow(direction, flow{delay: by})
}

// Reset resets every connection; new ones are taken.
func (w *Way) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for end := range w.conns {
		_ = end.SetLinger(0)
		_ = end.Close()
	}
}

// Cut breaks every connection and refuses new ones.
func (w *Way) Cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil {
		_ = w.listener.Close()
		w.listener = nil
	}
	for end := range w.conns {
		_ = end.Close()
	}
}

// Heal takes connections again, on the same address, and ends every hold and delay.
func (w *Way) Heal() error {
	w.mu.Lock()
	w.flows = [2]flow{}
	w.wake()
	w.mu.Unlock()
	return w.listen()
}

// Close ends the proxy.
func (w *Way) Close() {
	w.Cut()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.wake()
}
