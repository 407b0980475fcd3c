package processes

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/pelletier/go-toml/v2"

	"github.com/walnutcove/walnutcove/settings"
)

// Router is a running walnutd.
type Router struct {
	*Process
	// Settings are what it was started with, with addresses filled in.
	Settings settings.Settings
	binaries Binaries
	dir      string
}

// StartRouter writes the settings into dir and starts a walnutd with them.
// Listen addresses left empty are picked. It returns once walnutd listens.
func StartRouter(b Binaries, dir string, s settings.Settings) (*Router, error) {
	for _, address := range []*string{&s.Listen.Callers, &s.Listen.Operators, &s.Listen.Peers} {
		if *address != "" {
			continue
		}
		picked, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = picked
	}
	r := &Router{Settings: s, binaries: b, dir: dir}
	return r, r.start()
}

// Restart starts the router again, after its process has ended, with the same
// settings and empty memory.
func (r *Router) Restart() error { return r.start() }

func (r *Router) start() error {
	text, err := toml.Marshal(r.Settings)
	if err != nil {
		return fmt.Errorf("write the settings of %s: %w", r.Settings.Node.Name, err)
	}
	path := filepath.Join(r.dir, r.Settings.Node.Name+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	r.Process, err = Start(r.Settings.Node.Name, r.binaries.Walnutd, "run", "-c", path)
	if err != nil {
		return err
	}
	if _, err := r.WaitLine("router: Started."); err != nil {
		r.Kill()
		return err
	}
	return nil
}

// WaitReady waits until a configuration version is in force.
func (r *Router) WaitReady() error {
	_, err := r.WaitLine("config: Version in force.")
	return err
}

// fleets numbers the pairs of IPs of this process.
var fleets atomic.Uint32

// mostFleets bounds the pairs that NewIPs tells apart in one process.
const mostFleets = 120

// NewIPs returns two loopback IPs for one fleet alone, so that nothing takes the
// port of a process or proxy that is down for a while: one for its routers, and
// one for its targets and proxies.
func NewIPs() (routers, others string) {
	pid := os.Getpid()
	n := 1 + 2*(fleets.Add(1)%mostFleets)
	prefix := fmt.Sprintf("127.%d.%d.", 16+pid/256%200, pid%256)
	return fmt.Sprint(prefix, n), fmt.Sprint(prefix, n+1)
}

// FreeAddress picks a loopback address that nothing listens on now.
func FreeAddress() (string, error) {
	addresses, err := FreeAddresses("127.0.0.1", 1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

// FreeAddresses picks ports of a loopback IP, all different, that nothing
// listens on now. On an IP of its own a port stays free while its process is
// down: the system takes the ports of outgoing connections from 127.0.0.1.
func FreeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close() // after all are picked, so that none comes twice
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
