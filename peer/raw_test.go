package peer

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
	"github.com/walnutcove/walnutcove/peer/wire"
)

// rawConn is a connection on which the test itself sends and reads the protocol's
// messages, in place of a Mesh.
type rawConn struct{ net.Conn }

type rawListener struct{ net.Listener }

func listenRaw(t testing.TB) rawListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return rawListener{listener}
}

func (l rawListener) accept(t testing.TB) rawConn {
	t.Helper()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return rawConn{conn}
}

func dialRaw(t testing.TB, address string) rawConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return rawConn{conn}
}

func rawHello(node string, incarnation uint64, expected string) *peerpb.Hello {
	return &peerpb.Hello{
		Protocol: protocolVersion, Node: node, Incarnation: incarnation, Dial: 1, Expected: expected,
	}
}

// hello sends a hello and returns the answer.
func (c rawConn) hello(t testing.TB, hello *peerpb.Hello) *peerpb.Hello {
	t.Helper()
	if err := writeHello(c, hello); err != nil {
		t.Fatal(err)
	}
	answer, err := readHello(c)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// answerHello reads a hello and accepts it.
func (c rawConn) answerHello(t testing.TB, node string, incarnation uint64) {
	t.Helper()
	if _, err := readHello(c); err != nil {
		t.Fatal(err)
	}
	if err := writeHello(c, rawHello(node, incarnation, "")); err != nil {
		t.Fatal(err)
	}
}

// control opens the stream for control messages.
func (c rawConn) control(t testing.TB) *yamux.Stream {
	t.Helper()
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	mux, err := yamux.Client(c, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mux.Close() })
	stream, err := mux.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// TestInvalidHellos checks that a connection with an invalid hello is closed and
// counted.
func TestInvalidHellos(t *testing.T) {
	a := start(t, "a", 1)
	good := rawHello("b", 2, "a")
	otherVersion := rawHello("b", 2, "a")
	otherVersion.Protocol++
	for _, test := range []struct {
		reason string
		hello  *peerpb.Hello
	}{
		{"protocol", otherVersion},
		{"hello", rawHello("", 2, "a")},
		{"hello", rawHello("b", 0, "a")},
		{"hello", rawHello(strings.Repeat("b", wire.MaxNameBytes+1), 2, "a")},
		{"hello", rawHello(strings.Repeat("b", 2*maxHelloBytes), 2, "a")},
		{"wrong-node", rawHello("b", 2, "c")},
		{"wrong-node", rawHello("a", 2, "a")},
	} {
		name := `walnut_peer_refusals_total{reason="` + test.reason + `"}`
		before := a.counterValue(name)
		if err := writeHello(dialRaw(t, a.Address()), test.hello); err != nil {
			t.Fatal(err)
		}
		eventually(t, name, func() bool { return a.counterValue(name) == before+1 })
	}
	if _, err := dialRaw(t, a.Address()).Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if refused := dialRaw(t, a.Address()).hello(t, good).GetRefused(); refused != 0 {
		t.Errorf("a valid hello after the invalid ones: %s", refused)
	}
}

// TestStaleIncarnation checks that the session of a new incarnation ends the old
// incarnation's session, and that the old incarnation is refused afterwards.
func TestStaleIncarnation(t *testing.T) {
	a := start(t, "a", 1)
	old := dialRaw(t, a.Address())
	old.hello(t, rawHello("b", 5, "a"))
	old.control(t)
	eventually(t, "old session", func() bool { return len(a.changes()) == 1 })
	restarted := dialRaw(t, a.Address())
	restarted.hello(t, rawHello("b", 6, "a"))
	restarted.control(t)
	eventually(t, "down and up", func() bool { return len(a.changes()) == 3 })
	if changes := a.changes(); changes[1].connected || !changes[2].connected {
		t.Errorf("the handler was notified of %v", changes)
	}
	if got := a.counterValue(`walnut_peer_sessions_ended_total{reason="restarted"}`); got != 1 {
		t.Errorf("%d sessions ended by a restart", got)
	}
	stale := dialRaw(t, a.Address()).hello(t, rawHello("b", 5, "a"))
	if stale.GetRefused() != peerpb.Refused_REFUSED_STALE {
		t.Errorf("old incarnation: %s", stale.GetRefused())
	}
	if a.sessionCount() != 1 {
		t.Errorf("%d sessions", a.sessionCount())
	}
}

// TestInvalidFrames checks that an invalid frame ends only the session that carried
// it.
func TestInvalidFrames(t *testing.T) {
	a, c := start(t, "a", 1), start(t, "c", 3)
	setAllPeers(a, c)
	c.Send("a", heartbeat(1))
	eventually(t, "c's message", func() bool { return len(a.received("c")) == 1 })
	undefined := &peerpb.Frame{Entries: []*peerpb.Entry{
		{Kind: &peerpb.Entry_Grant{Grant: &peerpb.Grant{Target: 77}}},
	}}
	var undefinedBytes strings.Builder
	if _, err := protodelim.MarshalTo(&undefinedBytes, undefined); err != nil {
		t.Fatal(err)
	}
	for incarnation, test := range []struct {
		reason string
		bytes  string
	}{
		{"garbage", undefinedBytes.String()},
		{"garbage", "\x05\xff\xff\xff\xff\xff"},
		{"garbage", strings.Repeat("\xff", 20)},
		{"oversize", "\x81\x80\x04" + strings.Repeat("x", 100)},
	} {
		conn := dialRaw(t, a.Address())
		conn.hello(t, rawHello("b", uint64(100+incarnation), "a"))
		name := `walnut_peer_sessions_ended_total{reason="` + test.reason + `"}`
		before := a.counterValue(name)
		_, _ = conn.control(t).Write([]byte(test.bytes)) // may fail because a ends the session
		eventually(t, name, func() bool { return a.counterValue(name) == before+1 })
	}
	notYamux := dialRaw(t, a.Address())
	notYamux.hello(t, rawHello("d", 9, "a"))
	if _, err := notYamux.Write([]byte(strings.Repeat("\xee", 100))); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of the session that is not yamux", func() bool {
		return a.counterValue(`walnut_peer_sessions_ended_total{reason="lost"}`) == 1
	})
	c.Send("a", heartbeat(2))
	eventually(t, "c's second message", func() bool { return len(a.received("c")) == 2 })
	if got := c.counterValue(`walnut_peer_sessions_opened_total{role="dialled"}`); got != 1 {
		t.Errorf("c dialled %d times", got)
	}
	if got := a.received("b"); len(got) != 0 {
		t.Errorf("delivered %v", got)
	}
}

