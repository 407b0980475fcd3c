package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	standin "github.com/walnutcove/walnutcove/standin/managed"
	"github.com/walnutcove/walnutcove/standin/rawhttp"
)

// TestBadHeadsAreNotOffloadedAnswers guards against heads that HTTP does not allow and that reach callers as answers when
// another router serves their requests.
func TestBadHeadsAreNotOffloadedAnswers(t *testing.T) {
	t.Parallel()
	const fields = "\r\n" + wire.HeaderSeal + ": raw\r\n" + wire.HeaderRequestID + ": ID\r\n"
	for name, text := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK" + fields + "Content-Length: 2\r\n\r\nno",
		"blank in a name": "HTTP/1.1 200 OK" + fields + "X Odd: v\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			f := startOffloadFleet(t)
			var asked atomic.Int64
			f.addBrokenReplica(rawhttp.Answer(func(request *http.Request) string {
				id := request.Header.Get(wire.HeaderRequestID)
				if id != "" {
					asked.Add(1)
				}
				return strings.ReplaceAll(text, "ID", id)
			}))
			for until := time.Now().Add(testDeadline); asked.Load() < 3; {
				if time.Now().After(until) {
					t.Fatal("too few requests reached the replica")
				}
				got := f.sendUntilServed(pathRun)
				if whole := got.Status == http.StatusOK && got.Body == standin.ExpectedAnswer(got.ID); !whole && got.Status != http.StatusBadGateway {
					t.Errorf("status %d, body %q", got.Status, got.Body)
				}
			}
		})
	}
}

// addBrokenReplica adds a replica of the service that breaks the rules of HTTP.
func (f *offloadFleet) addBrokenReplica(serve func(net.Conn)) {
	f.t.Helper()
	f.store.Put(wire.TableReplicas, "broken", wire.Replica{
		Service: standin.DemoService, Address: rawhttp.Start(f.t, serve), Zone: standin.DefaultZone, Software: standin.DefaultSoftware,
		Slots: 8, State: wire.StateReady, StartedAt: time.Now().UnixMilli(),
	})
	f.eventually("the replica is known", func() bool {
		_, known := f.large.InForce().Declarations.Targets["broken"]
		return known
	})
}

// TestOffloadedAnswersWithoutEndAreNotKept guards against a router that keeps what a target sends without end, in the head or in
// the body, for a caller of another router that reads nothing.
func TestOffloadedAnswersWithoutEndAreNotKept(t *testing.T) {
	t.Parallel()
	const (
		success = "HTTP/1.1 200 OK\r\n" + wire.HeaderSeal + ": raw\r\n" + wire.HeaderRequestID + ": ID\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		// maxKept is what all buffers on the way may hold of an answer, those of the sockets included, in bytes.
		maxKept  = 16 << 20
		observed = 2 * time.Second
	)
	for name, c := range map[string]struct{ head, part string }{
		"no head":       {"", "hello there\r\n"},
		"head":          {success, "X-More: of it\r\n"},
		"interim heads": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunks":        {success + chunked, "8\r\nxxxxxxxx\r\n"},
		"until closed":  {success + "\r\n", "xxxxxxxx"},
		"events":        {success + "Content-Type: text/event-stream\r\n" + chunked, "9\r\ndata: x\n\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startOffloadFleet(t)
			var overflows atomic.Int64
			var asked atomic.Pointer[string] // the id of the last request that arrived
			f.addBrokenReplica(func(conn net.Conn) {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				part := strings.Repeat(c.part, (64<<10)/len(c.part))
				id := request.Header.Get(wire.HeaderRequestID)
				if id != "" {
					asked.Store(&id)
				}
				text := strings.ReplaceAll(c.head, "ID", id) + part
				for sent := 0; sent <= maxKept; text = part {
					n, err := io.WriteString(conn, text)
					if err != nil {
						return
					}
					sent += n
				}
				overflows.Add(1)
			})
			for until := time.Now().Add(testDeadline); asked.Load() == nil; {
				if time.Now().After(until) {
					t.Fatal("no request reached the replica")
				}
				f.sendUnread(pathRun)
				time.Sleep(50 * time.Millisecond)
			}
			f.eventually("the larger router serves the request", func() bool { return f.largeLog.contains("request=" + *asked.Load() + " ") })
			time.Sleep(observed)
			if got := overflows.Load(); got > 0 {
				t.Errorf("%d connections took over %d bytes", got, maxKept)
			}
		})
	}
}

// sendUnread sends a request to the small router whose caller reads nothing.
func (f *offloadFleet) sendUnread(path string) {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.small.CallersAddress())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: unread-%d\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", path, standin.DemoHost,
		wire.HeaderRequestID, f.calls.Add(1), wire.HeaderKey, standin.DemoKey, wire.HeaderDeadline, testDeadline.Milliseconds())
}
