package front

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

func TestHeldBytesAreSharedAmongWorkspaces(t *testing.T) {
	now := time.Unix(0, 0)
	b := newBodyReservations(1000, time.Minute)
	reserve := func(workspace string, bytes int64, want bool) *bodyReservation {
		t.Helper()
		number, ok := b.reserve(workspace, bytes, now)
		if ok != want {
			t.Fatalf("%s, %d bytes: reserved %t with %d bytes held", workspace, bytes, ok, b.heldBytes())
		}
		if !ok {
			return nil
		}
		return b.claim(number)
	}
	first := reserve("flood", 500, true)
	reserve("flood", 1, false) // a workspace may hold at most what is left free
	small := reserve("small", 250, true)
	reserve("small", 1, false)
	reserve("late", 125, true)
	first.shrinkTo(300)
	reserve("flood", 100, false)
	small.shrinkTo(0)
	reserve("flood", 100, true)
	first.shrinkTo(0)
	first.shrinkTo(0) // has no further effect
	if b.heldBytes() != 225 {
		t.Errorf("%d bytes held", b.heldBytes())
	}
}

func TestReservationsExpire(t *testing.T) {
	now := time.Unix(0, 0)
	b := newBodyReservations(1000, time.Minute)
	unclaimed, _ := b.reserve("w", 400, now)
	claimed, _ := b.reserve("w", 100, now)
	b.claim(claimed)
	b.recordRefusal(result.New(result.KeyWrong, "Wrong."), now)
	if _, ok := b.reserve("w", 400, now.Add(time.Minute)); ok {
		t.Error("bytes were reserved twice")
	}
	if _, ok := b.reserve("w", 400, now.Add(time.Minute+1)); !ok || b.heldBytes() != 500 {
		t.Errorf("%d bytes held after the expiry", b.heldBytes())
	}
	if b.claim(unclaimed) != nil || b.claim(claimed) != nil || len(b.pending) != 1 || len(b.byExpiry) != 1 {
		t.Errorf("%d pending, %d in expiry order", len(b.pending), len(b.byExpiry))
	}
}

// authenticateBakery accepts the key "secret" and no other.
func authenticateBakery(header func(string) string) (string, *result.Error) {
	if header("Walnut-Key") != "secret" {
		return "", result.New(result.KeyWrong, "Unknown.")
	}
	return "bakery", nil
}

// TestRefusedByHeadersAlone sends headers that announce a body but no byte of the body.
func TestRefusedByHeadersAlone(t *testing.T) {
	options := Options{MaxBodyBytes: 1000, MaxHeldBytes: 1500, Authenticate: authenticateBakery}
	f := start(t, options, func(context.Context, *pipeline.Exchange) error {
		t.Error("the pipeline was run")
		return nil
	})
	const head = "POST /x HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct{ name, head, code string }{
		{"wrong key", "Walnut-Key: guess\r\nContent-Length: 1000\r\n", "202"},
		{"no key, in chunks", "Transfer-Encoding: chunked\r\n", "202"},
		{"no key, expects 100-continue", "Expect: 100-continue\r\nContent-Length: 1000\r\n", "202"},
		{"too large", "Walnut-Key: secret\r\nContent-Length: 1001\r\n", "102"},
		{"above the limit of a workspace", "Walnut-Key: secret\r\nContent-Length: 800\r\n", "107"},
		{"forged Walnut-Arrival", "Walnut-Arrival: 1\r\nContent-Length: 1000\r\n", "202"},
	} {
		if c.code == "107" {
			if _, ok := f.reservations.reserve("bakery", 400, time.Now()); !ok {
				t.Fatal("no room")
			}
		}
		_, r := f.send(head + c.head + "\r\n")
		response := f.answer(r)
		if code := response.Header.Get("Walnut-Code"); code != c.code || response.Header.Get("Walnut-Ran") != "no" || !response.Close {
			t.Errorf("%s: got %v", c.name, response)
		}
		if wait := response.Header.Get("Retry-After-Ms"); (wait != "") != (c.code == "107") {
			t.Errorf("%s: retry after %q", c.name, wait)
		}
	}
}

// TestBodiesAreHeldUntilTheEnd checks that a body counts as held until its exchange ends,
// using a pipeline that waits.
func TestBodiesAreHeldUntilTheEnd(t *testing.T) {
	arrived, release := make(chan string, 1), make(chan struct{})
	options := Options{MaxBodyBytes: 1000, MaxHeldBytes: 1500, Authenticate: authenticateBakery}
	f := start(t, options, func(_ context.Context, ex *pipeline.Exchange) error {
		arrived <- string(ex.Body) + ex.Header[headerArrival]
		<-release
		ex.Status = http.StatusOK
		return nil
	})
	request := func(framing, body string) *bufio.Reader {
		_, r := f.send("POST /x HTTP/1.1\r\nHost: a\r\nWalnut-Key: secret\r\nWalnut-Arrival: 7\r\n" + framing + "\r\n\r\n" + body)
		return r
	}
	body := strings.Repeat("x", 700)
	for _, framing := range []struct{ head, body string }{
		{"Content-Length: 700", body},
		// The maximum body size is reserved until the length is known.
		{"Transfer-Encoding: chunked", "2bc\r\n" + body + "\r\n0\r\n\r\n"},
	} {
		held := request(framing.head, framing.body)
		if got := await(t, arrived); got != body || f.HeldBytes() != 700 {
			t.Errorf("%s: %d bytes held, body %q", framing.head, f.HeldBytes(), got)
		}
		if refused := f.answer(request("Content-Length: 101", strings.Repeat("x", 101))); refused.Header.Get("Walnut-Code") != "107" {
			t.Errorf("%s: got %v", framing.head, refused)
		}
		release <- struct{}{}
		if answered := f.answer(held); answered.StatusCode != http.StatusOK {
			t.Errorf("%s: got %v", framing.head, answered)
		}
		if err := f.end(); err != nil {
			t.Errorf("%s: ended with %v", framing.head, err)
		}
		for f.HeldBytes() > 0 { // the bytes are freed right after the exchange ends
			time.Sleep(time.Millisecond)
		}
	}
}

// TestReservationOfUnfinishedBodyExpires closes the connection in the middle of a body and
// checks that its bytes are freed.
func TestReservationOfUnfinishedBodyExpires(t *testing.T) {
	f := start(t, Options{MaxBodyBytes: 1000, ReadTimeout: 20 * time.Millisecond}, nil)
	f.reservations.timeout = 40 * time.Millisecond
	conn, _ := f.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nhalf")
	for f.HeldBytes() == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	for end := time.Now().Add(eventTimeout); f.HeldBytes() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes held", f.HeldBytes())
		}
		// Each new request with a body frees expired reservations.
		_, r := f.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n")
		_, _ = io.Copy(io.Discard, f.answer(r).Body)
	}
}
