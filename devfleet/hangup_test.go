package devfleet_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/devfleet"
	"github.com/walnutcove/walnutcove/result"
)

// call is one HTTP request of a caller that may disconnect before the answer. key is its
// Idempotency-Key, header holds further header fields.
type call struct {
	path, key, body string
	header          map[string]string
}

func (c call) requestHeader(router string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n",
		c.path, router, devfleet.DemoKey("school"), len(c.body))
	for name, value := range c.headers() {
		head += name + ": " + value + "\r\n"
	}
	return head + "\r\n"
}

func (c call) headers() map[string]string {
	all := map[string]string{"Idempotency-Key": c.key}
	for name, value := range c.header {
		all[name] = value
	}
	return all
}

// sendAndDisconnect sends the call, calls waitBegun, which returns once the run has
// begun, and closes the connection.
func (c call) sendAndDisconnect(t *testing.T, router string, waitBegun func(answer io.Reader)) {
	t.Helper()
	conn, err := net.Dial("tcp", router)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, c.requestHeader(router)+c.body); err != nil {
		t.Fatal(err)
	}
	waitBegun(conn)
}

// resendUntilDone sends the call again until the answer no longer says that the call is
// in progress.
func (c call) resendUntilDone(ctx context.Context, t *testing.T, router string) (*http.Response, string) {
	t.Helper()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+devfleet.DemoKey("school"))
		request.Header.Set("Content-Type", "application/json")
		for name, value := range c.headers() {
			request.Header.Set(name, value)
		}
		answer, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if answer.Header.Get("Walnut-Code") != fmt.Sprint(int(result.RecordInProgress)) {
			return answer, string(body)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestDisconnectDuringNonIdempotentCall checks that a caller that disconnects during a
// non-idempotent run gets the answer when it sends the call again: the run is finished
// and not repeated.
func TestDisconnectDuringNonIdempotentCall(t *testing.T) {
	fleet := startFleet(t, devfleet.Options{})
	t.Cleanup(http.DefaultTransport.(*http.Transport).CloseIdleConnections)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	// 1500 ms is longer than a router takes to detect that the caller disconnected.
	c := call{path: devfleet.ServicePath + "/site?millis=1500", key: "hang-up", body: "mark:h1"}
	c.sendAndDisconnect(t, fleet.Routers[0].CallersAddress(), func(io.Reader) {
		for ctx.Err() == nil && startCount(fleet, c.key) == 0 {
			time.Sleep(time.Millisecond)
		}
	})
	answer, body := c.resendUntilDone(ctx, t, fleet.Routers[1].CallersAddress())
	if answer.StatusCode != http.StatusOK || answer.Header.Get("Walnut-Replayed") != "true" || !strings.Contains(body, "h1") {
		t.Errorf("the resend got %s, %v: %s", answer.Status, answer.Header, body)
	}
	if n := startCount(fleet, c.key); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// TestShutdownFinishesRunWithoutCaller checks that a graceful shutdown waits for a run
// whose caller has disconnected, and for the run's record.
func TestShutdownFinishesRunWithoutCaller(t *testing.T) {
	fleet := startFleet(t, devfleet.Options{})
	t.Cleanup(http.DefaultTransport.(*http.Transport).CloseIdleConnections)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := call{path: devfleet.ServicePath + "/site?millis=1500", key: "hang-up", body: "mark:h3"}
	c.sendAndDisconnect(t, fleet.Routers[0].CallersAddress(), func(io.Reader) {
		for ctx.Err() == nil && startCount(fleet, c.key) == 0 {
			time.Sleep(time.Millisecond)
		}
	})
	if err := fleet.Routers[0].Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	answer, body := c.resendUntilDone(ctx, t, fleet.Routers[1].CallersAddress())
	if answer.Header.Get("Walnut-Replayed") != "true" || !strings.Contains(body, "h3") {
		t.Errorf("the resend got %s, %v: %s", answer.Status, answer.Header, body)
	}
}

// TestDisconnectDuringNonIdempotentStream checks the same as
// TestDisconnectDuringNonIdempotentCall for a stream whose caller disconnects in the
// middle of it.
func TestDisconnectDuringNonIdempotentStream(t *testing.T) {
	fleet := startFleet(t, devfleet.Options{})
	t.Cleanup(http.DefaultTransport.(*http.Transport).CloseIdleConnections)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := call{
		path: "/v1/chat/completions", key: "hang-up",
		body:   `{"model":"` + devfleet.Model + `","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"mark:h2"}]}`,
		header: map[string]string{"Walnut-Idempotent": "false"},
	}
	c.sendAndDisconnect(t, fleet.Routers[0].CallersAddress(), func(answer io.Reader) {
		if _, err := io.ReadAtLeast(answer, make([]byte, 4096), 300); err != nil {
			t.Error(err)
		}
	})
	answer, body := c.resendUntilDone(ctx, t, fleet.Routers[1].CallersAddress())
	if answer.Header.Get("Walnut-Replayed") != "true" || !strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") {
		t.Errorf("the resend got %s, %v: %s", answer.Status, answer.Header, body)
	}
}

// startCount returns how often service calls with the key have started.
func startCount(fleet *devfleet.Fleet, key string) int {
	n := 0
	for _, s := range fleet.Services {
		n += s.Counts()[key]
	}
	return n
}
