package targets

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/walnutcove/walnutcove/result"
)

// badStatusHeads have a status line that HTTP/1 does not allow. "ID" stands for the request's id.
var badStatusHeads = map[string]string{
	"status 000":              "HTTP/1.1 000 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status 000, no reason":   "HTTP/1.1 000\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status 000, no body":     "HTTP/1.1 000 OK\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n",
	"status 000, chunked":     "HTTP/1.1 000 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"status 000, unframed":    "HTTP/1.1 000 OK\r\nX-Id: ID\r\n\r\nno",
	"status 000, HTTP/1.0":    "HTTP/1.0 000 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status 001":              "HTTP/1.1 001 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status 099":              "HTTP/1.1 099 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status 600":              "HTTP/1.1 600 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status 700":              "HTTP/1.1 700 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status 999":              "HTTP/1.1 999 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status of two digits":    "HTTP/1.1 20 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status of four digits":   "HTTP/1.1 2000 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status with a sign":      "HTTP/1.1 +20 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"status of letters":       "HTTP/1.1 2OO OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"no status":               "HTTP/1.1 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"switch of protocols":     "HTTP/1.1 101 Switching Protocols\r\nX-Id: ID\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/2.0":                "HTTP/2.0 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/0.9":                "HTTP/0.9 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1":                  "HTTP/1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"lower-case protocol":     "http/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"another protocol":        "ICAP/1.0 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"NUL in the reason":       "HTTP/1.1 200 O\x00K\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"CR in the reason":        "HTTP/1.1 200 O\rK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
	"interim 000, then a 200": "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno",
}

// fieldHead returns an answer with a line in its head.
func fieldHead(line string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno"
}

// TestStatusLineThatHTTPDoesNotAllowIsNoAnswer guards against an answer with status 000, or with another status
// line that is not HTTP/1, that reaches the caller.
func TestStatusLineThatHTTPDoesNotAllowIsNoAnswer(t *testing.T) {
	checkBadHeads(t, badStatusHeads)
}

// checkBadHeads checks that answers are refused wherever they stand on a connection and however they arrive, and that
// the fleet's own calls refuse them too.
func checkBadHeads(t *testing.T, heads map[string]string) {
	before := map[string]func(text string) []string{
		"first answer":          func(text string) []string { return []string{text} },
		"byte by byte":          func(text string) []string { return strings.Split(text, "") },
		"after interim answer":  func(text string) []string { return []string{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + text} },
		"after interim, apart":  func(text string) []string { return []string{"HTTP/1.1 103 Early Hints\r\n\r\n", text} },
		"after stray answer":    func(text string) []string { return []string{fullResponse("earlier", "no") + text} },
		"after an empty line":   func(text string) []string { return []string{"\r\n" + text} },
		"split before the body": func(text string) []string { return []string{text[:len(text)/2], text[len(text)/2:]} },
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := strings.ReplaceAll(head, "ID", "r1")
			for where, parts := range before {
				for _, kept := range []bool{false, true} {
					checkBadHead(t, where, parts(text), kept)
				}
			}
			own := strings.ReplaceAll(head, "X-Id: ID", "X-Other: 1")
			client := NewHTTPClient(Options{Dialect: echoDialect})
			defer client.Close()
			if body, err := client.Get(context.Background(), serveParts(t, false, []string{own}), "/report", nil); err == nil {
				t.Errorf("own call got the body %q", body)
			}
		})
	}
}

// checkBadHead calls a target that answers with a head that HTTP does not allow, in parts.
func checkBadHead(t *testing.T, where string, parts []string, kept bool) {
	t.Helper()
	client := NewHTTPClient(Options{Dialect: echoDialect})
	defer client.Close()
	address := serveParts(t, kept, parts)
	if kept {
		first, err := client.Do(context.Background(), Request{ID: "r0", Address: address, Method: "POST", Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(first.Body)
		first.Body.Close()
	}
	got, err := client.Do(context.Background(), Request{ID: "r1", Address: address, Method: "POST", Path: "/"})
	if err == nil {
		body, err := io.ReadAll(got.Body)
		got.Body.Close()
		t.Errorf("%s, kept %v: status %d, headers %q, body %q, %v", where, kept, got.Status, got.Header, body, err)
		return
	}
	var refused *result.Error
	if !errors.As(err, &refused) || refused.Code != result.TargetError || refused.Ran != result.RanUnknown {
		t.Errorf("%s, kept %v: %v", where, kept, err)
	}
}

// serveParts answers each request with the given parts, each written by itself, and closes the connection. If kept is
// set, it answers the first one with a whole answer and keeps the connection open.
func serveParts(t *testing.T, kept bool, parts []string) string {
	t.Helper()
	var calls atomic.Int32
	return serveConns(t, func(conn net.Conn) {
		serveRequests(conn, func(id string) (string, bool) {
			if kept && calls.Add(1) == 1 {
				return fullResponse(id, "first"), true
			}
			for _, part := range parts[:len(parts)-1] {
				if _, err := io.WriteString(conn, part); err != nil {
					return "", false
				}
			}
			return parts[len(parts)-1], false
		})
	})
}

// TestOddHeadsThatHTTPAllowsAreAnswers guards against refusing answers that are unusual, but that HTTP/1 allows or asks
// to accept.
func TestOddHeadsThatHTTPAllowsAreAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":                "HTTP/1.1 200\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"empty reason":             "HTTP/1.1 200 \r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"tab and Latin-1 reason":   "HTTP/1.1 200 \tO\xe9\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"blank after a name":       fieldHead("X-Odd : v"),
		"value of blanks":          fieldHead("X-Odd: \t"),
		"Latin-1 value":            fieldHead("X-Odd: \xe9"),
		"odd but allowed name":     fieldHead("x!#$%&'*+-.^_`|~9: a: b c"),
		"continued line":           fieldHead("X-Odd: a\r\n b c: d"),
		"later minor version":      "HTTP/1.2 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0":                 "HTTP/1.0 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"status 599":               "HTTP/1.1 599 Odd\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"status 299":               "HTTP/1.1 299 Odd\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"bad head in the body":     "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 37\r\n\r\nHTTP/1.1 000 OK\r\nX Odd: v\r\n\r\nHTTP/2.0",
		"colon and blank in value": fieldHead("Link: <a b>; x=y: z"),
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.ReplaceAll(head, "ID", "r1")
			for _, parts := range [][]string{{text}, strings.Split(text, "")} {
				client := NewHTTPClient(Options{Dialect: echoDialect})
				got, err := client.Do(context.Background(), Request{ID: "r1", Address: serveParts(t, false, parts), Method: http.MethodPost, Path: "/"})
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(got.Body); err != nil || !strings.HasSuffix(text, string(body)) {
					t.Errorf("body %q, %v", body, err)
				}
				got.Body.Close()
				client.Close()
			}
		})
	}
}
