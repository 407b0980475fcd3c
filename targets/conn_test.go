package targets

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
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

// TestReadsEndAfterDeadline guards against reading on past a deadline for as long as a target sends
// a byte every few milliseconds.
func TestReadsEndAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var writer sync.WaitGroup
		defer writer.Wait()
		local, remote := net.Pipe()
		defer local.Close()
		defer remote.Close()
		writer.Go(func() {
			for {
				if _, err := io.WriteString(remote, "x"); err != nil {
					return
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
		c := newConn(local, "x")
		start := time.Now()
		c.readDeadline = start.Add(100 * time.Millisecond)
		for time.Since(start) < time.Minute {
			if _, err := c.Read(make([]byte, 4)); err != nil {
				break
			}
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("reads went on for %s, with a limit of 100 ms", took)
		}
	})
}
