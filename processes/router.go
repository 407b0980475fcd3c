package processes

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"

	"github.com/pelletier/go-toml/v2"

	"github.com/walnutcove/walnutcove/settings"
)

// Router is a walnutd process.
type Router struct {
	*Process
	// Settings are the settings that it was started with, including the listen
	// addresses that were picked.
	Settings settings.Settings
	binaries Binaries
	dir      string
}

// StartRouter writes the settings to a file in dir and starts a walnutd with it. Free
// addresses are picked for listen addresses that are empty. It returns when walnutd is
// listening.
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

// Restart starts a new process with the same settings. The previous one must have ended.
func (r *Router) Restart() error { return r.start() }

// Reload writes the settings, which may have changed, and sends SIGHUP to make the process read
// them.
func (r *Router) Reload() error {
	if _, err := r.writeSettings(); err != nil {
		return err
	}
	return r.Signal(syscall.SIGHUP)
}

// writeSettings writes the settings to a file and returns its path.
func (r *Router) writeSettings() (string, error) {
	text, err := toml.Marshal(r.Settings)
	if err != nil {
		return "", fmt.Errorf("write the settings of %s: %w", r.Settings.Node.Name, err)
	}
	path := filepath.Join(r.dir, r.Settings.Node.Name+".toml")
	return path, os.WriteFile(path, text, 0o600)
}

func (r *Router) start() error {
	path, err := r.writeSettings()
	if err != nil {
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

// WaitReady waits until a configuration version is in force on the router.
func (r *Router) WaitReady() error {
	_, err := r.WaitLine("config: Version in force.")
	return err
}

// fleetCount counts the calls of NewLoopbackIPs in this process.
var fleetCount atomic.Uint32

// maxFleets is the number of different IP pairs that NewLoopbackIPs returns in one
// process before it repeats them.
const maxFleets = 120

// NewLoopbackIPs returns two loopback IPs for the exclusive use of one fleet, one for
// its routers and one for its targets and proxies. With IPs of its own, nothing else
// takes the port of a process or proxy that is down for a while.
func NewLoopbackIPs() (routers, others string) {
	pid := os.Getpid()
	n := 1 + 2*(fleetCount.Add(1)%maxFleets)
	prefix := fmt.Sprintf("127.%d.%d.", 16+pid/256%200, pid%256)
	return fmt.Sprint(prefix, n), fmt.Sprint(prefix, n+1)
}

// FreeAddress returns an address on 127.0.0.1 that nothing listens on now.
func FreeAddress() (string, error) {
	addresses, err := FreeAddresses("127.0.0.1", 1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

// FreeAddresses returns different addresses on a loopback IP that nothing listens on
// now. On an IP from NewLoopbackIPs a port stays free while its process is down: the
// operating system binds outgoing connections to ports of 127.0.0.1.
func FreeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close() // when the function returns, so that no port is picked twice
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
