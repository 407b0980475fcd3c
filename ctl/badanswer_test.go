package ctl

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/standin/rawhttp"
)

// TestBadHeadOfARouterIsNoAnswer guards against a head that HTTP does not allow and that is taken for a router's answer.
func TestBadHeadOfARouterIsNoAnswer(t *testing.T) {
	const body = `{"id":"p","version":8}`
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\nConnection: close\r\nContent-Length: 22\r\n\r\n" + body,
		"blank in a name": "HTTP/1.1 200 OK\r\nX Odd: v\r\nConnection: close\r\nContent-Length: 22\r\n\r\n" + body,
		"HTTP/2.0":        "HTTP/2.0 200 OK\r\nConnection: close\r\nContent-Length: 22\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			address := rawhttp.Start(t, rawhttp.Answer(func(*http.Request) string { return head }))
			client, err := NewClient(Options{Routers: []string{address}, RetryEvery: time.Millisecond, Attempts: 2})
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if status, err := client.Status(context.Background(), false); exitOf(err) != ExitUnavailable {
				t.Errorf("status %+v, %v", status, err)
			}
			if accepted, err := client.Submit(context.Background(), config.Patch{Base: 7, Changes: []byte("{}")}); exitOf(err) != ExitUnknown {
				t.Errorf("accepted %+v, %v", accepted, err)
			}
		})
	}
}
