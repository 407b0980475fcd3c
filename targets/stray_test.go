package targets

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/standin/rawhttp"
)

// echoDialect is a dialect whose targets echo the id of each request.
var echoDialect = &dialect.Dialect{
	RequestID:      "X-Id",
	EchoesID:       true,
	CloseDelimited: true,
	RefusedNotRun:  func(int, dialect.Getter) bool { return false },
}

// serveConns accepts connections and passes each to serve.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return rawhttp.Start(t, serve)
}

// serveRaw answers each request on a connection with what answer returns for its id.
func serveRaw(t *testing.T, answer func(id string) string) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			text := answer(request.Header.Get("X-Id"))
			if _, err := io.WriteString(conn, text); err != nil || text == "" {
				return
			}
		}
	})
}

func fullResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestStrayAnswersAreSkipped checks that a late second answer to an earlier request, read in
// place of the next answer, is not passed to any caller.
func TestStrayAnswersAreSkipped(t *testing.T) {
	client := NewHTTPClient(Options{Dialect: echoDialect})
	defer client.Close()
	earlier := ""
	address := serveRaw(t, func(id string) string {
		text := fullResponse(id, "for "+id)
		if earlier != "" {
			text = fullResponse(earlier, "again for "+earlier) + text
		}
		earlier = id
		return text
	})
	for n := range 5 {
		id := fmt.Sprintf("r%d", n)
		answer, err := client.Do(context.Background(), Request{ID: id, Address: address, Method: "GET", Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err != nil || string(body) != "for "+id {
			t.Errorf("%s got %q, %v", id, body, err)
		}
	}
}

// TestOnlyStrayAnswerIsLostRequest checks that if only another request's answer arrives, the
// request counts as possibly run, and nothing of that answer is passed on.
func TestOnlyStrayAnswerIsLostRequest(t *testing.T) {
	client := NewHTTPClient(Options{Dialect: echoDialect})
	defer client.Close()
	address := serveRaw(t, func(string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: other\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"
	})
	_, err := client.Do(context.Background(), Request{ID: "mine", Address: address, Method: "GET", Path: "/"})
	var resultErr *result.Error
	if !errors.As(err, &resultErr) || resultErr.Code != result.TargetLostRequest || resultErr.Ran != result.RanUnknown {
		t.Errorf("got %v", err)
	}
}

// TestUnframedAnswerEndsWithConnection checks that an answer without a length ends with a clean
// close of the connection.
func TestUnframedAnswerEndsWithConnection(t *testing.T) {
	client := NewHTTPClient(Options{Dialect: echoDialect})
	defer client.Close()
	address := serveOnce(t, "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nall of it")
	answer, err := client.Do(context.Background(), Request{ID: "mine", Address: address, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "all of it" {
		t.Errorf("got %q, %v", body, err)
	}
}

// TestStrayBeforeReportIsSkipped guards against a late second answer to a caller's request that is
// taken for the answer to a call of the fleet itself, on the connection that both used.
func TestStrayBeforeReportIsSkipped(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"queued\":3}"
	client := NewHTTPClient(Options{Dialect: echoDialect})
	defer client.Close()
	address := serveRaw(t, func(id string) string {
		if id != "" {
			return fullResponse(id, "{}")
		}
		return fullResponse("earlier", "{}") + report
	})
	answer, err := client.Do(t.Context(), Request{ID: "earlier", Address: address, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(answer.Body); err != nil {
		t.Fatal(err)
	}
	if load, err := client.Load(t.Context(), address); err != nil || load.Queued != 3 {
		t.Errorf("got %+v, %v", load, err)
	}
}

// TestStrayWithAnIDIsSkipped guards against the answer to another request in a dialect whose targets
// need not repeat ids, where they do.
func TestStrayWithAnIDIsSkipped(t *testing.T) {
	d := *echoDialect
	d.EchoesID = false
	client := NewHTTPClient(Options{Dialect: &d})
	defer client.Close()
	address := serveRaw(t, func(id string) string { return fullResponse("other", "for other") + fullResponse(id, "for "+id) })
	answer, err := client.Do(t.Context(), Request{ID: "mine", Address: address, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "for mine" {
		t.Errorf("got %q, %v", body, err)
	}
}
