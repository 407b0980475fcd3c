package store

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Defaults of Options.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultReadAttempts    = 3
	DefaultReadBackoff     = 25 * time.Millisecond
	DefaultMaxReadBackoff  = 500 * time.Millisecond
	DefaultWritesPerSecond = 50
	DefaultWriteBurst      = 50
	DefaultMaxWriteWait    = 200 * time.Millisecond
	DefaultMaxConns        = 64
	// maxQueuedPerConn limits the calls that wait for a connection, per connection.
	maxQueuedPerConn = 64
	// maxIdleConnDuration is how long a connection may be idle before it is closed.
	// It is short so that the client closes the connection before the server does.
	maxIdleConnDuration = 5 * time.Second
)

// Options configures a Client. Zero fields take the stated defaults.
type Options struct {
	// Address is the "ip:port" of the platform. Required.
	Address string
	// Timeout limits each attempt of a call, including the wait for a connection.
	// A read may take ReadAttempts attempts. Default 2 s.
	Timeout time.Duration
	// DialTimeout limits the opening of a connection. Default 500 ms.
	DialTimeout time.Duration
	// ReadAttempts limits the attempts of a read. Writes are attempted once. Default 3.
	ReadAttempts int
	// ReadBackoff is the mean delay before the second attempt of a read; it
	// doubles up to MaxReadBackoff and is jittered by half. Defaults 25 ms and
	// 500 ms.
	ReadBackoff    time.Duration
	MaxReadBackoff time.Duration
	// WritesPerSecond and WriteBurst are this client's budget for commits and
	// object writes. Defaults 50 and 50.
	WritesPerSecond float64
	WriteBurst      int
	// MaxWriteWait limits the wait for the write budget; a write that would wait
	// longer fails immediately with ErrUnavailable. Default 200 ms.
	MaxWriteWait time.Duration
	// MaxConns limits the connections, and thereby the calls in flight. Default 64.
	MaxConns int
	// Metrics is the set in which the client's metrics are registered. Default:
	// the global set.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.ReadAttempts, DefaultReadAttempts)
	setDefault(&o.ReadBackoff, DefaultReadBackoff)
	setDefault(&o.MaxReadBackoff, DefaultMaxReadBackoff)
	setDefault(&o.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&o.WriteBurst, DefaultWriteBurst)
	setDefault(&o.MaxWriteWait, DefaultMaxWriteWait)
	setDefault(&o.MaxConns, DefaultMaxConns)
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Client is the HTTP client of the platform. It implements RevisionTable, VMList
// and Weights; Objects returns a client of the object store. All methods are safe
// for concurrent use.
type Client struct {
	options  Options
	http     *fasthttp.HostClient
	pool     pond.Pool
	budget   *rate.Limiter
	counters counters
	vmList   vmListCache
}

var (
	_ RevisionTable = (*Client)(nil)
	_ VMList        = (*Client)(nil)
	_ Weights       = (*Client)(nil)
)

// NewClient returns a client, which connects on the first call.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	queue := options.MaxConns * maxQueuedPerConn
	return &Client{
		options:  options,
		http:     newHostClient(options),
		pool:     pond.NewPool(options.MaxConns, pond.WithQueueSize(queue), pond.WithNonBlocking(true)),
		budget:   rate.NewLimiter(rate.Limit(options.WritesPerSecond), options.WriteBurst),
		counters: counters{set: options.Metrics},
	}
}

// Close waits for the calls in flight, at most Options.Timeout, and closes the
// connections. Later calls fail with ErrUnavailable.
func (c *Client) Close() {
	c.pool.StopAndWait()
	c.http.CloseIdleConnections()
}

// SetWriteRate changes the write budget, in writes a second. A router that knows
// the size of its fleet sets its share of the platform's write rate.
func (c *Client) SetWriteRate(perSecond float64) {
	c.budget.SetLimit(rate.Limit(perSecond))
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	if err := CheckName("table", table); err != nil {
		return row, err
	}
	if err := CheckName("key", key); err != nil {
		return row, err
	}
	query := url.Values{"table": {table}, "key": {key}}
	err := c.readJSON(ctx, call{op: opGet, path: PathRow, query: query}, &row)
	return row, err
}

// Scan implements Table. It reads as many pages as necessary; together they are
// not a consistent snapshot of the table.
func (c *Client) Scan(ctx context.Context, table, from string, limit int) ([]Row, error) {
	if err := CheckName("table", table); err != nil {
		return nil, err
	}
	if err := CheckOptionalName("from", from); err != nil {
		return nil, err
	}
	var rows []Row
	for len(rows) < limit {
		page, err := c.scanPage(ctx, table, from, limit-len(rows))
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = rows[len(rows)-1].Key + "\x00"
	}
	return rows, nil
}

func (c *Client) scanPage(ctx context.Context, table, from string, limit int) (ScanReply, error) {
	query := url.Values{"table": {table}, "from": {from}, "limit": {strconv.Itoa(limit)}}
	var reply ScanReply
	err := c.readJSON(ctx, call{op: opScan, path: PathScan, query: query}, &reply)
	return reply, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, ops []Op) error {
	_, err := c.CommitRevision(ctx, ops)
	return err
}

// CommitRevision implements RevisionTable.
func (c *Client) CommitRevision(ctx context.Context, ops []Op) (uint64, error) {
	if err := CheckOps(ops); err != nil {
		return 0, err
	}
	body, err := c.post(ctx, opCommit, PathCommit, CommitRequest{Ops: ops})
	if err != nil {
		return 0, err
	}
	var reply CommitReply
	if err := json.Unmarshal(body, &reply); err != nil || reply.Revision == 0 {
		return 0, c.newFailure(opCommit, ErrUnknown, reasonBadReply, err)
	}
	return reply.Revision, nil
}
