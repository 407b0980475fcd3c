package connstate

import (
	"errors"
	"net"
	"testing"
	"time"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (local, remote net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	local, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	remote, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { local.Close(); remote.Close() })
	return local, remote
}

func TestCheckAndWait(t *testing.T) {
	local, remote := tcpPair(t)
	checker := NewChecker(local)
	_ = local.SetReadDeadline(time.Unix(1, 0))
	if err := checker.Check(); err != nil {
		t.Fatalf("open connection past its read deadline: %v", err)
	}
	if err := Wait(local); err == nil || errors.Is(err, ErrClosed) {
		t.Fatalf("Wait past the read deadline: %v", err)
	}
	_ = local.SetReadDeadline(time.Time{})
	_, _ = remote.Write([]byte("x"))
	if err := Wait(local); err != ErrData {
		t.Fatalf("unread byte: %v", err)
	}
	if err := checker.Check(); err != ErrData {
		t.Fatalf("unread byte: %v", err)
	}
	_, _ = local.Read(make([]byte, 1))
	remote.Close()
	if err := Wait(local); err != ErrClosed {
		t.Fatalf("closed by the remote end: %v", err)
	}
	if err := checker.Check(); err != ErrClosed {
		t.Fatalf("closed by the remote end: %v", err)
	}
	local.Close()
	if err := checker.Check(); err == nil {
		t.Fatal("closed here: no error")
	}
}
