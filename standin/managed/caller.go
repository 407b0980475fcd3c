package managed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// maxIdleConnsPerRouter is how many idle connections a caller keeps to each router.
const maxIdleConnsPerRouter = 64

// Answer is what a caller received in answer to a request.
type Answer struct {
	// ID is the request's id.
	ID string
	// Status is the HTTP status; zero if no answer arrived.
	Status int
	Body   string
	// Complete is set if the body was read to its end without an error.
	Complete bool
	Header   http.Header
}

// Caller sends requests to routers as the platform's callers do: it sends each
// request once, on connections that it reuses. It is safe for concurrent use.
type Caller struct {
	// Deadline is the time that requests allow for their answer, which they send as
	// a header.
	Deadline   time.Duration
	name       string
	client     *http.Client
	lastNumber atomic.Uint64
}

// NewCaller returns a caller whose request ids begin with name.
func NewCaller(name string, deadline time.Duration) *Caller {
	return &Caller{
		Deadline: deadline,
		name:     name,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerRouter}},
	}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Send sends a request to a router's "ip:port" and reads the answer until it ends or
// ctx does.
func (c *Caller) Send(ctx context.Context, router, path, apiKey string) Answer {
	number := c.lastNumber.Add(1)
	answer := Answer{ID: fmt.Sprintf("%s-%d", c.name, number)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, strings.NewReader("body"))
	if err != nil {
		panic(err) // the method is valid, and tests pass valid addresses and paths
	}
	request.Host = DemoHost
	request.Header.Set(wire.HeaderRequestID, answer.ID)
	request.Header.Set(wire.HeaderKey, apiKey)
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	request.Header.Set(wire.HeaderTokens, "100,50") // prompt tokens, maximum of the answer
	// Some requests have the same first part of their prompt, which makes routers
	// prefer the replica that has it cached.
	request.Header.Set(wire.HeaderParts, fmt.Sprintf("%x:80,%s:20", len(answer.ID)*100+int(answer.ID[len(answer.ID)-1]), "ff"))
	response, err := c.client.Do(request)
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer.Status, answer.Body, answer.Complete, answer.Header = response.StatusCode, string(body), err == nil, response.Header
	return answer
}

// ExpectedStream returns the body of a complete stream: each of its events once, in
// order.
func ExpectedStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return b.String()
}

// ExpectedAnswer returns the body of a complete answer that is not a stream.
func ExpectedAnswer(id string) string { return "done " + id }
