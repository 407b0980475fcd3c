package proctest

import (
	"testing"

	"github.com/walnutcove/walnutcove/processes"
)

// proxy is a fault-injecting proxy between two processes.
type proxy struct {
	*processes.Proxy
	t testing.TB
}

// newProxy starts a proxy in front of upstream, on a port of ip.
func newProxy(t testing.TB, name, ip, upstream string) *proxy {
	t.Helper()
	started, err := processes.NewProxy(name, ip, upstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return &proxy{Proxy: started, t: t}
}

// heal accepts connections again, on the same address, and passes all data on.
func (p *proxy) heal() {
	p.t.Helper()
	if err := p.Heal(); err != nil {
		p.t.Fatal(err)
	}
}

// hold holds back all data in one direction; connections stay open.
func (p *proxy) hold(direction processes.Direction) { p.Hold(direction) }
