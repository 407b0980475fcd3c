package peer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/processes"
)

// shortTimeouts shortens the time until a broken connection is detected.
func shortTimeouts(o *Options) {
	o.KeepAliveAfter = 100 * time.Millisecond
	o.WriteTimeout = 300 * time.Millisecond
	o.DialTimeout = time.Second
	o.RetryMax = 100 * time.Millisecond
}

// proxyTo starts a proxy that forwards connections to an address.
func proxyTo(t testing.TB, address string) *processes.Proxy {
	t.Helper()
	proxy, err := processes.NewProxy("to "+address, "127.0.0.1", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

// sendUntil sends a message repeatedly until the condition holds, since delivery is
// best effort.
func sendUntil(t testing.TB, what string, from node, to control.NodeID, condition func() bool) {
	t.Helper()
	eventually(t, what, func() bool {
		from.Send(to, heartbeat(1))
		return condition()
	})
}

// connectThroughProxies starts a and b, each of which dials the other through a
// proxy.
func connectThroughProxies(t testing.TB) (a, b node, proxyToB, proxyToA *processes.Proxy) {
	a, b = start(t, "a", 1, shortTimeouts), start(t, "b", 2, shortTimeouts)
	proxyToB, proxyToA = proxyTo(t, b.Address()), proxyTo(t, a.Address())
	a.SetPeers(map[control.NodeID]string{"b": proxyToB.Address()})
	b.SetPeers(map[control.NodeID]string{"a": proxyToA.Address()})
	sendUntil(t, "session", a, "b", func() bool { return len(b.received("a")) > 0 })
	return a, b, proxyToB, proxyToA
}

// isConnected reports whether the last state that the handler was notified of is
// connected.
func isConnected(n node) bool {
	changes := n.changes()
	return len(changes) > 0 && changes[len(changes)-1].connected
}

func TestLinkStalledInBothDirections(t *testing.T) {
	a, b, proxyToB, proxyToA := connectThroughProxies(t)
	for _, proxy := range []*processes.Proxy{proxyToB, proxyToA} {
		proxy.Hold(processes.Upstream)
		proxy.Hold(processes.Downstream)
	}
	eventually(t, "both to detect the stall", func() bool { return !isConnected(a) && !isConnected(b) })
	if a.counterValue(`walnut_peer_sessions_ended_total{reason="no-answer"}`) == 0 &&
		b.counterValue(`walnut_peer_sessions_ended_total{reason="no-answer"}`) == 0 {
		t.Error("no session ended because a ping was not answered")
	}
	sendUntil(t, "a dropped message", a, "b", func() bool {
		return a.counterValue(`walnut_peer_dropped_total{reason="unreachable"}`) > 0
	})
	for _, proxy := range []*processes.Proxy{proxyToB, proxyToA} {
		if err := proxy.Heal(); err != nil {
			t.Fatal(err)
		}
	}
	before := len(b.received("a"))
	sendUntil(t, "messages after the link is healed", a, "b", func() bool { return len(b.received("a")) > before })
	eventually(t, "both to be connected", func() bool { return isConnected(a) && isConnected(b) })
}

// TestLinkStalledInOneDirection stalls what a sends to b on the connections that
// a dialled. The session must move to a connection that b dialled.
func TestLinkStalledInOneDirection(t *testing.T) {
	a, b, proxyToB, _ := connectThroughProxies(t)
	proxyToB.Hold(processes.Upstream)
	before := len(a.received("b"))
	sendUntil(t, "b's messages on a new session", b, "a", func() bool {
		return b.counterValue(`walnut_peer_sessions_opened_total{role="dialled"}`) > 0 && len(a.received("b")) > before
	})
	before = len(b.received("a"))
	sendUntil(t, "a's messages on b's session", a, "b", func() bool { return len(b.received("a")) > before })
}

// TestCallOverStalledSession checks that a call in progress fails when the answer
// can't arrive.
func TestCallOverStalledSession(t *testing.T) {
	a, b := start(t, "a", 1, shortTimeouts), start(t, "b", 2, shortTimeouts)
	entered := make(chan struct{})
	b.answer = func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	proxyToB := proxyTo(t, b.Address())
	a.SetPeers(map[control.NodeID]string{"b": proxyToB.Address()})
	failed := make(chan error)
	go func() {
		_, err := a.Call(context.Background(), "b", "wait", nil)
		failed <- err
	}()
	select {
	case <-entered:
	case err := <-failed:
		t.Fatalf("call did not reach b: %v", err)
	}
	proxyToB.Hold(processes.Downstream)
	if err := <-failed; !errors.Is(err, ErrSessionEnded) {
		t.Errorf("call ended with %v", err)
	}
}

// TestQueueToUnresponsiveNodeIsBounded checks that the queue to a node that reads
// nothing is bounded.
func TestQueueToUnresponsiveNodeIsBounded(t *testing.T) {
	const limit = 100
	a := start(t, "a", 1, func(o *Options) {
		o.MaxQueuedMessages = limit
		o.DialTimeout = testTimeout
	})
	other := listenRaw(t)
	a.SetPeers(map[control.NodeID]string{"b": other.Addr().String()})
	for range 10 * limit {
		a.Send("b", heartbeat(1))
	}
	if got := a.counterValue(`walnut_peer_dropped_total{reason="queue-full"}`); got != 9*limit {
		t.Errorf("%d messages dropped", got)
	}
}

// TestHalfOpenSessionIsReplaced checks that a session that only one side still has
// does not prevent a new one: b lost the session that a dialled, and dials while a
// has not noticed the loss. a must keep its own session only until a ping on it
// fails.
func TestHalfOpenSessionIsReplaced(t *testing.T) {
	a := start(t, "a", 1, func(o *Options) {
		o.WriteTimeout = time.Second
		o.KeepAliveAfter = 10 * testTimeout // only the refusal may ping
	})
	other := listenRaw(t)
	a.SetPeers(map[control.NodeID]string{"b": other.Addr().String()})
	a.Send("b", heartbeat(1))
	first := other.accept(t)
	first.answerHello(t, "b", 2)
	eventually(t, "a's session", func() bool { return isConnected(a) })
	second := dialRaw(t, a.Address())
	if refused := second.hello(t, rawHello("b", 2, "a")).GetRefused().String(); refused != "REFUSED_DUPLICATE" {
		t.Fatalf("second connection: %s", refused)
	}
	eventually(t, "the second connection to be taken", func() bool {
		return dialRaw(t, a.Address()).hello(t, rawHello("b", 2, "a")).GetRefused() == 0
	})
}

func TestRestartedNode(t *testing.T) {
	a := start(t, "a", 1, shortTimeouts)
	before := start(t, "b", 2)
	setAllPeers(a, before)
	a.Send("b", heartbeat(1))
	eventually(t, "first message", func() bool { return len(before.received("a")) == 1 })
	before.Close()
	eventually(t, "a to be notified that b is down", func() bool { return !isConnected(a) })
	if got := a.counterValue(`walnut_peer_sessions_ended_total{reason="shutdown"}`); got != 1 {
		t.Errorf("%d sessions ended by shutdown", got)
	}
	after := start(t, "b", 3, func(o *Options) { o.ListenAddress = before.Address() })
	sendUntil(t, "message to the new process", a, "b", func() bool { return len(after.received("a")) > 0 })
}

func TestIdleSessionIsClosedWithoutNotice(t *testing.T) {
	idle := func(o *Options) { o.IdleTimeout = 200 * time.Millisecond }
	a, b := start(t, "a", 1, idle), start(t, "b", 2, idle)
	setAllPeers(a, b)
	a.Send("b", heartbeat(1))
	eventually(t, "message", func() bool { return len(b.received("a")) == 1 })
	eventually(t, "the end of the session", func() bool { return a.sessionCount()+b.sessionCount() == 0 })
	a.Send("b", heartbeat(2))
	eventually(t, "message on a new session", func() bool { return len(b.received("a")) == 2 })
	for _, n := range []node{a, b} {
		if changes := n.changes(); len(changes) != 1 || !changes[0].connected {
			t.Errorf("the handler of %s was notified of %v", n.self.Node, changes)
		}
	}
}

// TestOneSessionPerPairWhenAllDial checks that each pair of nodes ends up with one
// session when both sides dial at once.
func TestOneSessionPerPairWhenAllDial(t *testing.T) {
	const count = 9
	var nodes []node
	for i := range count {
		nodes = append(nodes, start(t, control.NodeID(fmt.Sprintf("node-%d", i)), control.Incarnation(i+1)))
	}
	setAllPeers(nodes...)
	for _, from := range nodes {
		for _, to := range nodes {
			if from != to {
				go from.Send(to.self.Node, heartbeat(1))
			}
		}
	}
	for _, from := range nodes {
		for _, to := range nodes {
			if from == to {
				continue
			}
			what := fmt.Sprintf("message from %s to %s", from.self.Node, to.self.Node)
			eventually(t, what, func() bool { return len(to.received(from.self.Node)) == 1 })
		}
	}
	for _, n := range nodes {
		eventually(t, "one session for each pair", func() bool { return n.sessionCount() == count-1 })
	}
}
