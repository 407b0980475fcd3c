package processes

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// listeningPrefix is what walnutdev's stand-ins print once they listen.
const listeningPrefix = "listening on "

// StandIn is a running stand-in process.
type StandIn struct {
	*Process
	// Address is where it listens ("ip:port").
	Address string
}

// anyPort lets the system pick the port.
const anyPort = "127.0.0.1:0"

func startStandIn(b Binaries, name string, args ...string) (*StandIn, error) {
	p, err := Start(name, b.Walnutdev, args...)
	if err != nil {
		return nil, err
	}
	line, err := p.WaitLine(listeningPrefix)
	if err != nil {
		p.Kill()
		return nil, err
	}
	_, address, _ := strings.Cut(line, listeningPrefix)
	return &StandIn{Process: p, Address: strings.TrimSpace(address)}, nil
}

// StartPlatform starts the platform's stand-in.
func StartPlatform(b Binaries) (*StandIn, error) {
	return startStandIn(b, "platform", "platform", "--listen", anyPort)
}

// StartPlatformViews starts the platform's stand-in with a number of views,
// each on an address of its own. It returns the views' addresses.
func StartPlatformViews(b Binaries, views int) (*StandIn, []string, error) {
	p, err := startStandIn(b, "platform", "platform", "--listen", anyPort, "--views", strconv.Itoa(views))
	if err != nil {
		return nil, nil, err
	}
	var addresses []string
	for n := range views {
		prefix := fmt.Sprintf("view %d at ", n+1)
		line, err := p.WaitLine(prefix)
		if err != nil {
			p.Kill()
			return nil, nil, err
		}
		addresses = append(addresses, strings.TrimPrefix(line, prefix))
	}
	return p, addresses, nil
}

// EngineOptions configure a stand-in engine.
type EngineOptions struct {
	// Listen is the address; any port if empty.
	Listen  string
	Slots   int
	Step    time.Duration
	LoadLag time.Duration
	Resumes bool
	// PrefixEntries bounds the cache of prompt prefixes; zero for the default.
	PrefixEntries int
	// PrefixGap is the part of the cached prefixes left out of reports.
	PrefixGap float64
}

// StartEngine starts a stand-in model engine.
func StartEngine(b Binaries, name string, o EngineOptions) (*StandIn, error) {
	args := []string{"engine", "--name", name, "--listen", orAny(o.Listen), "--slots", strconv.Itoa(o.Slots)}
	if o.Step > 0 {
		args = append(args, "--step", o.Step.String())
	}
	if o.LoadLag > 0 {
		args = append(args, "--load-lag", o.LoadLag.String())
	}
	if o.Resumes {
		args = append(args, "--resumes")
	}
	if o.PrefixEntries > 0 {
		args = append(args, "--prefix-entries", strconv.Itoa(o.PrefixEntries))
	}
	if o.PrefixGap > 0 {
		args = append(args, "--prefix-gap", strconv.FormatFloat(o.PrefixGap, 'f', -1, 64))
	}
	return startStandIn(b, name, args...)
}

// StartService starts a stand-in plain service.
func StartService(b Binaries, name string, slots int, listen string) (*StandIn, error) {
	return startStandIn(b, name, "service", "--name", name, "--listen", orAny(listen), "--slots", fmt.Sprint(slots))
}

func orAny(listen string) string {
	if listen == "" {
		return anyPort
	}
	return listen
}
