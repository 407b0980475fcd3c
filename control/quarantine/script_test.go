package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// scriptFleet is a few routers with the same clock, and the notices that are in transit.
type scriptFleet struct {
	now     Instant
	routers map[string]*Tracker
	pending []sentNotice
}

type sentNotice struct {
	from   string
	sentAt Instant
	notice Notice
}

func newScriptFleet() *scriptFleet {
	return &scriptFleet{routers: map[string]*Tracker{"a": New(Options{}), "b": New(Options{})}}
}

// TestScripts runs the scripts of testdata/scripts. A command may name the time (at=)
// and the router (on=); see run for the commands.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		f := newScriptFleet()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return f.run(t, d)
		})
	})
}

func (f *scriptFleet) run(t *testing.T, d *datadriven.TestData) string {
	var name, target string
	d.MaybeScanArgs(t, "on", &name)
	d.MaybeScanArgs(t, "target", &target)
	f.advance(t, d)
	router := f.routers[name]
	switch d.Cmd {
	case "crashed":
		return f.report(name, router.Crashed(f.now, target, numbers(t, d, "running")))
	case "lost":
		return f.report(name, router.ConnectionsLost(f.now, target, numbers(t, d, "running")))
	case "confirm":
		return f.report(name, router.CrashConfirmed(f.now, target))
	case "refute":
		return f.report(name, router.StillRunning(f.now, f.since(t, d), target))
	case "completed":
		return f.report(name, router.Completed(f.now, numbers(t, d, "fingerprint")[0]))
	case "expire":
		return f.report(name, router.Expire(f.now))
	case "restart":
		f.routers[name] = New(Options{})
		return ""
	case "state":
		f.send(name, router.Evidence(f.now))
		return ""
	case "deliver":
		return f.deliver(len(f.pending) * 1000)
	case "deliver-one":
		return f.deliver(1)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// since returns the time from which a target has run; zero if it is not given.
func (f *scriptFleet) since(t *testing.T, d *datadriven.TestData) Instant {
	var text string
	d.MaybeScanArgs(t, "since", &text)
	if text == "" {
		return 0
	}
	since, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return since
}

func (f *scriptFleet) advance(t *testing.T, d *datadriven.TestData) {
	var at string
	d.MaybeScanArgs(t, "at", &at)
	if at == "" {
		return
	}
	now, err := time.ParseDuration(at)
	if err != nil || now < f.now {
		t.Fatalf("%s: bad time %q", d.Pos, at)
	}
	f.now = now
}

// deliver passes up to limit notices, and those that follow from them, to every other
// router, oldest first.
func (f *scriptFleet) deliver(limit int) string {
	var report strings.Builder
	for ; len(f.pending) > 0 && limit > 0; limit-- {
		next := f.pending[0]
		f.pending = f.pending[1:]
		next.notice.Age += f.now - next.sentAt
		for _, name := range []string{"a", "b"} {
			if name == next.from {
				continue
			}
			report.WriteString(f.report(name, f.routers[name].Merge(f.now, next.notice)))
		}
	}
	return report.String()
}

func (f *scriptFleet) send(from string, notices []Notice) {
	for _, notice := range notices {
		f.pending = append(f.pending, sentNotice{from: from, sentAt: f.now, notice: notice})
	}
}

// report queues the notices of an output and prints its changes.
func (f *scriptFleet) report(name string, out Output) string {
	f.send(name, out.Notices)
	var lines strings.Builder
	for _, change := range out.Changes {
		fmt.Fprintf(&lines, "%s: %d %s\n", name, change.Fingerprint, change.Verdict)
	}
	return lines.String()
}

func numbers(t *testing.T, d *datadriven.TestData, key string) []uint64 {
	i := slices.IndexFunc(d.CmdArgs, func(a datadriven.CmdArg) bool { return a.Key == key })
	if i < 0 {
		t.Fatalf("%s: no %s", d.Pos, key)
	}
	var list []uint64
	for _, text := range d.CmdArgs[i].Vals {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, n)
	}
	return list
}
