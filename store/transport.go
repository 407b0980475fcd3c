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
)

// call is one call of the protocol, before it is sent.
type call struct {
	op     operation
	method string // GET if empty
	path   string
	query  url.Values
	body   []byte
	// known is the entity tag of an answer that the caller still holds; empty: none.
	known string
}

// answer is what a call gave.
type answer struct {
	body []byte
	// tag is the answer's entity tag; empty if the platform gives none.
	tag string
	// unchanged says that the answer is the one that the caller holds.
	unchanged bool
}

// dialError marks a connection that could not be opened: nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connect: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func newHostClient(options Options) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      options.Address,
		MaxConns:                  options.MaxConns,
		MaxIdleConnDuration:       maxIdleConn,
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

// dial opens a connection within limit, or within what is left of the call.
func dial(address string, limit, left time.Duration) (net.Conn, error) {
	if left > 0 {
		limit = min(limit, left)
	}
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// readJSON makes a read, with retries, and decodes its answer into reply.
func (c *Client) readJSON(ctx context.Context, call call, reply any) error {
	got, err := c.read(ctx, call)
	if err != nil {
		return err
	}
	return c.decode(call.op, got, reply)
}

// decode decodes the answer of a read.
func (c *Client) decode(op operation, got answer, reply any) error {
	if err := json.Unmarshal(got.body, reply); err != nil {
		return c.fail(op, ErrUnavailable, reasonBadReply, err)
	}
	return nil
}

// read makes a read and tries again after a jittered back-off. A read has no
// effect, so an answer that got lost is ErrUnavailable too.
func (c *Client) read(ctx context.Context, call call) (answer, error) {
	backoff := c.options.ReadBackoff
	for attempt := 1; ; attempt++ {
		got, failure := c.try(ctx, call)
		if failure == nil {
			return got, nil
		}
		if !failure.retryRead || attempt >= c.options.ReadAttempts || !sleep(ctx, jitter(backoff)) {
			return answer{}, failure.forRead()
		}
		c.counters.retry(call.op, failure.reason)
		backoff = min(2*backoff, c.options.MaxReadBackoff)
	}
}

// write makes a write, once, within the write budget.
func (c *Client) write(ctx context.Context, call call) ([]byte, error) {
	if err := c.spendBudget(ctx, call.op); err != nil {
		return nil, err
	}
	got, failure := c.try(ctx, call)
	if failure != nil {
		return nil, failure
	}
	return got.body, nil
}

func (c *Client) spendBudget(ctx context.Context, op operation) error {
	reservation := c.budget.Reserve()
	wait := reservation.Delay()
	if !reservation.OK() || wait > c.options.MaxWriteWait {
		reservation.Cancel()
		return c.fail(op, ErrUnavailable, reasonBudget, nil)
	}
	if !sleep(ctx, wait) {
		reservation.Cancel()
		return c.fail(op, ErrUnavailable, reasonCancelled, ctx.Err())
	}
	return nil
}

// The states of one try.
const (
	tryWaiting int32 = iota
	trySending
	tryAbandoned
)

type tryResult struct {
	status int
	answer answer
	err    error
}

// try makes a call once. It returns as soon as ctx ends, even where the call
// itself goes on in the background until its time limit.
func (c *Client) try(ctx context.Context, call call) (answer, *Failure) {
	if ctx.Err() != nil {
		return answer{}, c.fail(call.op, ErrUnavailable, reasonCancelled, ctx.Err())
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()

	var state atomic.Int32
	done := make(chan tryResult, 1)
	c.counters.call(call.op)
	err := c.pool.Go(func() {
		if state.CompareAndSwap(tryWaiting, trySending) {
			done <- c.exchange(call, deadline)
		}
	})
	if err != nil {
		return answer{}, c.fail(call.op, ErrUnavailable, reasonBusy, err)
	}

	select {
	case result := <-done:
		c.counters.duration(call.op, started)
		return c.classify(call.op, result)
	case <-ctx.Done():
		c.counters.duration(call.op, started)
		if state.CompareAndSwap(tryWaiting, tryAbandoned) {
			return answer{}, c.fail(call.op, ErrUnavailable, reasonBusy, ctx.Err())
		}
		return answer{}, c.fail(call.op, ErrUnknown, endReason(ctx), ctx.Err())
	}
}

func endReason(ctx context.Context) reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reasonTimeout
	}
	return reasonCancelled
}

// exchange sends the call and reads its answer whole.
func (c *Client) exchange(call call, deadline time.Time) tryResult {
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
	if call.known != "" {
		request.Header.Set(fasthttp.HeaderIfNoneMatch, call.known)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return tryResult{err: err}
	}
	got := answer{
		body:      append([]byte{}, response.Body()...),
		tag:       string(response.Header.Peek(fasthttp.HeaderETag)),
		unchanged: call.known != "" && response.StatusCode() == fasthttp.StatusNotModified,
	}
	c.counters.bytes(call.op, len(uri)+len(call.body), len(got.body))
	return tryResult{status: response.StatusCode(), answer: got}
}

// jitter returns a random duration from half of mean to one and a half.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// sleep waits for d and says whether ctx was still alive at its end.
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
