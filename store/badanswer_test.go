package store_test

import (
	"bytes"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/standin/rawhttp"
	"github.com/walnutcove/walnutcove/store"
)

// TestBadHeadOfThePlatformIsNoAnswer guards against a head that HTTP does not allow and that is taken for the
// platform's answer.
func TestBadHeadOfThePlatformIsNoAnswer(t *testing.T) {
	const body = "Connection: close\r\nContent-Length: 2\r\n\r\n{}"
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\n" + body,
		"blank in a name": "HTTP/1.1 200 OK\r\nX Odd: v\r\n" + body,
		"HTTP/2.0":        "HTTP/2.0 200 OK\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			address := rawhttp.Start(t, rawhttp.Answer(func(*http.Request) string { return head }))
			client := store.NewClient(store.Options{Address: address, Metrics: metrics.NewSet(), ReadAttempts: 1})
			defer client.Close()
			if err := client.Commit(background, insert("k")); !errors.Is(err, store.ErrUnknown) {
				t.Errorf("commit: %v", err)
			}
			if got, err := client.Objects().Get(background, "o"); !errors.Is(err, store.ErrUnavailable) {
				t.Errorf("object: %q, %v", got, err)
			}
			if _, err := client.ListVMs(background); !errors.Is(err, store.ErrUnavailable) {
				t.Errorf("list of VMs: %v", err)
			}
		})
	}
}

// TestEarlyAnswerCutDuringAnUploadIsNoAnswer guards against a part of an answer, cut by a reset while an object is being
// written, that is taken for a whole one.
func TestEarlyAnswerCutDuringAnUploadIsNoAnswer(t *testing.T) {
	for _, cut := range []rawhttp.Cut{{Reset: true}, {Reset: true, After: 20 * time.Millisecond}, {}, {After: 20 * time.Millisecond}} {
		address := rawhttp.Start(t, rawhttp.AnswerEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n{}" }, cut))
		client := store.NewClient(store.Options{Address: address, Metrics: metrics.NewSet()})
		if err := client.Objects().Put(background, "o", bytes.Repeat([]byte("x"), 16<<20)); !errors.Is(err, store.ErrUnknown) {
			t.Errorf("%+v: %v", cut, err)
		}
		client.Close()
	}
}
