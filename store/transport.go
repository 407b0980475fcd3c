package store

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/headcheck"
)

// call describes one call of the protocol.
type call struct {
	op     operation
	method string // GET if empty
	path   string
	query  url.Values
	body   []byte
	// knownTag is the entity tag of a response that the caller still holds; empty: none.
	knownTag string
}

// platformResponse is the response to a call.
type platformResponse struct {
	body []byte
	// etag is the response's entity tag; empty if the platform gives none.
	etag string
	// notModified means that the response held by the caller is still valid.
	notModified bool
}

// dialError reports that a connection could not be opened and nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connect: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func newHostClient(options Options) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      options.Address,
		MaxConns:                  options.MaxConns,
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxResponseBodySize:       MaxObjectBytes + 1<<20,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
		NoDefaultUserAgentHeader: true,
		DialTimeout: func(address string, left time.Duration) (net.Conn, error) {
			return dial(address, options.DialTimeout, left)
		},
	}
}

// dial opens a connection within limit, or within the time left for the call if
// that is shorter. The connection refuses heads that are no answer.
func dial(address string, limit, left time.Duration) (net.Conn, error) {
	if left > 0 {
		limit = min(limit, left)
	}
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return headcheck.NewConn(conn), nil
}

// readJSON makes a read, with retries, and decodes the response into reply.
func (c *Client) readJSON(ctx context.Context, call call, reply any) error {
	got, err := c.read(ctx, call)
	if err != nil {
		return err
	}
	return c.decode(call.op, got, reply)
}

// decode decodes the response to a read.
func (c *Client) decode(op operation, got platformResponse, reply any) error {
	if err := json.Unmarshal(got.body, reply); err != nil {
		return c.newFailure(op, ErrUnavailable, reasonBadReply, err)
	}
	return nil
}

// read makes a read and retries it after a jittered back-off. Since a read has no
// effect, a lost response counts as ErrUnavailable.
func (c *Client) read(ctx context.Context, call call) (platformResponse, error) {
	backoff := c.options.ReadBackoff
	for attempt := 1; ; attempt++ {
		got, failure := c.attempt(ctx, call)
		if failure == nil {
			return got, nil
		}
		if !failure.retryRead || attempt >= c.options.ReadAttempts || !sleep(ctx, jitter(backoff)) {
			return platformResponse{}, failure.asReadFailure()
		}
		c.counters.incRetries(call.op, failure.reason)
		backoff = min(2*backoff, c.options.MaxReadBackoff)
	}
}

// write makes a write within the write budget. It is not retried.
func (c *Client) write(ctx context.Context, call call) ([]byte, error) {
	if err := c.waitForWriteBudget(ctx, call.op); err != nil {
		return nil, err
	}
	got, failure := c.attempt(ctx, call)
	if failure != nil {
		return nil, failure
	}
	return got.body, nil
}

func (c *Client) waitForWriteBudget(ctx context.Context, op operation) error {
	reservation := c.budget.Reserve()
	wait := reservation.Delay()
	if !reservation.OK() || wait > c.options.MaxWriteWait {
		reservation.Cancel()
		return c.newFailure(op, ErrUnavailable, reasonBudget, nil)
	}
	if !sleep(ctx, wait) {
		reservation.Cancel()
		return c.newFailure(op, ErrUnavailable, reasonCancelled, ctx.Err())
	}
	return nil
}

// The states of an attempt.
const (
	attemptWaiting int32 = iota
	attemptSending
	attemptAbandoned
)

type attemptResult struct {
	status   int
	response platformResponse
	err      error
}

// attempt makes a call once. It returns as soon as ctx ends, even if the call
// itself continues in the background until its deadline.
func (c *Client) attempt(ctx context.Context, call call) (platformResponse, *Failure) {
	if ctx.Err() != nil {
		return platformResponse{}, c.newFailure(call.op, ErrUnavailable, reasonCancelled, ctx.Err())
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()

	var state atomic.Int32
	done := make(chan attemptResult, 1)
	c.counters.incCalls(call.op)
	err := c.pool.Go(func() {
		if state.CompareAndSwap(attemptWaiting, attemptSending) {
			done <- c.exchange(call, deadline)
		}
	})
	if err != nil {
		return platformResponse{}, c.newFailure(call.op, ErrUnavailable, reasonBusy, err)
	}

	select {
	case result := <-done:
		c.counters.observeDuration(call.op, started)
		return c.classify(call.op, result)
	case <-ctx.Done():
		c.counters.observeDuration(call.op, started)
		if state.CompareAndSwap(attemptWaiting, attemptAbandoned) {
			return platformResponse{}, c.newFailure(call.op, ErrUnavailable, reasonBusy, ctx.Err())
		}
		return platformResponse{}, c.newFailure(call.op, ErrUnknown, contextReason(ctx), ctx.Err())
	}
}

func contextReason(ctx context.Context) reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reasonTimeout
	}
	return reasonCancelled
}

// exchange sends the call and reads the complete response.
func (c *Client) exchange(call call, deadline time.Time) attemptResult {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)

	uri := "http://" + c.options.Address + call.path
	if len(call.query) > 0 {
		uri += "?" + call.query.Encode()
	}
	request.SetRequestURI(uri)
	if call.method != "" {
		request.Header.SetMethod(call.method)
	}
	if call.body != nil {
		request.SetBodyRaw(call.body)
	}
	if call.knownTag != "" {
		request.Header.Set(fasthttp.HeaderIfNoneMatch, call.knownTag)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return attemptResult{err: err}
	}
	got := platformResponse{
		body:        append([]byte{}, response.Body()...),
		etag:        string(response.Header.Peek(fasthttp.HeaderETag)),
		notModified: call.knownTag != "" && response.StatusCode() == fasthttp.StatusNotModified,
	}
	c.counters.addBytes(call.op, len(uri)+len(call.body), len(got.body))
	return attemptResult{status: response.StatusCode(), response: got}
}

// jitter returns a random duration from 0.5 to 1.5 times mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// sleep waits for d or until ctx ends. It reports whether the wait completed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
