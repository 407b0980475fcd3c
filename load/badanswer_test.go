package load

import (
	"net/http"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/standin/rawhttp"
)

// TestBadHeadIsBroken guards against a head that HTTP does not allow and that is counted as an answer.
func TestBadHeadIsBroken(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nno",
	} {
		client := NewClient(time.Second)
		address := rawhttp.Start(t, rawhttp.Answer(func(*http.Request) string { return head }))
		if got := client.Send(address, Request{}); got.Verdict != Broken {
			t.Errorf("%q: %s, %s", head, got.Verdict, got.Detail)
		}
		client.Close()
	}
}
