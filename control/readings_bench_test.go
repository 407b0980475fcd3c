package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control/speed"
)

// benchmarkPlacement measures a ticket, its grant, the first event and the end of the run at the
// scheduler of 1,000 targets, of which each reports with each response: a seventh of the time that
// it is slow.
func benchmarkPlacement(b *testing.B, pool string, load func(i int) speed.Reading) {
	d := tokenDeclarations()
	d.Pools["gen"].Tokens.PerSecond = 20_000_000
	d.Pools["work"] = config.Pool{Kind: config.KindService, OneQueue: true}
	d.Workspaces["a"] = config.Workspace{Share: 1, Pools: []string{"gen", "work"}}
	for i := range 1000 {
		d.Targets[fmt.Sprintf("t%04d", i)] = config.Target{Pool: pool, DataCentre: "d", Slots: 8}
	}
	m := New(Options{Node: "n", Incarnation: 1, DataCentre: "d", Seed: 1})
	now := Instant(0)
	m.Step(now, ConfigChanged{Snapshot: &config.Snapshot{Version: 1, Declarations: d}})
	now += time.Second
	var running []Dispatch
	begin := func(request int) {
		now += 100 * time.Microsecond
		running = append(running, dispatchesIn(m.Step(now, RequestArrived{
			Request: RequestID(request), Attempt: 1, Workspace: "a", Pool: pool, Deadline: now + time.Minute, Objective: now + time.Second,
			Work: Work{Parts: []PromptPart{{ID: uint64(request % 50), Tokens: 300}, {ID: uint64(1000 + request), Tokens: 500}}, OutputTokens: 20},
		}))...)
	}
	end := func(i int) {
		run := running[0]
		running = running[1:]
		m.Step(now, RunBegan{Grant: run.Grant, After: 50 * time.Millisecond, Load: load(i)})
		m.Step(now, RunEnded{Request: run.Request, Grant: run.Grant, Outcome: OutcomeAnswered, Service: 60 * time.Millisecond, Load: load(i)})
	}
	for i := range 4000 {
		begin(i + 1)
		if len(running) > 1000 {
			end(i)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		begin(5000 + i)
		end(i)
	}
}

// BenchmarkPlacement measures placements with and without readings.
func BenchmarkPlacement(b *testing.B) {
	none := func(int) speed.Reading { return speed.Reading{} }
	some := func(i int) speed.Reading {
		percent := 100
		if i%7 == 0 {
			percent = 250
		}
		return speed.Reading{Running: 3, Slots: 8, Percent: percent}
	}
	for _, pool := range []string{"gen", "work"} {
		b.Run(pool+"/without readings", func(b *testing.B) { benchmarkPlacement(b, pool, none) })
		b.Run(pool+"/with readings", func(b *testing.B) { benchmarkPlacement(b, pool, some) })
	}
}
