package processes

import (
	"fmt"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy"
)

// Way is a proxied way to an address, on which faults can be brought about.
type Way struct {
	proxy *toxiproxy.Proxy
}

// The directions of a way, seen from the side that connects.
const (
	Forth = "upstream"
	Back  = "downstream"
)

// NewWay starts a proxy before upstream ("ip:port"), on a port of ip. Name is for
// reports.
func NewWay(name, ip, upstream string) (*Way, error) {
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = ip + ":0"
	proxy.Upstream = upstream
	if err := proxy.Start(); err != nil {
		return nil, fmt.Errorf("start the proxy %s: %w", name, err)
	}
	return &Way{proxy: proxy}, nil
}

// Name is the name for reports.
func (w *Way) Name() string { return w.proxy.Name }

// Address is where the proxy listens.
func (w *Way) Address() string { return w.proxy.Listen }

// Cut breaks every connection and refuses new ones.
func (w *Way) Cut() { w.proxy.Stop() }

// Heal takes connections again, on the same address, and ends every other fault.
func (w *Way) Heal() error {
	w.proxy.Toxics.ResetToxics()
	if w.proxy.Enabled {
		return nil
	}
	if err := w.proxy.Start(); err != nil {
		return fmt.Errorf("start the proxy %s again: %w", w.proxy.Name, err)
	}
	return nil
}

// IsDisturbed says whether the way is held or delayed.
func (w *Way) IsDisturbed() bool { return len(w.proxy.Toxics.GetToxicArray()) > 0 }

// Hold lets nothing through in one direction; connections stay open.
func (w *Way) Hold(direction string) error {
	return w.disturb(`{"type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`)
}

// Delay holds everything back for a while in one direction.
func (w *Way) Delay(direction string, by time.Duration) error {
	return w.disturb(fmt.Sprintf(`{"type":"latency","stream":%q,"attributes":{"latency":%d}}`, direction, by.Milliseconds()))
}

func (w *Way) disturb(toxic string) error {
	if _, err := w.proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		return fmt.Errorf("disturb %s: %w", w.proxy.Name, err)
	}
	return nil
}

// Close ends the proxy.
func (w *Way) Close() { w.proxy.Stop() }
