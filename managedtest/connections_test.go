package managedtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// keptConn is a caller's connection that is used for several requests.
type keptConn struct {
	net.Conn
	r    *bufio.Reader
	sent int
}

func (f *fleet) keepConn(r *router.Router) *keptConn {
	f.t.Helper()
	conn, err := net.Dial("tcp4", r.CallersAddress())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		f.t.Fatal(err)
	}
	return &keptConn{Conn: conn, r: bufio.NewReader(conn)}
}

// request returns a request as a caller sends it.
func (c *keptConn) request(path string) string {
	c.sent++
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: kept-%s-%d\r\n%s: %s\r\n%s: %d\r\nContent-Length: 2\r\n\r\n{}", path, managed.DemoHost,
		wire.HeaderRequestID, c.LocalAddr(), c.sent, wire.HeaderKey, key, wire.HeaderDeadline, requestDeadline.Milliseconds())
}

// answer reads a whole answer and returns its status.
func (c *keptConn) answer() (status int, closes bool, err error) {
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

// TestVersionsChangeTheIdleLimit guards against a kept connection that a router closes although its
// caller may still use it by the version in force, which became longer while the connection was idle.
func TestVersionsChangeTheIdleLimit(t *testing.T) {
	const idleTimeout, longer = 1500 * time.Millisecond, 3 * time.Second
	f := startFleetWith(t, func(s *settings.Settings) { s.Limits.IdleTimeout = settings.Duration(idleTimeout) }, 1,
		managed.ReplicaOptions{ID: "ops-1", Service: managed.DemoService, Slots: 4})
	conn := f.keepConn(f.routers[0])
	exchange := func(when string) {
		t.Helper()
		fmt.Fprint(conn, conn.request(pathIdempotent))
		if status, closes, err := conn.answer(); status != http.StatusOK || closes || err != nil {
			t.Errorf("%s: status %d, closes %v, %v", when, status, closes, err)
		}
	}
	exchange("at the start")
	f.publishConfig(func(c *wire.Config) { c.Limits.IdleTimeout = float64(longer.Milliseconds()) })
	time.Sleep(longer * 4 / 5)
	exchange("made longer")
	f.publishConfig(func(c *wire.Config) { c.Limits.IdleTimeout = float64(idleTimeout.Milliseconds()) })
	time.Sleep(longer * 4 / 5)
	exchange("made shorter")
	time.Sleep(2 * idleTimeout)
	if _, err := conn.r.ReadByte(); err != io.EOF {
		t.Errorf("after the shorter limit: %v", err)
	}
}

// TestShutdownAnswersPipelinedRequests guards against requests that a router has read behind a running one
// and drops when it shuts down.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	const pause = 600 * time.Millisecond
	f := startFleet(t, 1, managed.ReplicaOptions{ID: "ops-1", Service: managed.DemoService, Slots: 4, Pause: pause})
	conn := f.keepConn(f.routers[0])
	fmt.Fprint(conn, conn.request(pathNonIdempotent)+conn.request(pathNonIdempotent))
	time.Sleep(pause / 3)
	done := make(chan error, 1)
	go func() { done <- f.routers[0].Shutdown(t.Context()) }()
	if status, closes, err := conn.answer(); status != http.StatusOK || closes || err != nil {
		t.Errorf("first: status %d, closes %v, %v", status, closes, err)
	}
	// A router that is leaving may refuse the second: it has not run.
	if status, closes, err := conn.answer(); status != http.StatusOK && status != http.StatusServiceUnavailable || !closes || err != nil {
		t.Errorf("second: status %d, closes %v, %v", status, closes, err)
	}
	if _, err := conn.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v", err)
	}
	conn.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
