package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/pipeline"
)

// start serves handler on loopback and returns the server and its URL.
func start(t *testing.T, options Options, handler pipeline.Handler) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(options, handler)
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return s, "http://" + listener.Addr().String()
}

func TestWholeAnswer(t *testing.T) {
	_, url := start(t, Options{}, func(_ context.Context, ex *pipeline.Exchange) error {
		ex.Status = http.StatusCreated
		ex.AnswerHeader = map[string]string{"Content-Type": "text/plain"}
		ex.AnswerBody = append([]byte("echo "), ex.Body...)
		return nil
	})
	response, err := http.Post(url+"/x", "text/plain", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "echo hello" || response.StatusCode != http.StatusCreated {
		t.Fatalf("got %d %q, %v", response.StatusCode, body, err)
	}
}
