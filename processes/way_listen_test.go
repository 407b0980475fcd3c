package processes

import (
	"net"
	"testing"
	"time"
)

// TestListenAgainWaitsForThePort: a port that something else still holds for a moment is
// waited for; a cut way failed to heal with "address already in use" on a busy machine.
func TestListenAgainWaitsForThePort(t *testing.T) {
	holder, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = holder.Close() })
	listener, err := listenAgain(holder.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
}
