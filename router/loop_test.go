package router

import (
	"log/slog"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
)

// noopShell ignores all commands.
type noopShell struct{ shell }

func (noopShell) send(control.NodeID, control.Message) {}
func (noopShell) watchTargets([]string)                {}
func (noopShell) membersChanged([]control.NodeID)      {}

// TestCancellationDoesNotOvertakeItsArrival posts arrivals and cancellations
// before the control goroutine runs: no request may be left waiting or granted.
func TestCancellationDoesNotOvertakeItsArrival(t *testing.T) {
	const requests = 200
	l := newLoop(control.New(control.Options{Node: "vm-1", Incarnation: 1, DataCentre: "ikeja"}), noopShell{}, slog.New(slog.DiscardHandler))
	l.post(control.ConfigChanged{Snapshot: &config.Snapshot{Version: 1, Declarations: config.Declarations{
		Workspaces: map[string]config.Workspace{"bakery": {Share: 1, Pools: []string{"drafting"}, MaxQueued: requests}},
		Pools:      map[string]config.Pool{"drafting": {Kind: config.KindEngine}},
		Targets:    map[string]config.Target{"engine-1": {Pool: "drafting", DataCentre: "ikeja", Slots: 1}},
	}}})
	for n := range requests {
		request := control.RequestID(n + 1)
		arrival := control.RequestArrived{Request: request, Attempt: 1, Workspace: "bakery", Pool: "drafting", Deadline: time.Hour}
		l.postWith(arrival, &waiter{attempt: 1, answer: make(chan grantAnswer, 1)})
		l.post(control.RequestCancelled{Request: request, Attempt: 1})
	}
	stop := make(chan struct{})
	go l.run(stop)
	defer func() { close(stop); <-l.done }()
	for {
		var left, arrived, pending int
		l.query(func(m *control.Machine) {
			pending = len(l.inbox)
			status := m.Status()
			left = status.Waiting + status.Running
			arrived = int(m.Counters().RequestsArrived)
		})
		if pending > 0 || arrived < requests {
			time.Sleep(time.Millisecond)
			continue
		}
		if left != 0 {
			t.Errorf("%d requests are left after all were cancelled", left)
		}
		return
	}
}