// TestTooManyStreams checks that the session of a node that opens streams without
// limit is ended.
func TestTooManyStreams(t *testing.T) {
	a := start(t, "a", 1)
	conn := dialRaw(t, a.Address())
	conn.hello(t, rawHello("b", 5, "a"))
	mux := conn.control(t).Session()
	for {
		if _, err := mux.OpenStream(); err != nil {
			break
		}
	}
	eventually(t, "the end of the session", func() bool {
		return a.counterValue(`walnut_peer_sessions_ended_total{reason="streams"}`) == 1
	})
}

// TestWriteToUnresponsiveNodeTimesOut checks that a write ends the session to a node
// that stops reading.
func TestWriteToUnresponsiveNodeTimesOut(t *testing.T) {
	a := start(t, "a", 1, func(o *Options) {
		o.WriteTimeout = 200 * time.Millisecond
		o.KeepAliveAfter = testTimeout
	})
	other := listenRaw(t)
	a.SetPeers(map[control.NodeID]string{"b": other.Addr().String()})
	a.Send("b", heartbeat(1))
	other.accept(t).answerHello(t, "b", 2)
	sendUntil(t, "a to end the stalled session", a, "b", func() bool {
		for range 1000 {
			a.Send("b", heartbeat(1))
		}
		return a.counterValue(`walnut_peer_sessions_ended_total{reason="stalled"}`) == 1
	})
}

// TestConnectionWithoutHelloIsClosed checks that an accepted connection is closed if
// no hello arrives in time.
func TestConnectionWithoutHelloIsClosed(t *testing.T) {
	a := start(t, "a", 1, func(o *Options) { o.DialTimeout = 100 * time.Millisecond })
	conn := dialRaw(t, a.Address())
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("a sent something")
	}
	eventually(t, "the refusal", func() bool {
		return a.counterValue(`walnut_peer_refusals_total{reason="hello"}`) == 1
	})
}

// TestUnlistedNodeIsRemoved checks that no link is kept for a node that is not listed
// and has no session.
func TestUnlistedNodeIsRemoved(t *testing.T) {
	a := start(t, "a", 1, func(o *Options) { o.KeepAliveAfter = 50 * time.Millisecond })
	conn := dialRaw(t, a.Address())
	conn.hello(t, rawHello("b", 5, "a"))
	conn.control(t)
	eventually(t, "the session", func() bool { return isConnected(a) })
	conn.Close()
	eventually(t, "the node to be removed", func() bool { return a.findLink("b") == nil })
	if isConnected(a) {
		t.Errorf("the handler was notified of %v", a.changes())
	}
}
