package targets

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
)

// maxLoadBytes bounds the size of a load report.
const maxLoadBytes = 1 << 20

// HTTPClient implements Client over HTTP/1.1. It has its own small pool of connections, because
// it must know for every request whether a byte of it was written, and must be able to end a
// run by closing its connection. It is safe for concurrent use.
type HTTPClient struct {
	options  Options
	requests *counters
	polls    *counters
	orders   *counters
	notices  *noticeCounters
	pool     *pool
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client. Close releases its idle connections.
func NewHTTPClient(options Options) *HTTPClient {
	options = options.withDefaults()
	set := options.Metrics
	return &HTTPClient{
		options:  options,
		requests: newRequestCounters(set),
		polls:    newCounters(set, "walnut_load_poll_requests_total", "walnut_load_poll_failures_total"),
		orders:   newCounters(set, "walnut_order_calls_total", "walnut_order_call_failures_total"),
		notices:  newNoticeCounters(set),
		pool:     newPool(options),
	}
}

// Close closes the idle connections. Calls in progress continue.
func (c *HTTPClient) Close() error {
	c.pool.close()
	return nil
}

// callerCheckDelay is the wait for a connection after which it is worth a system call to check
// whether the caller is still there. Targets accept a connection within a few milliseconds; on
// a router without spare CPU time it took half a second and more, and callers had gone by then.
const callerCheckDelay = 20 * time.Millisecond

var errCallerGone = errors.New("target: the caller was gone before the connection was established")

// Do implements Client.
func (c *HTTPClient) Do(ctx context.Context, req Request) (*Response, error) {
	return c.call(ctx, req, c.requests)
}

func (c *HTTPClient) call(ctx context.Context, req Request, counters *counters) (*Response, error) {
	counters.calls.Inc()
	if !validPath(req.Path) || req.Method == "" {
		return nil, counters.newError(reasonBadRequest, result.BadRequest, result.RanNo, nil)
	}
	if ctx.Err() != nil {
		return nil, dialError(ctx, counters, ctx.Err())
	}
	connectStart := time.Now()
	cn, err := c.connect(ctx, &req)
	if err != nil {
		return nil, dialError(ctx, counters, err)
	}
	if req.IsCallerGone != nil && time.Since(connectStart) >= callerCheckDelay && req.IsCallerGone() {
		c.pool.put(cn)
		return nil, counters.newError(reasonCancelledEarly, result.CallerGone, result.RanNo, errCallerGone)
	}
	// On a busy router, up to three seconds passed between grant and write; the target may have
	// announced meanwhile that it is leaving.
	if req.TargetServes != nil && !req.TargetServes() {
		c.pool.put(cn)
		return nil, counters.newError(reasonTargetLeft, result.TargetLeft, result.RanNo, nil)
	}
	ex := &exchange{client: c, counters: counters, ctx: ctx, conn: cn, stallTimeout: req.StallTimeout, listing: c.options.Listing()}
	if ctx.Done() != nil {
		ex.stopContextClose = context.AfterFunc(ctx, func() { cn.Conn.Close() })
	}
	if req.OnCallerGone != nil {
		ex.stopCallerHook = req.OnCallerGone(func() { cn.Conn.Close() })
	}
	resp, err := ex.run(&req)
	if err != nil {
		ex.discard()
		return nil, err
	}
	return resp, nil
}

// connect gets a connection by the request's deadline, even if ctx has no deadline.
func (c *HTTPClient) connect(ctx context.Context, req *Request) (*conn, error) {
	if _, bounded := ctx.Deadline(); !bounded && !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	return c.pool.get(ctx, req.Address)
}

// Get sends a GET request of the fleet itself, rather than of a caller, to a target and returns
// the body of the answer.
func (c *HTTPClient) Get(ctx context.Context, address, path string, header map[string]string) ([]byte, error) {
	req := Request{Address: address, Method: fasthttp.MethodGet, Path: path, Header: header}
	resp, body, err := c.callAndRead(ctx, req, c.polls, maxLoadBytes)
	if err != nil {
		return nil, err
	}
	if resp.Status != fasthttp.StatusOK {
		return nil, &StatusError{Subject: path, Status: resp.Status}
	}
	return body, nil
}

// loadFrom requests the load report at a path.
func (c *HTTPClient) loadFrom(ctx context.Context, address, path string) (Load, error) {
	req := Request{Address: address, Method: fasthttp.MethodGet, Path: path}
	resp, body, err := c.callAndRead(ctx, req, c.polls, maxLoadBytes)
	if err != nil {
		return Load{}, err
	}
	if resp.Status != fasthttp.StatusOK {
		return Load{}, &StatusError{Subject: "load report", Status: resp.Status}
	}
	var load Load
	if err := json.Unmarshal(body, &load); err != nil {
		return Load{}, fmt.Errorf("target: load report: %w", err)
	}
	return load, nil
}

// dialError classifies a failure to get a connection. Nothing was written.
func dialError(ctx context.Context, counters *counters, err error) error {
	switch {
	case isCancelled(ctx):
		return counters.newError(reasonCancelledEarly, result.CallerGone, result.RanNo, ctx.Err())
	case isTimeout(err):
		return counters.newError(reasonConnectTimeout, result.ConnectFailed, result.RanNo, err)
	default:
		return counters.newError(reasonConnect, result.ConnectFailed, result.RanNo, err)
	}
}

// isCancelled reports whether ctx was cancelled, which means that the caller gave up, as opposed
// to its deadline passing.
func isCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// hideEOF prevents a broken answer from being taken for a clean end by a reader that checks
// errors.Is(err, io.EOF).
func hideEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &netErr) && netErr.Timeout())
}

