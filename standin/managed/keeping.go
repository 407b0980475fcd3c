package managed

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// keepingTransport is an http.RoundTripper that uses connections until the other end closes
// them. It sends each request once.
type keepingTransport struct {
	mu   sync.Mutex
	idle map[string][]*keptConn
}

// keptConn is a connection of a keepingTransport.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// RoundTrip implements http.RoundTripper.
func (t *keepingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, router := request.Context(), request.URL.Host
	conn, err := t.take(ctx, router)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := request.Write(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	response.Body = &keptBody{ReadCloser: response.Body, conn: conn, whole: func() {
		if stop() {
			t.keep(router, conn)
		}
	}}
	return response, nil
}

// take returns an idle connection to a router, or opens one.
func (t *keepingTransport) take(ctx context.Context, router string) (*keptConn, error) {
	t.mu.Lock()
	if idle := t.idle[router]; len(idle) > 0 {
		conn := idle[len(idle)-1]
		t.idle[router] = idle[:len(idle)-1]
		t.mu.Unlock()
		return conn, nil
	}
	t.mu.Unlock()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", router)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (t *keepingTransport) keep(router string, conn *keptConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle[router] = append(t.idle[router], conn)
}

// CloseIdleConnections closes the idle connections; see http.Client.
func (t *keepingTransport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conns := range t.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	t.idle = make(map[string][]*keptConn)
}

// keptBody is the body of an answer on a keptConn.
type keptBody struct {
	io.ReadCloser
	conn *keptConn
	// whole is called when the body was read to its end.
	whole func()
	ended bool
}

// Read implements io.Reader.
func (b *keptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.whole()
	}
	return n, err
}

// Close implements io.Closer. It closes the connection if the body was not read to its end.
func (b *keptBody) Close() error {
	if !b.ended {
		return b.conn.Close()
	}
	return nil
}
