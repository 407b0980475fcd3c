package managedtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/store"
)

// maxVersionDelay is how long an accepted version may take to be in force at a router.
const maxVersionDelay = 4 * time.Second

// TestVersionArrivesFromSlowPeers guards against a router that keeps an old version because it
// gives up each peer that takes over a second to answer, and begins anew at the next one.
func TestVersionArrivesFromSlowPeers(t *testing.T) {
	f := startFleet(t, 1, opsReplica("o1"))
	before := f.routers[0].InForce().Version
	announced := time.Now()
	for n := range 4 {
		f.startSlowPeer(fmt.Sprintf("slow-%d", n+1), before+1, 1500*time.Millisecond)
	}
	for f.routers[0].InForce().Version == before && time.Since(announced) < 2*maxVersionDelay {
		time.Sleep(5 * time.Millisecond)
	}
	if took := time.Since(announced); took > maxVersionDelay {
		t.Errorf("version %d in force %s after peers announced version %d", f.routers[0].InForce().Version, took, before+1)
	}
	var page bytes.Buffer
	metrics.WritePrometheus(&page, false)
	for _, name := range []string{
		"walnut_router_directory_fetch_seconds", "walnut_router_directory_fetches_in_progress",
		"walnut_directory_version_behind_seconds", "walnut_directory_version_delay_seconds",
	} {
		if !strings.Contains(page.String(), name) {
			t.Errorf("%s is not exported", name)
		}
	}
}

// slowPeer is a peer that has a newer version than the first router of a fleet and takes some
// time to send it.
type slowPeer struct {
	mesh    *peer.Mesh
	version config.Version
	delay   time.Duration
}

// startSlowPeer starts a peer that announces a version to the fleet's first router every 250 ms.
func (f *fleet) startSlowPeer(name string, version config.Version, delay time.Duration) {
	f.t.Helper()
	p := &slowPeer{version: version, delay: delay}
	const incarnation = 1
	var err error
	p.mesh, err = peer.New(peer.Options{
		Node: control.NodeID(name), Incarnation: incarnation, ListenAddress: "127.0.0.1:0",
		Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
	}, p)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = p.mesh.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	routers := platform.NewRouters(platform.NewStore(f.settings[0].Platform.Address, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err := routers.Announce(ctx, store.VM{Name: name, DataCentre: f.settings[0].Node.DataCentre, PeerAddress: p.mesh.Address()}); err != nil {
		f.t.Fatal(err)
	}
	vms, err := routers.List(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	addresses := make(map[control.NodeID]string)
	for _, vm := range vms {
		addresses[control.NodeID(vm.Name)] = vm.PeerAddress
	}
	p.mesh.SetPeers(addresses)
	stop := make(chan struct{})
	f.t.Cleanup(func() { close(stop) })
	go func() {
		for {
			p.mesh.Send(control.NodeID(f.settings[0].Node.Name), control.Heartbeat{Incarnation: incarnation, ConfigVersion: uint64(version)})
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
		}
	}()
}

// Received implements peer.Handler.
func (p *slowPeer) Received(control.NodeID, control.Incarnation, []control.Message) {}

// StateChanged implements peer.Handler.
func (p *slowPeer) StateChanged(control.NodeID, bool) {}

// HandleCall implements peer.Handler. It answers with the caller's own directory as of the newer
// version, after the delay.
func (p *slowPeer) HandleCall(ctx context.Context, from control.NodeID, method string, _ []byte) ([]byte, error) {
	select {
	case <-time.After(p.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	current, err := p.mesh.Call(ctx, from, method, []byte("{}"))
	if err != nil {
		return nil, err
	}
	var directory map[string]any
	if err := json.Unmarshal(current, &directory); err != nil {
		return nil, err
	}
	directory["version"] = p.version
	return json.Marshal(directory)
}
