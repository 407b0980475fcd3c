package targets

import "testing"

// badFieldHeads have a header field that HTTP/1 does not allow.
var badFieldHeads = map[string]string{
	"blank in a name":              fieldHead("X Odd: v"),
	"blanks in a name":             fieldHead("X  Odd One: v"),
	"blank in a name of a length":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent Length: 2\r\n\r\nno",
	"blank in a name of a coding":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"blank in and after a name":    fieldHead("X Odd : v"),
	"blank in a name of a refusal": "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX Odd: v\r\nContent-Length: 0\r\n\r\n",
	"control byte in a name":       fieldHead("X\x01Odd: v"),
	"NUL in a name":                fieldHead("X\x00Odd: v"),
	"DEL in a name":                fieldHead("X\x7fOdd: v"),
	"tab in a name":                fieldHead("X\tOdd: v"),
	"tab after a name":             fieldHead("X-Odd\t: v"),
	"CR in a name":                 fieldHead("X\rOdd: v"),
	"byte above 0x7f in a name":    fieldHead("X\xe9Odd: v"),
	"delimiter in a name":          fieldHead("X(Odd: v"),
	"quote in a name":              fieldHead("X\"Odd: v"),
	"empty name":                   fieldHead(": v"),
	"no colon":                     fieldHead("X-Odd"),
	"NUL in a value":               fieldHead("X-Odd: a\x00b"),
	"CR in a value":                fieldHead("X-Odd: a\rb"),
	"control byte in a value":      fieldHead("X-Odd: a\x01b"),
	"two lengths":                  fieldHead("Content-Length: 3"),
	"length with a sign":           "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: +2\r\n\r\nno",
	"length of letters":            "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 0x2\r\n\r\nno",
	"list of lengths":              "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2, 2\r\n\r\nno",
	"unknown coding":               "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: gzip\r\n\r\nno",
	"two codings":                  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"chunked twice":                "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
}

// TestFieldThatHTTPDoesNotAllowIsNoAnswer guards against an answer with a blank or a control byte in the name of a
// field, or with another field that HTTP/1 does not allow, that reaches the caller.
func TestFieldThatHTTPDoesNotAllowIsNoAnswer(t *testing.T) {
	checkBadHeads(t, badFieldHeads)
}

// badCodingHeads have a transfer coding in a version of HTTP for which the parser ignores it.
var badCodingHeads = map[string]string{
	"chunked, HTTP/1.0":             "HTTP/1.0 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"chunked and length, HTTP/1.0":  "HTTP/1.0 200 OK\r\nX-Id: ID\r\nContent-Length: 12\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"chunked, HTTP/1.2":             "HTTP/1.2 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"chunked in capitals, HTTP/1.0": "HTTP/1.0 200 OK\r\nX-Id: ID\r\nTRANSFER-ENCODING: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
}

// TestChunkedHTTP10IsNoAnswer guards against an HTTP/1.0 answer in chunks that reaches the caller with the sizes of
// its chunks as a part of the body.
func TestChunkedHTTP10IsNoAnswer(t *testing.T) {
	checkBadHeads(t, badCodingHeads)
}
