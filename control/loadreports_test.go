package control

import (
	"reflect"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control/speed"
)

var slowReading = speed.Reading{Running: 3, Slots: 8, Percent: 250}

// dispatchFrom dispatches a new request on a target under a grant of another node.
func (f *tokenFleet) dispatchFrom(t *testing.T, seq uint64, target string) Dispatch {
	t.Helper()
	id, _, _ := f.arrive("a", ownPart(seq))
	commands := f.step(MessageReceived{From: "other", Incarnation: 5, Message: f.grantFor(id, seq, target)})
	dispatch, _ := outcomeOf(commands, id)
	if dispatch == nil {
		t.Fatal("the grant is not used")
	}
	return *dispatch
}

// reportTo returns the only report that commands send to the other node.
func reportTo(t *testing.T, commands []Command) Report {
	t.Helper()
	reports := sentTo[Report](commands, "other")
	if len(reports) != 1 {
		t.Fatalf("reports %+v, want one", reports)
	}
	return reports[0]
}

// TestLoadIsReportedOnce guards against a load that is lost on its way to the scheduler, or that
// is reported again when it is out of date.
func TestLoadIsReportedOnce(t *testing.T) {
	const age = 20 * time.Millisecond
	f := newTokenFleet("e1", "e2")
	f.addLargerNode()
	began := f.dispatchFrom(t, 1, "e1")
	if r := reportTo(t, f.step(RunBegan{Grant: began.Grant, Load: slowReading, LoadAge: age})); r.Phase != PhaseBegan || r.Load != slowReading || r.LoadAge != age {
		t.Errorf("first report of a run that began: %+v", r)
	}
	f.now += 2 * loadReportInterval
	if r := reportTo(t, f.step(RunEnded{Request: began.Request, Grant: began.Grant, Load: slowReading, LoadAge: age + 2*loadReportInterval})); r.Load != (speed.Reading{}) || r.LoadAge != 0 {
		t.Errorf("second report of a run that began: %+v", r)
	}
	refused := f.dispatchFrom(t, 2, "e2")
	if r := reportTo(t, f.step(RunEnded{Request: refused.Request, Grant: refused.Grant, Outcome: OutcomeRefused, Load: slowReading, LoadAge: age})); r.Phase != PhaseEnded || r.Load != slowReading || r.LoadAge != age {
		t.Errorf("report of a refused run: %+v", r)
	}
	repeated := sentTo[Report](f.tickFor(2*resendEvery), "other")
	if len(repeated) == 0 {
		t.Fatal("the end of a run is not reported again")
	}
	for _, r := range repeated {
		if r.Load != (speed.Reading{}) || r.LoadAge != 0 {
			t.Errorf("repeated report %+v", r)
		}
	}
}

// TestSimilarLoadIsOmitted guards against bytes for what the scheduler knows already, and against
// a change of speed that it learns of too late.
func TestSimilarLoadIsOmitted(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration
		target   string
		percent  int
		reported bool
	}{
		{"the same", loadReportInterval / 2, "e1", 250, false},
		{"slightly slower", loadReportInterval / 2, "e1", 275, false},
		{"slightly faster", loadReportInterval / 2, "e1", 225, false},
		{"slower", loadReportInterval / 2, "e1", 276, true},
		{"faster", loadReportInterval / 2, "e1", 224, true},
		{"the same, later", loadReportInterval, "e1", 250, true},
		{"another target", loadReportInterval / 2, "e2", 250, true},
	} {
		f := newTokenFleet("e1", "e2")
		f.addLargerNode()
		first, second := f.dispatchFrom(t, 1, "e1"), f.dispatchFrom(t, 2, c.target)
		reportTo(t, f.step(RunBegan{Grant: first.Grant, Load: slowReading}))
		f.now += c.after
		reading := speed.Reading{Running: 5, Waiting: 1, Slots: 8, Percent: c.percent}
		got := reportTo(t, f.step(RunBegan{Grant: second.Grant, Load: reading}))
		if (got.Load == reading) != c.reported || !c.reported && got.Load != (speed.Reading{}) {
			t.Errorf("%s: reported %+v", c.name, got.Load)
		}
	}
}

