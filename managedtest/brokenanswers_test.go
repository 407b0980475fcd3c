package managedtest

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
	"github.com/walnutcove/walnutcove/standin/rawhttp"
)

// fromReplica begins the fields of a replica's own answer.
const fromReplica = "\r\n" + wire.HeaderSeal + ": raw\r\n" + wire.HeaderRequestID + ": ID\r\n"

// longBody is a body that a replica's buffers do not take while it does not read.
var longBody = strings.Repeat("x", 7<<20)

// brokenReplica answers each request, and the routers' own calls, with the same text, which fillIn completes.
type brokenReplica struct {
	text string

	mu sync.Mutex
	// asked holds the ids of the requests that arrived.
	asked map[string]bool
}

// startBrokenReplicas registers a replica of each service that answers with a text, and waits until the routers know them.
func (f *fleet) startBrokenReplicas(text string, serve func(text func(*http.Request) string) func(net.Conn)) *brokenReplica {
	f.t.Helper()
	r := &brokenReplica{text: text, asked: make(map[string]bool)}
	address := rawhttp.Start(f.t, serve(r.answer))
	f.register("broken-ops", "ops", address)
	f.register("broken-gen", "gen", address)
	for n, router := range f.routers {
		f.eventually(testTimeout, fmt.Sprint("the replicas are known at router ", n), func() bool {
			targets := router.InForce().Declarations.Targets
			_, ops := targets["broken-ops"]
			_, gen := targets["broken-gen"]
			return ops && gen
		})
	}
	return r
}

func (r *brokenReplica) answer(request *http.Request) string {
	id := request.Header.Get(wire.HeaderRequestID)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[id] = id != ""
	return fillIn(r.text, request)
}

// fillIn returns a text for a request: "ID" stands for its id and "EVENT" for the first event of its stream.
func fillIn(text string, request *http.Request) string {
	id := request.Header.Get(wire.HeaderRequestID)
	event, _, _ := strings.Cut(expectedStream(id), "\n\n")
	return strings.NewReplacer("ID", id, "EVENT", event+"\n\n").Replace(text)
}

// wasAsked reports whether a request has arrived.
func (r *brokenReplica) wasAsked(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked[id]
}

// checkCallers sends requests on each kind of route and checks that no caller gets a broken answer, or the statement that
// a request did not run that reached the replica. Where sound replicas serve too, requests that may be repeated must be
// answered.
func (r *brokenReplica) checkCallers(f *fleet, body string, sound bool) {
	f.t.Helper()
	reached := 0
	for n := range 12 {
		path := []string{pathStream, pathIdempotent, pathNonIdempotent}[n%3]
		got := f.sendUntilRead(f.routers[n%len(f.routers)], managed.Request{Path: path, Key: key, Body: body})
		want := managed.ExpectedAnswer(got.ID)
		if path == pathStream {
			want = expectedStream(got.ID)
		}
		if r.wasAsked(got.ID) {
			reached++
		}
		isServed := got.Status == http.StatusOK && got.Complete && got.Body == want && sound
		isFailed := got.Status == http.StatusBadGateway && (!sound || path == pathNonIdempotent)
		isBrokenOff := !got.Complete && strings.HasPrefix(expectedStream(got.ID), got.Body) && (!sound || path == pathNonIdempotent)
		isNotRun := got.Status == http.StatusServiceUnavailable && !r.wasAsked(got.ID) && len(f.journal.Runs(got.ID)) == 0
		if !isServed && !isFailed && !isBrokenOff && !isNotRun {
			f.t.Errorf("%s: status %d, complete %v, headers %v, body %q", path, got.Status, got.Complete, got.Header, got.Body)
		}
		if runs := len(f.journal.Runs(got.ID)); path == pathNonIdempotent && r.wasAsked(got.ID) && runs > 0 {
			f.t.Errorf("%s ran %d times although its outcome was not known", path, runs)
		}
	}
	if reached == 0 {
		f.t.Error("no request reached the replicas")
	}
}

// TestBadHeadsDoNotReachCallers guards against heads that HTTP does not allow and that reach callers as answers: on any kind
// of route, alone in a service and beside sound replicas.
func TestBadHeadsDoNotReachCallers(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                  "HTTP/1.1 000 OK" + fromReplica + "Content-Length: 2\r\n\r\nno",
		"status 000, event":           "HTTP/1.1 000 OK" + fromReplica + "Content-Type: text/event-stream\r\nContent-Length: 10\r\n\r\ndata: no\n\n",
		"status 600":                  "HTTP/1.1 600 OK" + fromReplica + "Content-Length: 2\r\n\r\nno",
		"HTTP/2.0":                    "HTTP/2.0 200 OK" + fromReplica + "Content-Length: 2\r\n\r\nno",
		"blank in a name":             "HTTP/1.1 200 OK" + fromReplica + "X Odd: v\r\nContent-Length: 2\r\n\r\nno",
		"blank in a name of a coding": "HTTP/1.1 200 OK" + fromReplica + "Transfer Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"blank in a name, event":      "HTTP/1.1 200 OK" + fromReplica + "X Odd: v\r\nContent-Type: text/event-stream\r\nContent-Length: 10\r\n\r\ndata: no\n\n",
		"control byte in a name":      "HTTP/1.1 200 OK" + fromReplica + "X\x01Odd: v\r\nContent-Length: 2\r\n\r\nno",
		"tab in a name":               "HTTP/1.1 200 OK" + fromReplica + "X\tOdd: v\r\nContent-Length: 2\r\n\r\nno",
		"chunked, HTTP/1.0":           "HTTP/1.0 200 OK" + fromReplica + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	} {
		for _, sound := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, beside sound replicas %v", name, sound), func(t *testing.T) {
				t.Parallel()
				var replicas []managed.ReplicaOptions
				if sound {
					replicas = []managed.ReplicaOptions{opsReplica("sound-ops"), genReplica("sound-gen")}
				}
				f := startSettledFleet(t, unlimitedSlack, 2, replicas...)
				r := f.startBrokenReplicas(text, rawhttp.Answer)
				r.checkCallers(f, "", sound)
			})
		}
	}
}