// validPath reports whether a path is free of characters that would break the request line.
func validPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for i := 0; i < len(path); i++ {
		if path[i] <= ' ' || path[i] == 0x7f {
			return false
		}
	}
	return true
}

// writeRequest writes the request through the connection's buffer.
func (c *HTTPClient) writeRequest(cn *conn, req *Request) error {
	c.fillHeader(&cn.request, req)
	if err := cn.request.Write(cn.writer); err != nil {
		return err
	}
	if _, err := cn.writer.Write(req.Body); err != nil {
		return err
	}
	return cn.writer.Flush()
}

func (c *HTTPClient) fillHeader(header *fasthttp.RequestHeader, req *Request) {
	d := c.options.Dialect
	header.Reset()
	header.SetNoDefaultContentType(true)
	header.SetMethod(req.Method)
	header.SetRequestURI(req.Path)
	header.SetHost(cmp.Or(req.Host, req.Address))
	for name, value := range req.Header {
		if !isFramingHeader(name) && !d.SetByFleet(name) {
			header.Set(name, value)
		}
	}
	if len(req.Body) > 0 || !header.IsGet() {
		header.SetContentLength(len(req.Body))
	}
	setHeader(header, d.RequestID, req.ID)
	setHeader(header, d.Workspace, req.Workspace)
	setHeader(header, d.ExpectTarget, req.Target)
	setHeader(header, d.FetchFrom, req.FetchAddress)
	setHeader(header, d.ResumeAfter, req.LastEventID)
	if !req.Deadline.IsZero() {
		setHeader(header, d.Deadline, strconv.FormatInt(dialect.MillisLeft(req.Deadline, time.Now()), 10))
	}
	if req.Offset > 0 {
		header.Set(HeaderResumeOffset, strconv.FormatInt(req.Offset, 10))
	}
	if req.Fence > 0 {
		header.Set(HeaderFencingNumber, strconv.FormatUint(req.Fence, 10))
	}
}

// setHeader sets a header if the dialect has a name for it and the request a value.
func setHeader(header *fasthttp.RequestHeader, name, value string) {
	if name != "" && value != "" {
		header.Set(name, value)
	}
}

// copyHeader copies the answer's end-to-end headers out of the parser's buffers.
func copyHeader(header *fasthttp.ResponseHeader) map[string]string {
	copied := make(map[string]string, header.Len())
	for key, value := range header.All() {
		name := string(key)
		if !isHopByHop(name) {
			copied[name] = string(value)
		}
	}
	return copied
}
