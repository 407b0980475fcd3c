package connstate

import (
	"errors"
	"net"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func TestCheckAndWaitSeeWhatTheFarEndDid(t *testing.T) {
	near, far := pair(t)
	checker := NewChecker(near)
	_ = near.SetReadDeadline(time.Unix(1, 0))
	if err := checker.Check(); err != nil {
		t.Fatalf("open connection past its read deadline: %v", err)
	}
	if err := Wait(near); err == nil || errors.Is(err, ErrClosed) {
		t.Fatalf("Wait past the read deadline: %v", err)
	}
	_ = near.SetReadDeadline(time.Time{})
	_, _ = far.Write([]byte("x"))
	if err := Wait(near); err != ErrData {
		t.Fatalf("unread byte: %v", err)
	}
	if err := checker.Check(); err != ErrData {
		t.Fatalf("unread byte: %v", err)
	}
	_, _ = near.Read(make([]byte, 1))
	far.Close()
	if err := Wait(near); err != ErrClosed {
		t.Fatalf("closed by the far end: %v", err)
	}
	if err := checker.Check(); err != ErrClosed {
		t.Fatalf("closed by the far end: %v", err)
	}
	near.Close()
	if err := checker.Check(); err == nil {
		t.Fatal("closed here: no error")
	}
}
