package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/processes"
)

// Versions measures how a configuration change reaches real routers.
type Versions struct {
	Routers int
	// Workspaces are the sizes of the configuration.
	Workspaces []int
	// Patches are made for each size, Every apart.
	Patches int
	Every   time.Duration
	CSV     io.Writer
}

// Run measures and writes a table.
func (o Versions) Run(ctx context.Context, out io.Writer) error {
	var rows []Row
	for _, workspaces := range o.Workspaces {
		made, err := o.measure(ctx, workspaces)
		if err != nil {
			return fmt.Errorf("%d workspaces: %w", workspaces, err)
		}
		rows = append(rows, made...)
	}
	writeTable(out, "versions at real routers", "workspaces", rows)
	if o.CSV != nil {
		fmt.Fprint(o.CSV, csvHeader)
		writeCSV(o.CSV, rows)
	}
	return nil
}

func (o Versions) measure(ctx context.Context, workspaces int) ([]Row, error) {
	f, err := startFleet(ctx, o.Routers, workspaces)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := sleep(ctx, fleetSettles); err != nil {
		return nil, err
	}
	idleFrom, err := readUsage(f)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, time.Duration(o.Patches)*o.Every); err != nil {
		return nil, err
	}
	idle, err := readUsage(f)
	if err != nil {
		return nil, err
	}
	rows, err := o.patch(ctx, f, workspaces)
	if err != nil {
		return nil, err
	}
	busy, err := readUsage(f)
	if err != nil {
		return nil, err
	}
	for _, v := range o.costs(idleFrom, idle, busy) {
		rows = append(rows, versionRow(workspaces, 0, v))
	}
	return rows, nil
}

func versionRow(workspaces, repeat int, v Value) Row {
	return Row{"versions", "workspaces", float64(workspaces), repeat, v}
}

// patch makes the patches and times each.
func (o Versions) patch(ctx context.Context, f *fleet.Fleet, workspaces int) ([]Row, error) {
	var rows []Row
	version := config.Version(1)
	for n := range o.Patches {
		started := time.Now()
		var err error
		if version, err = submit(f, version); err != nil {
			return nil, err
		}
		accepted := Value{"ms until accepted", millis(time.Since(started))}
		if err := waitVersion(f.Routers, version); err != nil {
			return nil, err
		}
		inForce := Value{"ms until in force everywhere", millis(time.Since(started))}
		rows = append(rows, versionRow(workspaces, n+1, accepted), versionRow(workspaces, n+1, inForce))
		if err := sleep(ctx, time.Until(started.Add(o.Every))); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// The metrics that a version is charged with.
var (
	processorUse = quantity{metrics: []string{"process_cpu_seconds_total"}, rate: true, scale: 1000}
	peerUse      = quantity{metrics: []string{"walnut_peer_wire_bytes_total"}, rate: true, scale: 1}
	platformUse  = quantity{
		metrics: []string{"walnut_platform_sent_bytes_total", "walnut_platform_received_bytes_total"}, rate: true, scale: 1,
	}
	residentUse = quantity{metrics: []string{"process_resident_memory_bytes"}, scale: 1e-6}
	heapUse     = quantity{metrics: []string{"go_memstats_heap_inuse_bytes"}, scale: 1e-6}
)

// costs compares the time of the patches with as long a time without.
func (o Versions) costs(idleFrom, idle, busy usage) []Value {
	each := func(q quantity) float64 {
		return (busy.mean(q, idle) - idle.mean(q, idleFrom)) * o.Every.Seconds()
	}
	return []Value{
		{"process ms/version", each(processorUse)},
		{"peer bytes/version", each(peerUse)},
		{"platform bytes/version", each(platformUse)},
		{"resident MB", busy.mean(residentUse, idle)},
		{"heap MB in use", busy.mean(heapUse, idle)},
	}
}

// mean is a quantity over the routers.
func (u usage) mean(q quantity, earlier usage) float64 {
	sum := 0.0
	for r := range u.routers {
		sum += q.of(u.routers[r], earlier.routers[r], u.at.Sub(earlier.at))
	}
	return sum / float64(len(u.routers))
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// submit changes a share through the first router and returns the version.
func submit(f *fleet.Fleet, on config.Version) (config.Version, error) {
	var accepted operator.PatchAccepted
	url := "http://" + f.Routers[0].Settings.Listen.Operators + operator.PathPatches
	err := fleet.PostJSON(url, patchShare(on, int(on)%workspacesEach), &accepted)
	return accepted.Version, err
}

// waitVersion waits until a version is in force at every router.
func waitVersion(routers []*processes.Router, version config.Version) error {
	for _, r := range routers {
		if _, err := r.WaitLine(fmt.Sprintf("version=%d patch", version)); err != nil {
			return err
		}
	}
	return nil
}
