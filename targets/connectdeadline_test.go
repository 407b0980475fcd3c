package targets

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

// TestConnectWaitsUntilDeadline guards against a request that waits for its connection past its
// caller's deadline and is then sent: the run of a non-idempotent request has no deadline of
// its own.
func TestConnectWaitsUntilDeadline(t *testing.T) {
	const deadline = 50 * time.Millisecond
	client := NewHTTPClient(Options{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	defer client.Close()
	began := time.Now()
	_, err := client.Do(context.Background(), Request{Method: "POST", Path: "/", Address: "127.0.0.1:1", Deadline: began.Add(deadline)})
	var refusal *result.Error
	if !errors.As(err, &refusal) || refusal.Code != result.ConnectFailed || refusal.Ran != result.RanNo {
		t.Errorf("%v", err)
	}
	if took := time.Since(began); took > 5*deadline {
		t.Errorf("waited for %s", took)
	}
}
