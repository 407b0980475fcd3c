package targets

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestReadFindsDataAfterDeadline checks that a read that starts after its deadline still returns
// the data that arrived before.
func TestReadFindsDataAfterDeadline(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	go io.WriteString(remote, "here")
	c := newConn(local, "x")
	c.readDeadline = time.Now().Add(-time.Second) // the deadline has passed before the read
	got := make([]byte, 4)
	if n, err := c.Read(got); err != nil || string(got[:n]) != "here" {
		t.Errorf("%q, %v", got[:n], err)
	}
	if _, err := c.Read(got); !isTimeout(err) {
		t.Errorf("read without data after the deadline: %v", err)
	}
}
