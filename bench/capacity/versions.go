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

// Versions measures how long a configuration change takes to reach real routers,
// and what it costs them.
type Versions struct {
	Routers int
	// Workspaces lists the sizes of the configuration.
	Workspaces []int
	// Patches is the number of patches at each size, and Every the time between two.
	Patches int
	Every   time.Duration
	CSV     io.Writer
}

// Run measures each size and writes a table.
func (o Versions) Run(ctx context.Context, out io.Writer) error {
	var rows []Row
	for _, workspaces := range o.Workspaces {
		measured, err := o.measure(ctx, workspaces)
		if err != nil {
			return fmt.Errorf("%d workspaces: %w", workspaces, err)
		}
		rows = append(rows, measured...)
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
	if err := sleep(ctx, fleetSettleTime); err != nil {
		return nil, err
	}
	start, err := readUsage(f)
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
	rows, err := o.submitPatches(ctx, f, workspaces)
	if err != nil {
		return nil, err
	}
	busy, err := readUsage(f)
	if err != nil {
		return nil, err
	}
	for _, v := range o.costs(start, idle, busy) {
		rows = append(rows, versionRow(workspaces, 0, v))
	}
	return rows, nil
}

func versionRow(workspaces, repeat int, v Value) Row {
	return Row{"versions", "workspaces", float64(workspaces), repeat, v}
}

// submitPatches submits the patches one after another and times each.
func (o Versions) submitPatches(ctx context.Context, f *fleet.Fleet, workspaces int) ([]Row, error) {
	var rows []Row
	version := config.Version(1)
	for n := range o.Patches {
		started := time.Now()
		var err error
		if version, err = submitShareChange(f, version); err != nil {
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

// The quantities that costs derives from the routers' metrics.
var (
	processorUse = quantity{metrics: []string{"process_cpu_seconds_total"}, rate: true, scale: 1000}
	peerUse      = quantity{metrics: []string{"walnut_peer_wire_bytes_total"}, rate: true, scale: 1}
	platformUse  = quantity{
		metrics: []string{"walnut_platform_sent_bytes_total", "walnut_platform_received_bytes_total"}, rate: true, scale: 1,
	}
	residentUse = quantity{metrics: []string{"process_resident_memory_bytes"}, scale: 1e-6}
	heapUse     = quantity{metrics: []string{"go_memstats_heap_inuse_bytes"}, scale: 1e-6}
)

// costs returns the cost of a version: the use during the patches minus the use
// during an idle time of the same length before them.
func (o Versions) costs(start, idle, busy usage) []Value {
	perVersion := func(q quantity) float64 {
		return (busy.mean(q, idle) - idle.mean(q, start)) * o.Every.Seconds()
	}
	return []Value{
		{"process ms/version", perVersion(processorUse)},
		{"peer bytes/version", perVersion(peerUse)},
		{"platform bytes/version", perVersion(platformUse)},
		{"resident MB", busy.mean(residentUse, idle)},
		{"heap MB in use", busy.mean(heapUse, idle)},
	}
}

// mean returns the mean of a quantity over the routers.
func (u usage) mean(q quantity, earlier usage) float64 {
	sum := 0.0
	for r := range u.routers {
		sum += q.amount(u.routers[r], earlier.routers[r], u.at.Sub(earlier.at))
	}
	return sum / float64(len(u.routers))
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// submitShareChange changes a workspace's share through the first router and
// returns the new version.
func submitShareChange(f *fleet.Fleet, base config.Version) (config.Version, error) {
	var accepted operator.PatchAccepted
	url := "http://" + f.Routers[0].Settings.Listen.Operators + operator.PathPatches
	err := fleet.PostJSON(url, patchShare(base, int(base)%workspacesPerRouter), &accepted)
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
