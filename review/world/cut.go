package world

import (
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/platform/wire"
)

// Cut is the way of one router to and from all others, through proxies that can be cut.
type Cut struct {
	name string

	mu      sync.Mutex
	isCut   bool
	proxies map[string]string // the proxy's address, by that of the router behind it
	conns   map[net.Conn]bool
	closers []io.Closer
}

// Isolate leads the sessions between the named router and all others through proxies. It has to be
// called before the routers start.
func (w *World) Isolate(name string) *Cut {
	c := &Cut{name: name, proxies: make(map[string]string), conns: make(map[net.Conn]bool)}
	w.OnClose(c.close)
	w.onStore = func(router, storeAddress string) {
		w.Store.SetView(storeAddress, func(row wire.Row) wire.Row {
			if row.Table != platform.TableRouters || row.Removed || row.Key == router || row.Key != name && router != name {
				return row
			}
			return c.throughProxy(row)
		})
	}
	return c
}

// throughProxy replaces the address in a router's row by that of a proxy.
func (c *Cut) throughProxy(row wire.Row) wire.Row {
	content := make(map[string]any)
	if json.Unmarshal(row.Data, &content) != nil {
		return row
	}
	address, _ := content["peer_address"].(string)
	content["peer_address"] = c.proxyOf(address)
	row.Data, _ = json.Marshal(content) // strings and numbers always encode
	return row
}

func (c *Cut) proxyOf(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.proxies[address]; known != "" {
		return known
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return address
	}
	c.proxies[address] = listener.Addr().String()
	c.closers = append(c.closers, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.forward(conn, address)
		}
	}()
	return c.proxies[address]
}

func (c *Cut) forward(conn net.Conn, address string) {
	defer conn.Close()
	if !c.add(conn) {
		return
	}
	other, err := net.Dial("tcp4", address)
	if err != nil {
		return
	}
	defer other.Close()
	if !c.add(other) {
		return
	}
	go func() {
		_, _ = io.Copy(other, conn)
		_ = other.Close()
	}()
	_, _ = io.Copy(conn, other)
}

// add adds a connection, and reports whether the way is open.
func (c *Cut) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = true
	return !c.isCut
}

// Set cuts the way, or opens it again.
func (c *Cut) Set(isCut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = isCut
	if isCut {
		for conn := range c.conns {
			_ = conn.Close()
		}
		clear(c.conns)
	}
}

func (c *Cut) close() {
	c.Set(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, closer := range c.closers {
		_ = closer.Close()
	}
}
