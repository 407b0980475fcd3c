package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/result"
)

// scriptedRouter gives its answers in order and repeats the last one.
type scriptedRouter struct {
	mu       sync.Mutex
	answers  []string
	patchIDs []string
}

// The answers of a scriptedRouter. Any other answer is a result code in digits.
const (
	answerAccept  = "accept"
	answerCut     = "cut"     // closes the connection without an answer
	answerGarbage = "garbage" // status 200 with a body that is not JSON
)

func (r *scriptedRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var patch config.Patch
	if err := json.NewDecoder(req.Body).Decode(&patch); err != nil {
		panic(err)
	}
	r.patchIDs = append(r.patchIDs, patch.ID)
	answer := r.answers[0]
	if len(r.answers) > 1 {
		r.answers = r.answers[1:]
	}
	var code result.Code
	switch answer {
	case answerAccept:
		fmt.Fprintf(w, `{"id":%q,"version":%d}`, patch.ID, patch.Base+1)
	case answerGarbage:
		fmt.Fprint(w, "<html>")
	case answerCut:
		panic(http.ErrAbortHandler)
	default:
		fmt.Sscan(answer, &code)
		w.WriteHeader(code.Info().Status)
		fmt.Fprintf(w, `{"code":%d,"detail":"scripted"}`, code)
	}
}

// received returns the patch ids received, in order.
func (r *scriptedRouter) received() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.patchIDs...)
}

// testClient starts a server for each handler and returns a client of them with short pauses.
func testClient(t *testing.T, handlers ...http.Handler) *Client {
	t.Helper()
	options := Options{RetryEvery: time.Millisecond, PollEvery: time.Millisecond, Attempts: 5}
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		options.Routers = append(options.Routers, strings.TrimPrefix(server.URL, "http://"))
	}
	client, err := NewClient(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func exitOf(err error) Exit {
	var e *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Exit
	default:
		return ExitFailure
	}
}

func TestSubmitResendsUntilOutcomeIsKnown(t *testing.T) {
	cases := []struct {
		script string
		exit   Exit
		sends  int
	}{
		{"accept", ExitOK, 1},
		{"1001", ExitConflict, 1},
		{"1003", ExitInvalid, 1},
		{"1004", ExitUnavailable, 1},
		{"1006", ExitDenied, 1},
		{"cut accept", ExitOK, 2},
		{"garbage accept", ExitOK, 2},
		{"1008 accept", ExitOK, 2},
		{"1008 1001", ExitConflict, 2},
		{"cut 1004 1006 504 accept", ExitOK, 5},
		// That a later send changed nothing does not tell the outcome of the first.
		{"cut 1004", ExitUnknown, 5},
		{"cut 1006", ExitUnknown, 5},
		{"cut", ExitUnknown, 5},
	}
	for _, c := range cases {
		t.Run(c.script, func(t *testing.T) {
			router := &scriptedRouter{answers: strings.Fields(c.script)}
			client := testClient(t, router)
			accepted, err := client.Submit(context.Background(), config.Patch{Base: 7, Changes: []byte("{}")})
			if got := exitOf(err); got != c.exit {
				t.Fatalf("exit %d, want %d: %v", got, c.exit, err)
			}
			if err == nil && accepted.Version != 8 {
				t.Errorf("version %d", accepted.Version)
			}
			ids := router.received()
			if len(ids) != c.sends {
				t.Errorf("%d sends, want %d", len(ids), c.sends)
			}
			for _, id := range ids {
				if id == "" || id != ids[0] {
					t.Errorf("ids differ: %q", ids)
				}
			}
		})
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestNextRouterIsTried(t *testing.T) {
	cut := &scriptedRouter{answers: []string{answerCut}}
	withoutStore := &scriptedRouter{answers: []string{"1004"}}
	good := &scriptedRouter{answers: []string{answerAccept}}
	client := testClient(t, withoutStore, good)
	client.options.Routers = append([]string{closedAddress(t)}, client.options.Routers...)
	if _, err := client.Submit(context.Background(), config.Patch{}); err != nil {
		t.Errorf("after a closed port and a router without the store: %v", err)
	}
	client = testClient(t, cut, good)
	if _, err := client.Submit(context.Background(), config.Patch{}); err != nil {
		t.Errorf("after a lost answer: %v", err)
	}
	client.options.Routers = []string{closedAddress(t), closedAddress(t)}
	_, err := client.Submit(context.Background(), config.Patch{})
	var e *Error
	if !errors.As(err, &e) || e.Exit != ExitUnavailable || len(e.Details) != 2 {
		t.Errorf("no router: %v", err)
	}
}

// scriptedStatuses answers status requests with its statuses in order and repeats the last one.
type scriptedStatuses struct {
	mu        sync.Mutex
	remaining []operator.Status
	onLast    func() // called each time the last one is sent; nil for none
}

func (s *scriptedStatuses) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.NewEncoder(w).Encode(s.remaining[0]); err != nil {
		panic(err)
	}
	if len(s.remaining) > 1 {
		s.remaining = s.remaining[1:]
	} else if s.onLast != nil {
		s.onLast()
	}
}

// fleetAt returns the status of a fleet with a router for each version; zero stands for one
// that is unreachable.
func fleetAt(versions ...config.Version) operator.Status {
	var status operator.Status
	for i, version := range versions {
		row := operator.RouterStatus{Node: fmt.Sprintf("n%d", i), State: operator.RouterReady, Version: version, Listed: true}
		if version == 0 {
			row.State = operator.RouterUnreachable
			row.Error = "no session"
		}
		status.Routers = append(status.Routers, row)
	}
	return status
}

func TestWaitUntilEveryListedRouterHasTheVersion(t *testing.T) {
	polls := &scriptedStatuses{remaining: []operator.Status{fleetAt(), fleetAt(3, 2), fleetAt(3, 0), fleetAt(3, 4)}}
	routers, err := testClient(t, polls).Wait(context.Background(), 3)
	if err != nil || routers != 2 {
		t.Fatalf("got %d, %v", routers, err)
	}
	polls.mu.Lock()
	defer polls.mu.Unlock()
	if len(polls.remaining) != 1 {
		t.Errorf("returned with %d states to come", len(polls.remaining)-1)
	}
}

func TestWaitNamesMissingRouters(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	polls := &scriptedStatuses{remaining: []operator.Status{fleetAt(3, 3, 0), fleetAt(3, 2, 0)}, onLast: cancel}
	_, err := testClient(t, polls).Wait(ctx, 3)
	var e *Error
	if !errors.As(err, &e) || e.Exit != ExitWaitTimeout {
		t.Fatalf("got %v", err)
	}
	want := []string{
		"missing: n1 data_centre= state=ready version=2",
		`missing: n2 data_centre= state=unreachable error="no session"`,
	}
	if strings.Join(e.Details, "\n") != strings.Join(want, "\n") {
		t.Errorf("details %q", e.Details)
	}
}