// TestEarlyAnswersCutDuringUploadDoNotReachCallers guards against a part of an answer without a length, cut off while a long
// request is being sent, that reaches callers as a whole one: on any kind of route, alone in a service and beside sound
// replicas.
func TestEarlyAnswersCutDuringUploadDoNotReachCallers(t *testing.T) {
	for name, text := range map[string]string{
		"plain":           "HTTP/1.1 200 OK" + fromReplica + "\r\npart",
		"plain, HTTP/1.0": "HTTP/1.0 200 OK" + fromReplica + "\r\npart",
		"stream":          "HTTP/1.1 200 OK" + fromReplica + "Content-Type: text/event-stream\r\n\r\nEVENT",
	} {
		for _, cut := range []rawhttp.Cut{{Reset: true}, {Reset: true, After: 20 * time.Millisecond}, {After: 20 * time.Millisecond}} {
			for _, sound := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %+v, beside sound replicas %v", name, cut, sound), func(t *testing.T) {
					t.Parallel()
					var replicas []managed.ReplicaOptions
					if sound {
						replicas = []managed.ReplicaOptions{opsReplica("sound-ops"), genReplica("sound-gen")}
					}
					f := startSettledFleet(t, unlimitedSlack, 2, replicas...)
					r := f.startBrokenReplicas(text, func(text func(*http.Request) string) func(net.Conn) { return rawhttp.AnswerEarly(text, cut) })
					r.checkCallers(f, longBody, sound)
				})
			}
		}
	}
}

// TestBrokenAnswersDoNotContinueStreams guards against the same answers where they continue a stream that has broken off after
// its first event.
func TestBrokenAnswersDoNotContinueStreams(t *testing.T) {
	const (
		stream = "Content-Type: text/event-stream\r\n"
		second = "\r\nid: 2\ndata: no\n\n"
		begins = "HTTP/1.1 200 OK" + fromReplica + stream + "Content-Length: 1000\r\n\r\nEVENT"
	)
	early := func(text func(*http.Request) string) func(net.Conn) {
		return rawhttp.AnswerEarly(text, rawhttp.Cut{Reset: true, After: 20 * time.Millisecond})
	}
	for name, c := range map[string]struct {
		continues string
		serve     func(func(*http.Request) string) func(net.Conn)
	}{
		"status 000":        {"HTTP/1.1 000 OK" + fromReplica + stream + second, rawhttp.Answer},
		"blank in a name":   {"HTTP/1.1 200 OK" + fromReplica + "X Odd: v\r\n" + stream + second, rawhttp.Answer},
		"chunked, HTTP/1.0": {"HTTP/1.0 200 OK" + fromReplica + stream + "Transfer-Encoding: chunked\r\n" + second, rawhttp.Answer},
		"early, cut":        {"HTTP/1.1 200 OK" + fromReplica + stream + second, early},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startSettledFleet(t, unlimitedSlack, 1)
			var continued atomic.Int64
			address := rawhttp.Start(t, c.serve(func(request *http.Request) string {
				if request.Header.Get(wire.HeaderAfterEvent) == "" {
					return fillIn(begins, request)
				}
				continued.Add(1)
				return fillIn(c.continues, request)
			}))
			for n := range 3 {
				f.register(fmt.Sprint("broken-", n), "gen", address)
			}
			f.eventually(testTimeout, "the replicas are known", func() bool {
				return len(f.routers[0].InForce().Declarations.Targets) == 3
			})
			var callers sync.WaitGroup
			for range 8 { // at once, before the replicas are known to fail
				callers.Go(func() {
					got := f.sendUntilRead(f.routers[0], managed.Request{Path: pathStream, Key: key, Body: longBody})
					isBrokenOff := !got.Complete && strings.HasPrefix(expectedStream(got.ID), got.Body)
					if got.Status == http.StatusOK && !isBrokenOff {
						t.Errorf("complete %v, body %q", got.Complete, got.Body)
					}
				})
			}
			callers.Wait()
			if continued.Load() == 0 {
				t.Error("no stream was to be continued at the replicas")
			}
		})
	}
}
