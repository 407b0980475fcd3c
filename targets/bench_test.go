package targets_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/targets"
)

// benchTokens is the number of tokens of a streamed answer in the benchmarks.
const benchTokens = 256

var (
	benchEvent  = `data: {"choices":[{"index":0,"delta":{"content":"abc.12 "},"finish_reason":null}]}` + "\n\n"
	benchChunk  = fmt.Sprintf("%x\r\n%s\r\n", len(benchEvent), benchEvent)
	benchStream = []byte(chunkedHead + strings.Repeat(benchChunk, benchTokens) + "0\r\n\r\n")
	benchWhole  = []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 500\r\n\r\n" + strings.Repeat("x", 500))
	benchBody   = []byte(`{"model":"m","prompt":"` + strings.Repeat("p", 1000) + `"}`)
)

// replayServer answers every request that ends with benchBody with the same bytes. It allocates
// nothing per request.
func replayServer(b *testing.B, answer []byte) string {
	return scriptServer(b, func(c net.Conn) {
		buffer := make([]byte, 16<<10)
		used := 0
		for {
			n, err := c.Read(buffer[used:])
			if err != nil {
				return
			}
			used += n
			if !bytes.HasSuffix(buffer[:used], benchBody) {
				continue
			}
			used = 0
			if _, err := c.Write(answer); err != nil {
				return
			}
		}
	})
}

// readAll reads as a relay does and returns the number of bytes.
func readAll(b *testing.B, r io.Reader, buffer []byte) int {
	total := 0
	for {
		n, err := r.Read(buffer)
		total += n
		if err == io.EOF {
			return total
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

func benchClient(b *testing.B, answer []byte, want int) {
	client := newClient(b, targets.Options{})
	address := replayServer(b, answer)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := targets.Request{
		ID: "0123456789abcdef", Address: address, Method: "POST", Path: "/v1/completions", Body: benchBody,
		Header: map[string]string{"Content-Type": "application/json", "Accept": "*/*"},
	}
	buffer := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Do(ctx, req)
		if err != nil {
			b.Fatal(err)
		}
		if n := readAll(b, resp.Body, buffer); n != want {
			b.Fatalf("%d bytes", n)
		}
		resp.Body.Close()
	}
}

// benchBareSocket runs the same exchange over a bare socket: the cost of a call without the
// client.
func benchBareSocket(b *testing.B, answer []byte) {
	c, err := net.Dial("tcp", replayServer(b, answer))
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	request := append([]byte("POST /v1/completions HTTP/1.1\r\n\r\n"), benchBody...)
	buffer := make([]byte, 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		for left := len(answer); left > 0; {
			n, err := c.Read(buffer)
			if err != nil {
				b.Fatal(err)
			}
			left -= n
		}
	}
}

// BenchmarkWhole measures one request with a 500-byte answer over loopback.
func BenchmarkWhole(b *testing.B) {
	b.Run("client", func(b *testing.B) { benchClient(b, benchWhole, 500) })
	b.Run("floor", func(b *testing.B) { benchBareSocket(b, benchWhole) })
}

// BenchmarkStream measures one request with an answer of 256 chunks over loopback; divide by
// 256 for the cost of a token that arrives together with others.
func BenchmarkStream(b *testing.B) {
	b.Run("client", func(b *testing.B) { benchClient(b, benchStream, benchTokens*len(benchEvent)) })
	b.Run("floor", func(b *testing.B) { benchBareSocket(b, benchStream) })
}

// tokenServer starts a stream on each connection and sends one token for each value on next.
func tokenServer(b *testing.B) (address string, next chan struct{}) {
	next = make(chan struct{})
	b.Cleanup(func() { close(next) })
	chunk := []byte(benchChunk)
	address = scriptServer(b, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 16<<10))
		_, _ = io.WriteString(c, chunkedHead)
		for range next {
			if _, err := c.Write(chunk); err != nil {
				return
			}
		}
	})
	return address, next
}

func readTokens(b *testing.B, next chan<- struct{}, r io.Reader, want int) {
	buffer := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		next <- struct{}{}
		if n, err := r.Read(buffer); err != nil || n != want {
			b.Fatal(n, err)
		}
	}
}

// BenchmarkToken measures one token that arrives and is read on its own.
func BenchmarkToken(b *testing.B) {
	b.Run("client", func(b *testing.B) {
		address, next := tokenServer(b)
		client := newClient(b, targets.Options{})
		resp, err := client.Do(context.Background(), targets.Request{Address: address, Method: "GET", Path: "/"})
		if err != nil {
			b.Fatal(err)
		}
		defer resp.Body.Close()
		readTokens(b, next, resp.Body, len(benchEvent))
	})
	b.Run("floor", func(b *testing.B) {
		address, next := tokenServer(b)
		c, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write([]byte("x"))
		if _, err := io.ReadFull(c, make([]byte, len(chunkedHead))); err != nil {
			b.Fatal(err)
		}
		readTokens(b, next, c, len(benchChunk))
	})
}
