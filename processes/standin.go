package processes

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// listeningPrefix begins the line, with the address, that walnutdev's stand-ins print
// when they are listening.
const listeningPrefix = "listening on "

// StandIn is a process of walnutdev that stands in for the platform or a target.
type StandIn struct {
	*Process
	// Address is the "ip:port" that it listens on.
	Address string
}

// anyPortAddress makes the operating system pick the port.
const anyPortAddress = "127.0.0.1:0"

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
	return startStandIn(b, "platform", "platform", "--listen", anyPortAddress)
}

// StartPlatformViews starts the platform's stand-in with a number of views, each of
// which listens on a separate address. It returns the addresses of the views.
func StartPlatformViews(b Binaries, views int) (*StandIn, []string, error) {
	p, err := startStandIn(b, "platform", "platform", "--listen", anyPortAddress, "--views", strconv.Itoa(views))
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
	// Listen is the address to listen on; a free port on loopback if empty.
	Listen string
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Step is the time in which every running request gets one token. Zero means the default.
	Step time.Duration
	// LoadLag is the interval at which the load report is refreshed. Zero means that every
	// report shows the current load.
	LoadLag time.Duration
	// Resumes allows a broken stream to be resumed.
	Resumes bool
	// PrefixEntries bounds the cache of prompt prefixes. Zero means the default.
	PrefixEntries int
	// PrefixGap is the probability, from 0 to 1, that a load report omits a cached prefix.
	PrefixGap float64
}

// StartEngine starts a stand-in model engine.
func StartEngine(b Binaries, name string, o EngineOptions) (*StandIn, error) {
	args := []string{"engine", "--name", name, "--listen", orAnyPort(o.Listen), "--slots", strconv.Itoa(o.Slots)}
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
	return startStandIn(b, name, "service", "--name", name, "--listen", orAnyPort(listen), "--slots", fmt.Sprint(slots))
}

func orAnyPort(listen string) string {
	if listen == "" {
		return anyPortAddress
	}
	return listen
}
