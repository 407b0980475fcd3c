package load

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Verdict judges what a caller got.
type Verdict int

// The verdicts.
const (
	// Answered: the answer was whole and the request's own.
	Answered Verdict = iota
	// Refused: the router gave a numbered result instead of an answer.
	Refused
	// Broken: the connection broke, and the caller could see that it did.
	Broken
	// Wrong: the answer looked whole but was truncated or another's.
	Wrong
	// Unreachable: no connection to the router could be opened.
	Unreachable
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"answered", "refused", "broken", "wrong", "unreachable"}[v]
}

// Result is what became of one request.
type Result struct {
	Request Request
	Router  string
	Verdict Verdict
	// RequestID is the router's id of the request; empty if no head came.
	RequestID string
	// Code and Ran are the router's numbered result; zero and empty if answered.
	Code int
	Ran  string
	// RetryAfter is the router's advice; zero if it gave none.
	RetryAfter time.Duration
	// Detail says what was wrong.
	Detail string
	// Start, FirstPart and End are when the request was sent, when the first
	// part of the body came, and when the last did.
	Start     time.Time
	FirstPart time.Time
	End       time.Time
}

// Client sends requests. It opens connections as needed, keeps them, and never
// sends a request twice.
type Client struct {
	http fasthttp.Client
}

// NewClient returns a client that gives a router timeout to begin and to go on
// answering.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: fasthttp.Client{
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

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends one request to a router and waits for the whole answer.
func (c *Client) Send(router string, r Request) Result {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	r.write(request, router)
	done := Result{Request: r, Router: router, Start: time.Now()}
	err := c.http.Do(request, response)
	done.RequestID = string(response.Header.Peek("Walnut-Request-Id"))
	if err != nil {
		done.End = time.Now()
		return failed(done, err)
	}
	body, err := readBody(response, &done)
	done.End = time.Now()
	if err != nil {
		return failed(done, err)
	}
	return judge(done, response, body)
}

// readBody reads the body and notes when its first part came.
func readBody(response *fasthttp.Response, done *Result) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil {
		done.FirstPart = time.Now()
		return response.Body(), nil
	}
	defer func() { _ = response.CloseBodyStream() }()
	return io.ReadAll(&firstPartReader{Reader: stream, result: done})
}

type firstPartReader struct {
	io.Reader
	result *Result
}

// Read implements io.Reader.
func (f *firstPartReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if n > 0 && f.result.FirstPart.IsZero() {
		f.result.FirstPart = time.Now()
	}
	return n, err
}

func failed(done Result, err error) Result {
	done.Verdict = Broken
	done.Detail = err.Error()
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		done.Verdict = Unreachable
	}
	if errors.Is(err, fasthttp.ErrDialTimeout) {
		done.Verdict = Unreachable
	}
	return done
}

// refusal is the JSON document of a numbered result; see docs/CALLERS.md.
type refusal struct {
	Error struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

func judge(done Result, response *fasthttp.Response, body []byte) Result {
	if response.StatusCode() == fasthttp.StatusOK {
		done.Detail = done.Request.check(body)
		if done.Detail != "" {
			done.Verdict = Wrong
		}
		return done
	}
	done.Verdict = Refused
	var document refusal
	if err := json.Unmarshal(body, &document); err != nil || document.Error.Code == 0 {
		done.Detail = "status " + strconv.Itoa(response.StatusCode()) + " without a numbered result"
		return done
	}
	done.Code = document.Error.Code
	done.Ran = document.Error.Ran
	done.Detail = document.Error.Message
	millis, err := strconv.Atoi(string(response.Header.Peek("Retry-After-Ms")))
	if err == nil {
		done.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return done
}
