package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/headcheck"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/result"
)

// Defaults of Options.
const (
	DefaultDialTimeout = 2 * time.Second
	DefaultCallTimeout = 25 * time.Second
	DefaultRetryEvery  = 500 * time.Millisecond
	DefaultAttempts    = 10
	DefaultPollEvery   = 500 * time.Millisecond
)

// maxAnswerBytes bounds an answer. A whole configuration of the largest size
// that is planned for has less than 10 MB.
const maxAnswerBytes = 64 << 20

// Options configures a Client. Zero durations and counts take the defaults.
type Options struct {
	// Routers are "ip:port" of operator listeners, tried in order. Required.
	Routers []string
	// Key is the operator key; empty sends none.
	Key string
	// DialTimeout bounds a connection attempt, CallTimeout one call.
	DialTimeout time.Duration
	CallTimeout time.Duration
	// RetryEvery is the pause before a patch with an unknown outcome is sent again,
	// and Attempts how often it is sent in total.
	RetryEvery time.Duration
	Attempts   int
	// PollEvery is the period at which Wait reads the status of the fleet.
	PollEvery time.Duration
}

// Client calls the operator API of a fleet. It is safe for concurrent use.
type Client struct {
	options Options
	http    *fasthttp.Client
}

// NewClient returns a client. It refuses addresses that are not "ip:port".
func NewClient(options Options) (*Client, error) {
	if len(options.Routers) == 0 {
		return nil, &Error{Exit: ExitUsage, Summary: "no router is named", Next: "name one or more with --router IP:PORT or WALNUT_ROUTERS"}
	}
	for _, address := range options.Routers {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, &Error{Exit: ExitUsage, Summary: fmt.Sprintf("router %q is not ip:port", address), Next: "use an IP number, for example 127.0.0.1:7002", Cause: err}
		}
	}
	options = withDefaults(options)
	c := &Client{options: options}
	c.http = &fasthttp.Client{
		Dial:                      c.dial,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxResponseBodySize:       maxAnswerBytes,
		NoDefaultUserAgentHeader:  true,
	}
	return c, nil
}

func withDefaults(options Options) Options {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.RetryEvery == 0 {
		options.RetryEvery = DefaultRetryEvery
	}
	if options.Attempts == 0 {
		options.Attempts = DefaultAttempts
	}
	if options.PollEvery == 0 {
		options.PollEvery = DefaultPollEvery
	}
	return options
}

// neverRetry disables fasthttp's own retries.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError reports that no connection was opened, so that nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// dial opens a connection that refuses heads that are no answer.
func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, c.options.DialTimeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return headcheck.NewConn(conn), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// apiRequest is a request to the operator API.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	body   any // encoded as JSON; nil for none
}

// transportError reports that a router could not be reached, or gave no valid answer.
type transportError struct {
	router string
	cause  error
}

func (e *transportError) Error() string { return e.router + ": " + e.cause.Error() }
func (e *transportError) Unwrap() error { return e.cause }

// mayBeSent reports whether the router may have received the request.
func (e *transportError) mayBeSent() bool {
	var notSent *dialError
	return !errors.As(e.cause, &notSent)
}

// send makes one call to one router and decodes the answer into answer. Errors
// are *transportError or *Error.
func (c *Client) send(ctx context.Context, router string, request apiRequest, answer any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.encodeRequest(req, router, request); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return &transportError{router: router, cause: &dialError{cause: err}}
	}
	if err := c.http.DoDeadline(req, resp, c.deadline(ctx)); err != nil {
		return &transportError{router: router, cause: err}
	}
	return decodeAnswer(router, resp, answer)
}

// encodeRequest fills in the HTTP request of an API request to a router.
func (c *Client) encodeRequest(req *fasthttp.Request, router string, request apiRequest) error {
	req.Header.SetMethod(request.method)
	target := url.URL{Scheme: "http", Host: router, Path: request.path, RawQuery: request.query.Encode()}
	req.SetRequestURI(target.String())
	if c.options.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.options.Key)
	}
	if request.body == nil {
		return nil
	}
	raw, err := json.Marshal(request.body)
	if err != nil {
		return &Error{Exit: ExitInvalid, Summary: "the request cannot be written as JSON: " + err.Error(), Cause: err}
	}
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	return nil
}

