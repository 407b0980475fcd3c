package control

import (
	"maps"
	"time"

	"github.com/walnutcove/walnutcove/control/speed"
)

const (
	// loadReportInterval and loadReportTolerance limit what an entry reports: within the interval
	// after a report, a target's speed is reported again only if it differs by more than the
	// tolerance, a fraction of the speed reported. This bounds the bytes for busy targets.
	loadReportInterval  = 100 * time.Millisecond
	loadReportTolerance = 0.1
)

// loadReports holds, by target, the last load that this node reported to a scheduler.
type loadReports map[string]loadReport

type loadReport struct {
	percent int
	at      Instant
}

// add records that a target's load is to be reported. It returns false, and records nothing, if
// about the same was reported a short time ago.
func (l loadReports) add(now Instant, target string, percent int) bool {
	last, reported := l[target]
	difference := max(percent-last.percent, last.percent-percent)
	isSimilar := float64(difference) <= loadReportTolerance*float64(last.percent)
	if reported && isSimilar && now-last.at < loadReportInterval {
		return false
	}
	l[target] = loadReport{percent: percent, at: now}
	return true
}

// prune removes the targets that are not declared any more.
func (l loadReports) prune(next *topology) {
	maps.DeleteFunc(l, func(name string, _ loadReport) bool {
		_, declared := next.decl.Targets[name]
		return !declared
	})
}

// runLoad is what the target of a run reported about its load. It is reported once: with the
// first report of the run that is sent after the answer began.
type runLoad struct {
	// start is the start of the target that was declared when the request was dispatched.
	start   int64
	reports loadReports
	reading speed.Reading
	readAt  Instant
	// taken reports that the reading was reported or omitted from a report.
	taken bool
}

// setRunLoad records what the target of a run reported about its load, age ago. Loads without a
// speed are of no use to schedulers, and the load of another start than the present one neither.
func (m *Machine) setRunLoad(id GrantID, reading speed.Reading, age time.Duration) {
	run := m.entry.runs[id]
	if run == nil || run.load.taken || !reading.HasSpeed() {
		return
	}
	if m.topo.decl.Targets[run.grant.Target].Start != run.load.start {
		return
	}
	run.load.reading, run.load.readAt = reading, m.now-age
}

// take returns the load for a report that is sent now, and its age; zero values if there is none
// or if it is omitted.
func (l *runLoad) take(now Instant, target string) (reading speed.Reading, age time.Duration) {
	if l.taken || !l.reading.HasSpeed() {
		return speed.Reading{}, 0
	}
	l.taken = true
	if !l.reports.add(now, target, l.reading.Percent) {
		return speed.Reading{}, 0
	}
	return l.reading, now - l.readAt
}

// loadReported passes on what a report says about the load of a target in its current start.
func (m *Machine) loadReported(r Report) {
	if !r.Load.HasSpeed() {
		return
	}
	if t := m.reportedTarget(r); t != nil {
		m.counters.LoadReadings++
		m.targetReading(t, r.Load, r.LoadAge)
	}
}

// reportedTarget returns the target whose load a report holds; nil if it is not scheduled here or
// the load may be that of an earlier start. A grant that is known
// here names the start. For others, such as those of the previous scheduler, the load must have
// been read since the start is known here.
func (m *Machine) reportedTarget(r Report) *target {
	if g := m.sched.grants[r.Grant]; g != nil {
		if !g.target.isCurrent() {
			return nil
		}
		return g.target
	}
	t := m.localTarget(r.Target)
	if t == nil || t.shard.id != r.Shard || m.now-r.LoadAge < t.knownSince {
		return nil
	}
	return t
}
