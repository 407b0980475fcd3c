package front

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
)

// TestStatusTellsWhetherRequestRan checks that, where callers rely on the status alone,
// 408, 421, 429 and 503 are used only for requests that did not run, and that every
// request that did not run through no fault of the caller gets one of them.
func TestStatusTellsWhetherRequestRan(t *testing.T) {
	s := New(Options{Dialect: &dialect.Dialect{StatusTellsNotRun: true}}, nil)
	promises := map[int]bool{
		http.StatusRequestTimeout:     true,
		http.StatusMisdirectedRequest: true,
		http.StatusTooManyRequests:    true,
		http.StatusServiceUnavailable: true,
	}
	for _, row := range result.Table() {
		for _, ran := range []result.Ran{result.RanNo, result.RanUnknown, result.RanYes} {
			refusal := result.New(row.Code, "x")
			refusal.Ran = ran
			status := s.httpStatus(refusal)
			if promises[status] && ran != result.RanNo {
				t.Errorf("%s, ran %s: status %d", row.Name, ran, status)
			}
			if ran == result.RanNo && !promises[status] && !isCallerFault(row.Code) {
				t.Errorf("%s, not run: status %d", row.Name, status)
			}
		}
	}
}

// TestOverloadedRefusalAllowsQuickRetry checks that the refusal of an overloaded router
// allows its caller to retry at once on another connection, as another router may be idle.
func TestOverloadedRefusalAllowsQuickRetry(t *testing.T) {
	always := func(bool) bool { return true }
	f := start(t, Options{Shed: always}, answerEmpty)
	for range 20 {
		_, r := f.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		response := f.answer(r)
		after, err := strconv.Atoi(response.Header.Get("Retry-After-Ms"))
		if response.StatusCode != 503 || !response.Close || err != nil || after < 1 || after > 50 {
			t.Fatalf("status %d, close %v, retry after %q ms", response.StatusCode, response.Close, response.Header.Get("Retry-After-Ms"))
		}
	}
}

// TestConfirmShedGetsHostPathAndHeaders checks that ConfirmShed gets the host, path and headers
// of a request that is refused unread.
func TestConfirmShedGetsHostPathAndHeaders(t *testing.T) {
	shedRequests := make(chan string, 1)
	f := start(t, Options{
		Shed: func(bool) bool { return true },
		ConfirmShed: func(_ bool, host, path []byte, header func(name string) []byte) (bool, func()) {
			request := string(host) + " " + string(path) + " " + string(header("X-Key"))
			return true, func() { shedRequests <- request }
		},
	}, answerEmpty)
	_, r := f.send("POST /x/y?z HTTP/1.1\r\nHost: a\r\nX-Key: k\r\nContent-Length: 2\r\n\r\nhi")
	if response := f.answer(r); response.StatusCode != 503 || !response.Close {
		t.Errorf("status %d, close %v", response.StatusCode, response.Close)
	}
	if got := <-shedRequests; got != "a /x/y k" {
		t.Errorf("ConfirmShed got %q", got)
	}
}

// TestExemptRequestsAreServed checks that requests which ConfirmShed exempts are served, on new
// and on kept connections, and that the others are refused.
func TestExemptRequestsAreServed(t *testing.T) {
	var kept []bool
	f := start(t, Options{
		Shed: func(bool) bool { return true },
		ConfirmShed: func(isKept bool, _, path []byte, _ func(string) []byte) (bool, func()) {
			kept = append(kept, isKept)
			return string(path) == "/refused", nil
		},
	}, answerEmpty)
	conn, r := f.send("GET /served HTTP/1.1\r\nHost: a\r\n\r\n")
	for _, c := range []struct {
		next   string
		status int
	}{{"GET /served HTTP/1.1\r\nHost: a\r\n\r\n", 200}, {"GET /refused HTTP/1.1\r\nHost: a\r\n\r\n", 200}, {"", 503}} {
		if response := f.answer(r); response.StatusCode != c.status {
			t.Fatalf("status %d, want %d", response.StatusCode, c.status)
		}
		if _, err := io.WriteString(conn, c.next); err != nil && c.next != "" {
			t.Fatal(err)
		}
	}
	if want := []bool{false, true, true}; !slices.Equal(kept, want) {
		t.Errorf("kept: %v, want %v", kept, want)
	}
}
