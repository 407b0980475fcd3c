package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// withEcho offers a channel that echoes what it receives.
func withEcho(o *Options) {
	o.Channels = map[string]ServeChannel{
		"echo": func(_ control.NodeID, _ control.Incarnation, _ string, conn net.Conn) {
			defer conn.Close()
			_, _ = io.Copy(conn, conn) // ends with the connection
		},
	}
}

// roundTrip checks that a channel echoes.
func roundTrip(t testing.TB, conn net.Conn) {
	t.Helper()
	sent := strings.Repeat("0123456789", 20000)
	go func() { _, _ = io.WriteString(conn, sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != sent {
		t.Fatalf("echo of %d bytes: %v", len(sent), err)
	}
}

func openChannel(t testing.TB, from node, to control.NodeID, name string) net.Conn {
	t.Helper()
	conn, err := from.OpenChannel(context.Background(), to, name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestChannelIsApartFromSession guards against channels that replace, or are taken for, the session
// of a pair, and against their bytes being counted as control traffic.
func TestChannelIsApartFromSession(t *testing.T) {
	keys := makeKeys(t, "a", "b")
	a := start(t, "a", 1, withKeys(loadKeys(t, keys, "a")))
	b := start(t, "b", 2, withKeys(loadKeys(t, keys, "b")), withEcho)
	setAllPeers(a, b)
	b.Send("a", heartbeat(1))
	eventually(t, "session", func() bool { return len(a.received("b")) == 1 })
	before := a.counterValue(`walnut_peer_wire_bytes_total{direction="out"}`)
	first, second := openChannel(t, a, "b", "echo"), openChannel(t, a, "b", "echo")
	roundTrip(t, first)
	roundTrip(t, second)
	if after := a.counterValue(`walnut_peer_wire_bytes_total{direction="out"}`); after != before {
		t.Errorf("%d bytes counted as control traffic", after-before)
	}
	if a.sessionCount() != 1 || len(a.changes()) != 1 || b.channelCount() != 2 {
		t.Errorf("%d sessions, changes %v, %d channels", a.sessionCount(), a.changes(), b.channelCount())
	}
	first.Close()
	eventually(t, "the end of the channel at b", func() bool { return b.channelCount() == 1 })
	roundTrip(t, second)
}

// TestChannelThatIsNotOffered guards against an open that hangs or seems to succeed.
func TestChannelThatIsNotOffered(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 2)
	setAllPeers(a, b)
	if _, err := a.OpenChannel(context.Background(), "b", "echo"); !errors.Is(err, ErrNoChannel) {
		t.Errorf("error %v", err)
	}
	if _, err := a.OpenChannel(context.Background(), "c", "echo"); !errors.Is(err, ErrUnreachable) {
		t.Errorf("unknown node: error %v", err)
	}
}

// TestChannelToBuildWithoutChannels guards against an open that such a build takes for a session:
// it checks the protocol version, which must differ, and refuses.
func TestChannelToBuildWithoutChannels(t *testing.T) {
	a := start(t, "a", 1)
	other := listenRaw(t)
	a.SetPeers(map[control.NodeID]string{"b": other.Addr().String()})
	failed := make(chan error, 1)
	go func() {
		_, err := a.OpenChannel(context.Background(), "b", "echo")
		failed <- err
	}()
	conn := other.accept(t)
	hello, err := readHello(conn)
	if err != nil || hello.GetProtocol() == protocolVersion {
		t.Fatalf("hello %v, error %v", hello, err)
	}
	refusal := rawHello("b", 2, "")
	refusal.Refused = peerpb.Refused_REFUSED_PROTOCOL
	if err := writeHello(conn, refusal); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !errors.Is(err, ErrNoChannel) {
		t.Errorf("error %v", err)
	}
	if len(a.changes()) != 0 {
		t.Errorf("the handler was notified of %v", a.changes())
	}
}

// TestChannelOfStaleIncarnation guards against a process that was replaced and still opens or
// uses channels.
func TestChannelOfStaleIncarnation(t *testing.T) {
	a := start(t, "a", 1, withEcho)
	b := start(t, "b", 5)
	b.SetPeers(map[control.NodeID]string{"a": a.Address()})
	b.Send("a", heartbeat(1))
	eventually(t, "old session", func() bool { return len(a.received("b")) == 1 })
	conn := openChannel(t, b, "a", "echo")
	roundTrip(t, conn)
	restarted := dialRaw(t, a.Address())
	restarted.hello(t, rawHello("b", 6, "a"))
	eventually(t, "the end of the old channel", func() bool { return a.channelCount() == 0 })
	_, err := b.OpenChannel(context.Background(), "a", "echo")
	if err == nil || !strings.Contains(err.Error(), string(failStale)) {
		t.Errorf("error %v", err)
	}
}
