package proctest

import (
	"testing"

	"github.com/walnutcove/walnutcove/processes"
)

// way is one proxied way between two processes.
type way struct {
	*processes.Proxy
	t testing.TB
}

// newWay starts a proxy before upstream, on a port of ip.
func newWay(t testing.TB, name, ip, upstream string) *way {
	t.Helper()
	started, err := processes.NewProxy(name, ip, upstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return &way{Proxy: started, t: t}
}

// heal takes connections again, on the same address, and ends every hold.
func (w *way) heal() {
	w.t.Helper()
	if err := w.Heal(); err != nil {
		w.t.Fatal(err)
	}
}

// hold lets nothing through in one direction; connections stay open.
func (w *way) hold(direction processes.Direction) { w.Hold(direction) }
