package fair

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/bench/measure"
	"github.com/walnutcove/walnutcove/bench/workload"
)

const header = "deployment  shape       policy       n  gap s/share (min..max)     of ideal  utilisation (min..max)     starved  first p50/p99      answered refused failed  control B/s msg/s core%  disturbed"

func writeHeader(out, csv io.Writer) {
	fmt.Fprintln(out, header)
	if csv != nil {
		fmt.Fprintln(csv, "deployment,shape,policy,routers,repeat,gap_slot_seconds,utilisation,starved_ms,first_p50_ms,first_p99_ms,answered,refused,failed,control_bytes_per_second,control_messages_per_second,control_core_percent,longest_run_ms,ideal_slot_seconds,disturbances")
	}
}

// writeRows writes one line for the repeats of a shape and policy: medians with
// the minimum and maximum, and sums of the counts.
func writeRows(out, csv io.Writer, rows []Row) {
	if len(rows) == 0 {
		return
	}
	first := rows[0]
	gap := spread(rows, func(r Row) float64 { return r.Gap })
	ideal := spread(rows, func(r Row) float64 { return r.Gap / r.IdealGap })
	utilisation := spread(rows, func(r Row) float64 { return 100 * r.Utilisation })
	starved := spread(rows, func(r Row) float64 { return r.Starved.Seconds() })
	p50 := spread(rows, func(r Row) float64 { return millis(r.FirstPartP50) })
	p99 := spread(rows, func(r Row) float64 { return millis(r.FirstPartP99) })
	bytes := spread(rows, func(r Row) float64 { return r.Control.BytesPerSecond })
	messages := spread(rows, func(r Row) float64 { return r.Control.MessagesPerSecond })
	core := spread(rows, func(r Row) float64 { return r.Control.CorePercent })
	fmt.Fprintf(out, "%-10s  %-10s  %-11s  %d  %6.3f (%.3f..%.3f)  %4.2f  %6.2f%% (%.2f..%.2f)  %5.2fs  %.0f/%.0f ms  %d %d %d  %.0f %.0f %.2f  %d\n",
		first.Deployment, first.Shape, first.Policy, len(rows),
		gap.median, gap.minimum, gap.maximum, ideal.median,
		utilisation.median, utilisation.minimum, utilisation.maximum,
		starved.maximum, p50.median, p99.median,
		total(rows, func(r Row) int { return r.Answered }),
		total(rows, func(r Row) int { return r.Refused }),
		total(rows, func(r Row) int { return r.Failed }),
		bytes.median, messages.median, core.median,
		total(rows, func(r Row) int { return r.Control.Disturbances }))
	writeCSV(csv, rows)
}

func writeCSV(csv io.Writer, rows []Row) {
	if csv == nil {
		return
	}
	for _, r := range rows {
		fmt.Fprintf(csv, "%s,%s,%s,%d,%d,%.5f,%.5f,%.1f,%.2f,%.2f,%d,%d,%d,%.0f,%.1f,%.3f,%.1f,%.3f,%d\n",
			r.Deployment, r.Shape, r.Policy, r.Routers, r.Repeat, r.Gap, r.Utilisation, millis(r.Starved),
			millis(r.FirstPartP50), millis(r.FirstPartP99), r.Answered, r.Refused, r.Failed,
			r.Control.BytesPerSecond, r.Control.MessagesPerSecond, r.Control.CorePercent, millis(r.LongestRun), r.IdealGap, r.Control.Disturbances)
	}
}

// spreadStats holds the median of the repeats with their minimum and maximum.
type spreadStats struct{ minimum, median, maximum float64 }

func spread(rows []Row, value func(Row) float64) spreadStats {
	values := make([]float64, 0, len(rows))
	for _, r := range rows {
		values = append(values, value(r))
	}
	slices.Sort(values)
	return spreadStats{values[0], values[len(values)/2], values[len(values)-1]}
}

func total(rows []Row, value func(Row) int) int {
	sum := 0
	for _, r := range rows {
		sum += value(r)
	}
	return sum
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// writeDetail writes the service that each workspace received, and the two
// workspaces with the largest gap.
func writeDetail(out io.Writer, record measure.Record, d workload.Deployment, s workload.Shape) {
	if out == nil {
		return
	}
	shares := make(map[string]float64)
	settling := record
	settling.From, settling.To = 0, record.From
	for n := range workload.WorkspaceCount {
		name := workload.WorkspaceName(n)
		shares[name] = s.Share(n)
		fmt.Fprintf(out, "  %s %s: share %.0f, service %.2f slot s after %.2f while settling, backlogged %.2f s, longest without service %.2f s\n",
			d.Name, name, s.Share(n), record.Service(name), settling.Service(name), record.BacklogTime(name).Seconds(),
			record.LongestWithoutService(name).Seconds())
	}
	gap := record.FairnessGap(shares)
	fmt.Fprintf(out, "  gap %.2f between %v from %v to %v\n", gap.SlotSeconds, gap.Workspaces, gap.From, gap.To)
}