// deadline returns when a call that starts now ends: after CallTimeout, or with ctx.
func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.options.CallTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		return limit
	}
	return deadline
}

// decodeAnswer reads an answer's document. An answer that is not a document of this API
// counts as a missing one: the outcome is not known.
func decodeAnswer(router string, resp *fasthttp.Response, answer any) error {
	if resp.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), answer); err != nil {
			return &transportError{router: router, cause: fmt.Errorf("answer cannot be read: %w", err)}
		}
		return nil
	}
	var body operator.ErrorBody
	decoder := json.NewDecoder(bytes.NewReader(resp.Body()))
	if err := decoder.Decode(&body); err != nil || body.Code == 0 {
		return &transportError{router: router, cause: fmt.Errorf("status %d without a result code", resp.StatusCode())}
	}
	return routerError(body)
}

// read makes an idempotent call to the first router that can answer.
func (c *Client) read(ctx context.Context, request apiRequest, answer any) error {
	var failures []error
	for _, router := range c.options.Routers {
		err := c.send(ctx, router, request, answer)
		if err == nil {
			return nil
		}
		failures = append(failures, err)
		if !shouldTryNext(err) {
			break
		}
	}
	return allFailed(failures)
}

// shouldTryNext reports whether another router may succeed after err: the router
// asked did not answer, cannot reach the platform, or has no configuration yet.
func shouldTryNext(err error) bool {
	var transport *transportError
	if errors.As(err, &transport) {
		return true
	}
	code := resultCode(err)
	return code == result.PlatformUnavailable || code == result.NotReady
}

// allFailed returns the error after all routers failed, when nothing was changed: the last
// error answer of a router, or else that no router answered.
func allFailed(failures []error) error {
	for i := len(failures) - 1; i >= 0; i-- {
		var coded *Error
		if errors.As(failures[i], &coded) {
			return coded
		}
	}
	e := &Error{
		Exit:    ExitUnavailable,
		Summary: "no router answered",
		Next:    "check --router and that walnutd runs there (GET /healthz), or name other routers",
		Cause:   errors.Join(failures...),
	}
	for _, failure := range failures {
		e.Details = append(e.Details, failure.Error())
	}
	return e
}

// Config reads an accepted version; zero means the newest.
func (c *Client) Config(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	request := apiRequest{method: fasthttp.MethodGet, path: operator.PathConfig}
	if version > 0 {
		request.query = url.Values{"version": {strconv.FormatUint(uint64(version), 10)}}
	}
	snapshot := new(config.Snapshot)
	if err := c.read(ctx, request, snapshot); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// History reads up to limit versions, newest first; a limit of zero means the router's default.
func (c *Client) History(ctx context.Context, limit int) ([]operator.HistoryEntry, error) {
	request := apiRequest{method: fasthttp.MethodGet, path: operator.PathHistory}
	if limit > 0 {
		request.query = url.Values{"limit": {strconv.Itoa(limit)}}
	}
	var answer operator.HistoryAnswer
	err := c.read(ctx, request, &answer)
	return answer.Versions, err
}

// Status reads the status of the whole fleet, without targets, backlog and
// shards unless detail is set.
func (c *Client) Status(ctx context.Context, detail bool) (operator.Status, error) {
	request := apiRequest{method: fasthttp.MethodGet, path: operator.PathStatus, query: url.Values{"fleet": {"1"}}}
	if !detail {
		request.query.Set("detail", "0")
	}
	var status operator.Status
	err := c.read(ctx, request, &status)
	return status, err
}

// Drain starts the graceful shutdown of a router. It is idempotent, so it is sent
// to the next router when one does not answer.
func (c *Client) Drain(ctx context.Context, node string) error {
	request := apiRequest{method: fasthttp.MethodPost, path: operator.PathDrain, body: operator.DrainRequest{Node: node}}
	var started operator.DrainStarted
	return c.read(ctx, request, &started)
}

// resultCode returns the result code in err; OK if there is none.
func resultCode(err error) result.Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return result.OK
}
