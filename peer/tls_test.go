package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"testing"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/testkeys"
	"github.com/walnutcove/walnutcove/peer/tlsfiles"
)

func makeKeys(t testing.TB, nodes ...string) (directory string) {
	t.Helper()
	directory = t.TempDir()
	if err := testkeys.Make(directory, 0, nodes...); err != nil {
		t.Fatal(err)
	}
	return directory
}

func loadKeys(t testing.TB, directory, node string) *tls.Config {
	t.Helper()
	files := testkeys.FilesOf(directory, node)
	config, err := tlsfiles.Load(files.CertFile, files.KeyFile, files.CAFile)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func withKeys(config *tls.Config) func(*Options) {
	return func(o *Options) { o.TLS = config }
}

func TestMutualTLS(t *testing.T) {
	keys := makeKeys(t, "a", "b")
	a := start(t, "a", 1, withKeys(loadKeys(t, keys, "a")))
	b := start(t, "b", 2, withKeys(loadKeys(t, keys, "b")))
	setAllPeers(a, b)
	if answer, err := a.Call(context.Background(), "b", "echo", []byte("x")); err != nil || string(answer) != "echo x" {
		t.Fatalf("answer %q, error %v", answer, err)
	}
	b.Send("a", heartbeat(3))
	eventually(t, "message over TLS", func() bool { return len(a.received("b")) == 1 })
}

// TestCertificateOfAnotherNodeIsRejected checks that a node with a valid certificate
// can't impersonate another node, whether it dials or accepts.
func TestCertificateOfAnotherNodeIsRejected(t *testing.T) {
	keys := makeKeys(t, "a", "b", "c")
	a := start(t, "a", 1, withKeys(loadKeys(t, keys, "a")))
	c := start(t, "c", 3, withKeys(loadKeys(t, keys, "c")))
	c.self.Node = "b" // from here on c claims to be b
	c.SetPeers(map[control.NodeID]string{"a": a.Address()})
	if _, err := c.Call(context.Background(), "a", "echo", nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("c called as b: %v", err)
	}
	if got := a.counterValue(`walnut_peer_refusals_total{reason="identity"}`); got == 0 {
		t.Error("a refused nothing")
	}
	a.SetPeers(map[control.NodeID]string{"b": c.Address()})
	if _, err := a.Call(context.Background(), "b", "echo", nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("a accepted c as b: %v", err)
	}
	if got := a.counterValue(`walnut_peer_dial_failures_total{reason="identity"}`); got == 0 {
		t.Error("a dialled c as b")
	}
	eventually(t, "a to be notified that b is down", func() bool {
		changes := a.changes()
		return len(changes) == 1 && changes[0] == (stateChange{"b", false})
	})
}

func TestOtherCertificateAuthorityIsRejected(t *testing.T) {
	ours, theirs := makeKeys(t, "a"), makeKeys(t, "b")
	a := start(t, "a", 1, withKeys(loadKeys(t, ours, "a")))
	b := start(t, "b", 2, withKeys(loadKeys(t, theirs, "b")))
	setAllPeers(a, b)
	if _, err := a.Call(context.Background(), "b", "echo", nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("a called b: %v", err)
	}
	// A node that skips its own verification is still rejected by the other side.
	skipsVerification := loadKeys(t, theirs, "b")
	skipsVerification.VerifyConnection = func(tls.ConnectionState) error { return nil }
	c := start(t, "b", 3, withKeys(skipsVerification))
	c.SetPeers(map[control.NodeID]string{"a": a.Address()})
	if _, err := c.Call(context.Background(), "a", "echo", nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("b called a: %v", err)
	}
	if got := c.counterValue(`walnut_peer_dial_failures_total{reason="hello"}`); got == 0 {
		t.Error("the refused dial is not counted")
	}
	eventually(t, "a to count the refusal", func() bool {
		return a.counterValue(`walnut_peer_refusals_total{reason="tls"}`) > 0
	})
}

func TestSessionsWithAndWithoutTLSDoNotMix(t *testing.T) {
	keys := makeKeys(t, "a")
	a := start(t, "a", 1, withKeys(loadKeys(t, keys, "a")))
	b := start(t, "b", 2)
	setAllPeers(a, b)
	if _, err := b.Call(context.Background(), "a", "echo", nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("plain node called a: %v", err)
	}
	if _, err := a.Call(context.Background(), "b", "echo", nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("a called a plain node: %v", err)
	}
}

func TestInsecureOptionsAreRejected(t *testing.T) {
	keys := makeKeys(t, "a")
	weak := loadKeys(t, keys, "a")
	weak.ClientAuth = tls.RequestClientCert
	loopback := Options{Node: "a", Incarnation: 1, ListenAddress: "127.0.0.1:0"}
	notLoopback := loopback
	notLoopback.ListenAddress = "0.0.0.0:0"
	clientsNotVerified := loopback
	clientsNotVerified.TLS = weak
	wrongCertificate := loopback
	wrongCertificate.Node = "b"
	wrongCertificate.TLS = loadKeys(t, keys, "a")
	for name, test := range map[string]struct {
		options Options
		want    error
	}{
		"plain on all addresses": {notLoopback, ErrNotLoopback},
		"clients not verified":   {clientsNotVerified, ErrWeakTLS},
		"another's certificate":  {wrongCertificate, errWrongCertificate},
	} {
		mesh, err := New(test.options, &recorder{})
		if !errors.Is(err, test.want) {
			t.Errorf("%s: error %v", name, err)
		}
		if mesh != nil {
			mesh.Close()
		}
	}
}

func TestAddressOutsideLoopbackNeedsTLS(t *testing.T) {
	a := start(t, "a", 1)
	a.SetPeers(map[control.NodeID]string{"b": "192.0.2.1:99", "c": "localhost:99"})
	if got := a.counterValue(`walnut_peer_dial_failures_total{reason="plain-not-loopback"}`); got != 2 {
		t.Errorf("%d addresses refused", got)
	}
	a.Send("b", heartbeat(1))
	if got := a.counterValue(`walnut_peer_dropped_total{reason="no-address"}`); got != 1 {
		t.Errorf("%d messages dropped", got)
	}
}