// TestLoadWithoutSpeedChangesNothing guards against messages or fields that a pool whose targets
// do not report their speed would pay for.
func TestLoadWithoutSpeedChangesNothing(t *testing.T) {
	run := func(load speed.Reading) (all []Command) {
		f := newTokenFleet("e1")
		f.addLargerNode()
		d := f.dispatchFrom(t, 1, "e1")
		all = append(all, f.step(RunBegan{Grant: d.Grant, Load: load, LoadAge: time.Millisecond})...)
		all = append(all, f.step(RunEnded{Request: d.Request, Grant: d.Grant, Load: load, LoadAge: time.Second})...)
		return append(all, f.tickFor(2*time.Second)...)
	}
	if got, want := run(speed.Reading{Running: 3, Waiting: 9, Slots: 8}), run(speed.Reading{}); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// TestLoadOfEarlierStartIsNotReported guards against reporting, for a target that restarted
// during a run, the load of its previous start, and against keeping records of targets that are
// gone.
func TestLoadOfEarlierStartIsNotReported(t *testing.T) {
	f := newTokenFleet("e1", "e2")
	f.addLargerNode()
	f.relist("e1", 100)
	before, other := f.dispatchFrom(t, 1, "e1"), f.dispatchFrom(t, 2, "e2")
	f.relist("e1", 200)
	if r := reportTo(t, f.step(RunBegan{Grant: before.Grant, Load: slowReading})); r.Load != (speed.Reading{}) {
		t.Errorf("report %+v of a run on the previous start", r)
	}
	if r := reportTo(t, f.step(RunBegan{Grant: other.Grant, Load: slowReading})); r.Load != slowReading {
		t.Errorf("report %+v of a run on another target", r)
	}
	f.unlistTarget("e2")
	if n := len(f.machine.entry.loadReports); n != 0 {
		t.Errorf("%d records are left", n)
	}
}

// TestSchedulerAcceptsLoadOfPresentStart guards against a scheduler that applies the load of
// another start or target, and against one that loses the loads of runs that it did not grant,
// by which a new scheduler learns of its targets.
func TestSchedulerAcceptsLoadOfPresentStart(t *testing.T) {
	f := newTokenFleet("e1")
	f.relist("e1", 100)
	f.now = time.Minute
	_, previous, _ := f.arrive("a", ownPart(1))
	f.relist("e1", 200)
	_, granted, _ := f.arrive("a", ownPart(2))
	f.now += time.Second
	shard := ShardID{Pool: "gen", DataCentre: f.machine.sched.sortedShards()[0].id.DataCentre}
	unknown := Report{
		Grant: GrantID{Scheduler: "gone", Incarnation: 3, Seq: 1}, Ticket: TicketID{Node: "other", Incarnation: 5, Request: 1},
		Shard: shard, Target: "e1", Phase: PhaseEnded, Load: slowReading, LoadAge: 100 * time.Millisecond,
	}
	of := func(change func(r *Report)) Report {
		report := unknown
		change(&report)
		return report
	}
	for _, c := range []struct {
		name    string
		report  Report
		applied bool
	}{
		{"granted here", of(func(r *Report) { r.Grant, r.Phase = granted.Grant, PhaseBegan }), true},
		{"granted here, previous start", of(func(r *Report) { r.Grant, r.Phase = previous.Grant, PhaseBegan }), false},
		{"granted elsewhere", unknown, true},
		{"granted elsewhere, running", of(func(r *Report) { r.Phase = PhaseBegan }), true},
		{"granted elsewhere, read before the present start was known", of(func(r *Report) { r.LoadAge = 2 * time.Second }), false},
		{"unknown target", of(func(r *Report) { r.Target = "e9" }), false},
		{"unknown shard", of(func(r *Report) { r.Shard.Pool = "other" }), false},
		{"without speed", of(func(r *Report) { r.Load.Percent = 0 }), false},
	} {
		before := f.machine.counters.LoadReadings
		f.step(MessageReceived{From: "other", Incarnation: 5, Message: c.report})
		if applied := f.machine.counters.LoadReadings > before; applied != c.applied {
			t.Errorf("%s: applied %v", c.name, applied)
		}
	}
}
