package load

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/headcheck"
)

// Verdict classifies the outcome of a request as its caller sees it.
type Verdict int

// The verdicts.
const (
	// Answered: the answer was complete and belongs to the request.
	Answered Verdict = iota
	// Refused: the router sent a result code instead of an answer.
	Refused
	// Broken: the connection failed in a way that the caller could detect.
	Broken
	// Wrong: the answer looked complete, but was truncated or belongs to another
	// request.
	Wrong
	// Unreachable: no connection to the router could be opened.
	Unreachable
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"answered", "refused", "broken", "wrong", "unreachable"}[v]
}

// Result is the outcome of one request.
type Result struct {
	Request Request
	Router  string
	Verdict Verdict
	// RequestID is the id that the router gave the request; empty if no response
	// header arrived.
	RequestID string
	// Code and Ran are the result code and whether the request ran, as the router
	// reported them; zero and empty if it answered.
	Code int
	Ran  string
	// RetryAfter is the delay before a retry that the router asked for; zero if it
	// asked for none.
	RetryAfter time.Duration
	// Detail describes what went wrong.
	Detail string
	// Start, FirstPart and End are when the request was sent, when the first part
	// of the body arrived, and when its last part did.
	Start     time.Time
	FirstPart time.Time
	End       time.Time
}

// Client sends requests. It opens connections as needed, reuses them, and never
// retries a request.
type Client struct {
	http fasthttp.Client
}

// NewClient returns a client with a timeout for the start of an answer and for
// each further part of it.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: fasthttp.Client{
		Dial:                          dial,
		ReadTimeout:                   timeout,
		WriteTimeout:                  timeout,
		MaxConnsPerHost:               1 << 14,
		MaxIdleConnDuration:           10 * time.Second,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:            true,
		DisableHeaderNamesNormalizing: false,
	}}
}

// dial opens a connection that refuses heads that are no answer.
func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return headcheck.NewConn(conn), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends one request to a router and waits for the end of the answer.
func (c *Client) Send(router string, r Request) Result {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	r.fillHTTP(request, router)
	result := Result{Request: r, Router: router, Start: time.Now()}
	err := c.http.Do(request, response)
	result.RequestID = string(response.Header.Peek("Walnut-Request-Id"))
	if err != nil {
		result.End = time.Now()
		return failedResult(result, err)
	}
	body, err := readBody(response, &result)
	result.End = time.Now()
	if err != nil {
		return failedResult(result, err)
	}
	return classifyResponse(result, response, body)
}

// readBody reads the body and sets result.FirstPart to when its first part arrived.
func readBody(response *fasthttp.Response, result *Result) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil {
		result.FirstPart = time.Now()
		return response.Body(), nil
	}
	defer func() { _ = response.CloseBodyStream() }()
	return io.ReadAll(&firstPartTimer{Reader: stream, result: result})
}

// firstPartTimer sets the result's FirstPart at the first read that returns data.
type firstPartTimer struct {
	io.Reader
	result *Result
}

// Read implements io.Reader.
func (timer *firstPartTimer) Read(p []byte) (int, error) {
	n, err := timer.Reader.Read(p)
	if n > 0 && timer.result.FirstPart.IsZero() {
		timer.result.FirstPart = time.Now()
	}
	return n, err
}

// failedResult returns the result of a request that failed without a complete
// response.
func failedResult(result Result, err error) Result {
	result.Verdict = Broken
	result.Detail = err.Error()
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		result.Verdict = Unreachable
	}
	if errors.Is(err, fasthttp.ErrDialTimeout) {
		result.Verdict = Unreachable
	}
	return result
}

// errorDocument is the JSON document that carries a result code; see
// docs/CALLERS.md.
type errorDocument struct {
	Error struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// classifyResponse returns the result of a request that got a complete response.
func classifyResponse(result Result, response *fasthttp.Response, body []byte) Result {
	if response.StatusCode() == fasthttp.StatusOK {
		result.Detail = result.Request.checkBody(body)
		if result.Detail != "" {
			result.Verdict = Wrong
		}
		return result
	}
	result.Verdict = Refused
	var decoded errorDocument
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error.Code == 0 {
		result.Detail = "status " + strconv.Itoa(response.StatusCode()) + " without a result code"
		return result
	}
	result.Code = decoded.Error.Code
	result.Ran = decoded.Error.Ran
	result.Detail = decoded.Error.Message
	millis, err := strconv.Atoi(string(response.Header.Peek("Retry-After-Ms")))
	if err == nil {
		result.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return result
}
