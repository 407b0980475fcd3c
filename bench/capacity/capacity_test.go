package capacity

import (
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

func TestGrowth(t *testing.T) {
	for want, amounts := range map[string][]float64{
		"constant":         {5, 5, 5},
		"levels off":       {1, 5, 5},
		"linear":           {1, 10, 100},
		"more than linear": {1, 100, 10000},
		"less than linear": {1, 3, 10},
		"falls":            {100, 10, 1},
	} {
		var rows []Row
		for i, size := range []float64{1, 10, 100} {
			rows = append(rows, Row{Size: size, Value: Value{"q", amounts[i]}})
		}
		if got := seriesOf(rows)[0].growth(); got != want {
			t.Errorf("%v: %s, want %s", amounts, got, want)
		}
	}
}

// TestSpread checks the median, minimum and maximum of the repeats.
func TestSpread(t *testing.T) {
	var rows []Row
	for _, amount := range []float64{9, 1, 4} {
		rows = append(rows, Row{Size: 3, Value: Value{"q", amount}})
	}
	want := point{size: 3, low: 1, median: 4, max: 9}
	if got := seriesOf(rows)[0].points[0]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestMeterJoinsWrites checks that messages of one flush count as one write.
func TestMeterJoinsWrites(t *testing.T) {
	heartbeat := control.Heartbeat{Incarnation: 1}
	separate, joined := newMeter("a"), newMeter("a")
	separate.flush("b", []control.Message{heartbeat})
	separate.flush("b", []control.Message{heartbeat})
	joined.flush("b", []control.Message{heartbeat, heartbeat})
	if saved := separate.total().bytes - joined.total().bytes; saved != bytesPerFlush {
		t.Errorf("one write for two saves %v bytes, want %d", saved, bytesPerFlush)
	}
	if joined.total("heartbeat").messages != 2 {
		t.Errorf("counted %+v", joined.byKind)
	}
}

// TestNodeServesItsLoad checks that requests that enter are granted, run and end,
// that is, that the mirror neither loses nor duplicates work.
func TestNodeServesItsLoad(t *testing.T) {
	load := nodeLoad{requestsPerSecond: 20, meanRunTime: 2 * time.Second, workspaces: 100}
	n := newNode(scaledSize(9).assign(), load, 1)
	n.advance(20 * time.Second)
	counters := n.machine.Counters()
	if n.arrived < 390 || n.arrived-n.dispatched > 1 {
		t.Errorf("%d arrived, %d dispatched", n.arrived, n.dispatched)
	}
	if running := n.machine.Status().Running; running < 30 || running > 50 {
		t.Errorf("%d running, want about 40", running)
	}
	if counters.GrantsReclaimed+counters.GrantsResent+counters.ReportsResent+counters.StaleMessages > 0 {
		t.Errorf("the mirror lost messages: %+v", counters)
	}
	if len(n.mirror.byGiven) != len(n.mirror.byReceived) || len(n.mirror.byGiven) > 50 {
		t.Errorf("the mirror holds %d and %d grants", len(n.mirror.byGiven), len(n.mirror.byReceived))
	}
}

// TestBacklogStaysConstant checks that the number of waiting requests stays as
// configured and that no slot is lost. With late binding a request has tickets at
// several shards, and grants that cross a cancellation must be returned.
func TestBacklogStaysConstant(t *testing.T) {
	size := scaledSize(30)
	size.slotsPerTarget = 8
	n := newNode(size.assign(), nodeLoad{meanRunTime: time.Second, workspaces: 100, keptWaiting: 30}, 1)
	n.advance(5 * time.Second)
	full := n.machine.Status().Running
	n.advance(15 * time.Second)
	status := n.machine.Status()
	if status.Waiting < 25 || status.Waiting > 30 {
		t.Errorf("%d waiting, want 30 or a few less", status.Waiting)
	}
	if status.Running < full*9/10 {
		t.Errorf("%d running after %d", status.Running, full)
	}
	if reclaimed := n.machine.Counters().GrantsReclaimed; reclaimed > 0 {
		t.Errorf("%d slots were lost for the time of a lease", reclaimed)
	}
}

// TestRepeatable checks that the same seed gives the same messages.
func TestRepeatable(t *testing.T) {
	run := func() traffic {
		n := newNode(scaledSize(30).assign(), nodeLoad{requestsPerSecond: 20, meanRunTime: time.Second, workspaces: 200}, 7)
		n.advance(5 * time.Second)
		return n.meter.total()
	}
	if a, b := run(), run(); a != b {
		t.Errorf("%+v and %+v", a, b)
	}
}
