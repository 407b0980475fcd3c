package managedtest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// unframedReplica describes a replica of the engine whose answers have neither a length nor
// chunked encoding.
func unframedReplica(id string) managed.ReplicaOptions {
	options := genReplica(id)
	options.Unframed = true
	return options
}

// TestUnframedAnswersAreWhole guards against taking whole answers that end with their
// connection for broken ones.
func TestUnframedAnswersAreWhole(t *testing.T) {
	plain := opsReplica("o1")
	plain.Unframed = true
	f := startFleet(t, 1, plain, unframedReplica("g1"))
	for range 5 {
		for _, path := range []string{pathNonIdempotent, pathIdempotent, pathStream} {
			got := f.send(f.routers[0], path)
			want := managed.ExpectedAnswer(got.ID)
			if path == pathStream {
				want = expectedStream(got.ID)
			}
			if got.Status != http.StatusOK || !got.Complete || got.Body != want || len(f.journal.Runs(got.ID)) != 1 {
				t.Errorf("%s: status %d, complete %v, %d runs:\n%s", path, got.Status, got.Complete, len(f.journal.Runs(got.ID)), got.Body)
			}
		}
	}
}

// TestStreamCutAtConnectionCloseIsNotComplete guards against passing on as complete a stream
// whose target closed the connection in the middle of an event, where only the close marks the
// end of the answer.
func TestStreamCutAtConnectionCloseIsNotComplete(t *testing.T) {
	for name, byReset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			breaking := unframedReplica("breaks")
			breaking.BreakAfterEvents, breaking.BreakByReset = 3, byReset
			f := startFleet(t, 1, breaking)
			f.publishConfig(func(c *wire.Config) { c.Routes[len(c.Routes)-1].Resumable = false })
			f.awaitVersion()
			for range 3 {
				got := f.send(f.routers[0], pathStream)
				if got.Status != http.StatusOK || got.Complete || !strings.HasPrefix(expectedStream(got.ID), got.Body) {
					t.Errorf("status %d, complete %v:\n%s", got.Status, got.Complete, got.Body)
				}
			}
		})
	}
}

// TestStreamCutAtConnectionCloseResumesElsewhere guards against gaps and truncated events when
// such a stream may be resumed.
func TestStreamCutAtConnectionCloseResumesElsewhere(t *testing.T) {
	breaking := unframedReplica("breaks")
	breaking.BreakAfterEvents = 3
	f := startSettledFleet(t, unlimitedSlack, 2, breaking, unframedReplica("sound"))
	f.checkStreamsResume(breaking.BreakAfterEvents)
}

// TestCutStreamIsNotCompleteOnAnyRoute guards against the same on routes that are not declared
// for streams, and for HTTP/1.0 callers, who get a stream as a whole.
func TestCutStreamIsNotCompleteOnAnyRoute(t *testing.T) {
	for _, kind := range []string{wire.Idempotent, wire.NonIdempotent, wire.Stream} {
		t.Run(kind, func(t *testing.T) {
			breaking := unframedReplica("breaks")
			breaking.BreakAfterEvents = 3
			f := startFleet(t, 1, breaking)
			f.publishConfig(func(c *wire.Config) {
				stream := &c.Routes[len(c.Routes)-1]
				stream.Kind, stream.Resumable, stream.Attempts = kind, false, 1
			})
			f.awaitVersion()
			if got := f.send(f.routers[0], pathStream); got.Complete || !strings.HasPrefix(expectedStream(got.ID), got.Body) {
				t.Errorf("status %d, complete %v:\n%s", got.Status, got.Complete, got.Body)
			}
			if status := sendHTTP10(t, f.routers[0].CallersAddress(), kind); status != http.StatusBadGateway {
				t.Errorf("HTTP/1.0 caller got status %d", status)
			}
		})
	}
}

// sendHTTP10 sends a request for a stream as an HTTP/1.0 caller and returns the status of the
// answer.
func sendHTTP10(t *testing.T, address, id string) int {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\n%s: old-%s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", pathStream, managed.DemoHost,
		wire.HeaderRequestID, id, wire.HeaderKey, key, wire.HeaderDeadline, requestDeadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}
