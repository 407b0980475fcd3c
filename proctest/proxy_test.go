package proctest

import (
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy"
)

// way is one proxied way between two processes.
type way struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// newWay starts a proxy before upstream, on a port of ip.
func newWay(t testing.TB, name, ip, upstream string) *way {
	t.Helper()
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = ip + ":0"
	proxy.Upstream = upstream
	if err := proxy.Start(); err != nil {
		t.Fatalf("start the proxy %s: %v", name, err)
	}
	t.Cleanup(proxy.Stop)
	return &way{t: t, proxy: proxy}
}

func (w *way) address() string { return w.proxy.Listen }

// cut breaks every connection and refuses new ones.
func (w *way) cut() { w.proxy.Stop() }

// heal takes connections again, on the same address, and ends every hold.
func (w *way) heal() {
	w.t.Helper()
	w.proxy.Toxics.ResetToxics()
	if w.proxy.Enabled {
		return
	}
	if err := w.proxy.Start(); err != nil {
		w.t.Fatalf("start the proxy %s again: %v", w.proxy.Name, err)
	}
}

// The directions of a way, seen from the side that connects.
const (
	forth = "upstream"
	back  = "downstream"
)

// hold lets nothing through in one direction; connections stay open.
func (w *way) hold(direction string) {
	w.t.Helper()
	toxic := `{"type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`
	if _, err := w.proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		w.t.Fatalf("hold %s of %s: %v", direction, w.proxy.Name, err)
	}
}
