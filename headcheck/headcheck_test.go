package headcheck

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// check checks a text in two parts, and returns the error and the number of bytes that a parser gets.
func check(text string, split int) (allowed int, err error) {
	var c Checker
	for _, part := range []string{text[:split], text[split:]} {
		n, err := c.Check([]byte(part))
		allowed += n
		if err != nil {
			return allowed, err
		}
	}
	return allowed, nil
}

// FuzzChecker guards against heads that the parser completes although a line is refused, against verdicts that depend on
// how the bytes arrive, and against heads that the two end at different places.
func FuzzChecker(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "\r\nHTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 103\nA: b\n\nHTTP/2.0 200\r\n\r\n",
		"HTTP/1.0 200 OK\r\nA: b\r\n c: d\r\n\r\n", "HTTP/1.1 600 O\x00K\r\nA B: c\r\n\r\n", "HTTP/1.1 200 OK\r\n\nA B: c\r\n\r\n",
	} {
		f.Add(text, 5)
	}
	f.Add("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 20)
	f.Fuzz(func(t *testing.T, text string, split int) {
		split = min(max(split, 0), len(text))
		allowed, err := check(text, 0)
		splitAllowed, splitErr := check(text, split)
		if !errors.Is(splitErr, err) || splitAllowed != allowed {
			t.Fatalf("split at %d: %d, %v; at once: %d, %v", split, splitAllowed, splitErr, allowed, err)
		}
		reader := bufio.NewReader(strings.NewReader(text[:allowed]))
		var header fasthttp.ResponseHeader
		for {
			if readErr := header.Read(reader); readErr != nil {
				return
			}
			if status := header.StatusCode(); status < 100 || status > 599 || status == fasthttp.StatusSwitchingProtocols {
				t.Fatalf("accepted status %d", status)
			}
			for name := range header.All() {
				if strings.Contains(string(name), " ") {
					t.Fatalf("accepted the name %q", name)
				}
			}
			if header.StatusCode() >= fasthttp.StatusOK {
				break
			}
		}
		if err != nil {
			t.Fatalf("the parser completed a head that is refused: %v", err)
		}
	})
}

// TestConnChecksEachAnswer guards against a connection that checks only its first answer, or takes a body for a head.
func TestConnChecksEachAnswer(t *testing.T) {
	client, server := net.Pipe()
	conn := NewConn(client)
	defer conn.Close()
	answers := []string{"HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n"}
	go func() {
		request := make([]byte, 1)
		for _, answer := range answers {
			if _, err := io.ReadFull(server, request); err != nil {
				return
			}
			_, _ = io.WriteString(server, answer)
		}
		server.Close()
	}()
	for n, answer := range answers {
		if _, err := io.WriteString(conn, "x"); err != nil {
			t.Fatal(err)
		}
		read := make([]byte, len(answer))
		got, err := io.ReadFull(conn, read)
		if want := n == 1; errors.Is(err, ErrStatus) != want {
			t.Errorf("answer %d: %q, %v", n, read[:got], err)
		}
	}
}

// BenchmarkChecker measures what the check adds to a request.
func BenchmarkChecker(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt: 9c41d07be2a35f68\r\nX-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"X-Load: 3/64\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n")
	var c Checker
	for b.Loop() {
		c.Reset()
		if _, err := c.Check(head); err != nil {
			b.Fatal(err)
		}
	}
}
