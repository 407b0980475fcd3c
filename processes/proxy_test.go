package processes

import (
	"net"
	"testing"
	"time"
)

// TestListenRetriesWhilePortIsInUse guards against a failure of Heal on a busy machine
// with "address already in use": another process can hold the port of a closed listener
// for a moment, and listening must be retried until it is free.
func TestListenRetriesWhilePortIsInUse(t *testing.T) {
	holder, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = holder.Close() })
	listener, err := listenWithRetry(holder.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
}
