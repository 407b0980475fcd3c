package front

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
)

// receivedRequest is a request as the pipeline received it.
type receivedRequest struct {
	method, path string
	body         []byte
	header       map[string]string
}

// sendRaw writes raw text on one connection. Once the connection is closed, it returns
// the requests that the pipeline received and the statuses of the answers.
func sendRaw(t *testing.T, raw string) (got []receivedRequest, statuses []int) {
	t.Helper()
	const quiet = 300 * time.Millisecond // the server closes the connection if no further request arrives
	var mu sync.Mutex
	f := start(t, Options{ReadTimeout: quiet, IdleTimeout: quiet}, func(_ context.Context, ex *pipeline.Exchange) error {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, receivedRequest{
			method: strings.Clone(ex.Method), path: strings.Clone(ex.Path), body: slices.Clone(ex.Body), header: maps.Clone(ex.Header),
		})
		ex.Status = http.StatusOK
		return nil
	})
	_, reader := f.send(raw)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
	mu.Lock()
	defer mu.Unlock()
	return got, statuses
}

// smuggledRequest is a request that a sender hides in the body of another one.
const smuggledRequest = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"

// ambiguous holds requests whose end different HTTP parsers may locate differently.
var ambiguous = map[string]string{
	"two lengths":              "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nabc" + smuggledRequest,
	"length, then chunks":      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggledRequest,
	"chunks, then length":      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 60\r\n\r\n0\r\n\r\n" + smuggledRequest,
	"chunks behind a tab":      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\tchunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + smuggledRequest,
	"space before the colon":   "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggledRequest,
	"two encodings":            "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n" + smuggledRequest,
	"unknown encoding":         "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggledRequest,
	"length with a sign":       "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc" + smuggledRequest,
	"negative length":          "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n" + smuggledRequest,
	"list of lengths":          "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc" + smuggledRequest,
	"length in hex":            "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc" + smuggledRequest,
	"length that overflows":    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551619\r\n\r\nabc" + smuggledRequest,
	"length behind a bare CR":  "GET /a HTTP/1.1\r\nHost: a\r\nX: a\rContent-Length: 3\r\n\r\nabc" + smuggledRequest,
	"chunk with a sign":        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n" + smuggledRequest,
	"chunk without its end":    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n" + smuggledRequest,
	"chunk that overflows":     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\nabc\r\n0\r\n\r\n" + smuggledRequest,
	"chunks in HTTP/1.0":       "POST /a HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggledRequest,
	"two hosts":                "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + smuggledRequest,
	"no host":                  "GET /a HTTP/1.1\r\n\r\n" + smuggledRequest,
	"space in the path":        "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n" + smuggledRequest,
	"zero byte in a header":    "GET /a HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n" + smuggledRequest,
	"another protocol's hello": "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + smuggledRequest,
}

// TestAmbiguousRequestsEndTheirConnection checks that nothing after a request with an
// ambiguous end is read as another request.
func TestAmbiguousRequestsEndTheirConnection(t *testing.T) {
	for name, raw := range ambiguous {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, statuses := sendRaw(t, raw)
			if len(statuses) != 1 {
				t.Errorf("%d answers: %v", len(statuses), statuses)
			}
			for _, request := range got {
				if request.path != "/a" {
					t.Errorf("%s %s was served", request.method, request.path)
				}
			}
		})
	}
}

// TestUnambiguousBodiesAreReadWhole checks that a body with an unambiguous end is read
// completely, and so is the request after it.
func TestUnambiguousBodiesAreReadWhole(t *testing.T) {
	for name, raw := range map[string]string{
		"length":           "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"chunks":           "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
		"chunk extensions": "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n",
		"trailers":         "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"capitals":         "POST /a HTTP/1.1\r\nHost: a\r\nTRANSFER-ENCODING: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, _ := sendRaw(t, raw+smuggledRequest)
			if len(got) != 2 || string(got[0].body) != "abc" || got[1].path != "/hidden" {
				t.Errorf("%d requests: %+v", len(got), got)
			}
		})
	}
}

// connectionHeaders apply to one connection and are never passed on.
var connectionHeaders = []string{"Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// FuzzCallers checks that, whatever a caller sends, each request that reaches the pipeline
// can be passed on to a target as exactly one request.
func FuzzCallers(f *testing.F) {
	for _, raw := range ambiguous {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		got, _ := sendRaw(t, raw)
		for _, request := range got {
			if strings.ContainsAny(request.method+request.path, " \r\n\x00") || !strings.HasPrefix(request.path, "/") {
				t.Errorf("method %q, path %q", request.method, request.path)
			}
			for name, value := range request.header {
				if strings.ContainsAny(name, " :\r\n\x00") || strings.ContainsAny(value, "\r\n\x00") {
					t.Errorf("header %q: %q", name, value)
				}
				if slices.Contains(connectionHeaders, http.CanonicalHeaderKey(name)) {
					t.Errorf("header %q is passed on", name)
				}
			}
		}
	})
}
