package managed

import (
	"bufio"
	"fmt"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

// sendUnframed sends the head that was set on ctx without a length and without chunked
// encoding, and then what write writes. The answer ends with its connection.
func (r *Replica) sendUnframed(ctx *fasthttp.RequestCtx, write func(w *bufio.Writer)) {
	head := unframedHead(&ctx.Response)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		w := bufio.NewWriter(conn)
		// Errors of a bufio.Writer stick: the last Flush returns them.
		_, _ = w.WriteString(head)
		write(w)
		_ = w.Flush() // fails if the caller has gone away
	})
}

// unframedHead returns the head of an answer without the headers that frame its body.
func unframedHead(response *fasthttp.Response) string {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d OK\r\n", response.StatusCode())
	for name, value := range response.Header.All() {
		switch string(name) {
		case fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderConnection:
		default:
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	head.WriteString("\r\n")
	return head.String()
}
