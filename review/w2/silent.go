package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// proxy stands between one router and the store.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

// link is a connection through a proxy.
type link struct {
	mu     sync.Mutex
	silent bool
	// feed reports that the last request on it waits for changes.
	feed bool
	done chan struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{done: make(chan struct{})}
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	go l.copy(server, client, true)
	l.copy(client, server, false)
	close(l.done)
}

// copy copies from one side to the other. What comes on a silent link is dropped.
func (l *link) copy(to, from net.Conn, isRequest bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.silent
		if isRequest && n > 0 {
			l.feed = bytes.Contains(buffer[:n], []byte("wait_ms=")) && !bytes.Contains(buffer[:n], []byte("wait_ms=0"))
		}
		l.mu.Unlock()
		if !silent && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !silent || isRequest {
				_ = to.Close()
			}
			if err != io.EOF || !silent {
				_ = from.Close()
			}
			return
		}
	}
}

// silence makes the open connections that wait for changes go silent for good.
func (p *proxy) silence() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		select {
		case <-l.done:
			continue
		default:
		}
		l.mu.Lock()
		if l.feed {
			l.silent = true
			count++
		}
		l.mu.Unlock()
	}
	return count
}

// caseSilent makes the open connections on which routers wait for changes of the store go silent for
// good; new ones work, and so do the other open ones. Later a key is taken away.
func caseSilent(w *world, trouble bool) error {
	const (
		configApply = 2000 * time.Millisecond // config_apply_ms
		maxStretch  = 5000 * time.Millisecond // max_stretch_ms
		contact     = 3000 * time.Millisecond // contact_ms
	)
	for n := range 3 {
		if _, err := w.startReplica(fmt.Sprintf("i-ops-%d", n), service, 6, w.plain(10*time.Millisecond)); err != nil {
			return err
		}
	}
	var proxies []*proxy
	for n := range 6 {
		storeAddress, err := w.store.Listen()
		if err != nil {
			return err
		}
		p, err := newProxy(storeAddress)
		if err != nil {
			return err
		}
		defer p.listener.Close()
		proxies = append(proxies, p)
		if _, err := w.startRouterAt(fmt.Sprintf("edge-%d", n), zones[n%len(zones)], p.address()); err != nil {
			return err
		}
	}
	if err := w.awaitReady(30 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	w.putConfig(nil) // a version that changes nothing: the routers begin to wait anew
	w.logf("the store has accepted version %d, which changes nothing", w.version)
	time.Sleep(800 * time.Millisecond)
	if trouble {
		for n, p := range proxies {
			w.logf("edge-%d: %d open connections to the store, which wait for changes, go silent", n, p.silence())
		}
	}
	time.Sleep(contact + 500*time.Millisecond)
	w.putConfig(func(c *wire.Config) { c.Tenants[0].Keys = []string{"another-key"} })
	acked := time.Now()
	w.logf("the store has accepted version %d, without the key", w.version)
	late, veryLate := 0, 0
	var last time.Duration
	for n := 0; time.Since(acked) < 18*time.Second; n++ {
		r := w.routers[n%len(w.routers)]
		id := fmt.Sprintf("%016x", 0xe000+n)
		a := w.once(r.front, "POST", pathUnsafe+"2f", id, 1000, nil, []byte("body"))
		if after := a.sentAt.Sub(acked); after > configApply && len(w.runsOf(id)) > 0 {
			late++
			last = after
			if after > configApply+maxStretch {
				veryLate++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if late > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests with the key that was taken away ran although they were sent over %.1f s after the acknowledgement, %d of them over %.1f s after it, the last one %.1f s after it",
			errBroken, late, configApply.Seconds(), veryLate, (configApply + maxStretch).Seconds(), last.Seconds())
	}
	return nil
}
