package targets

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestWhatArrivedInTimeIsRead: a reader that is late itself finds what arrived
// before its time was up.
func TestWhatArrivedInTimeIsRead(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go io.WriteString(far, "here")
	c := newConn(near, "x")
	c.readDeadline = time.Now().Add(-time.Second) // the time is up before the read
	got := make([]byte, 4)
	if n, err := c.Read(got); err != nil || string(got[:n]) != "here" {
		t.Errorf("%q, %v", got[:n], err)
	}
	if _, err := c.Read(got); !isTimeout(err) {
		t.Errorf("nothing more came, and the read gave %v", err)
	}
}
