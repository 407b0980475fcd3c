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

// idleConns is how many unused connections a caller keeps to each router.
const idleConns = 64

// Answer is what a caller got.
type Answer struct {
	// ID is the request's id.
	ID string
	// Status is zero if no answer came.
	Status int
	Body   string
	// Whole says that the answer ended as it was framed.
	Whole  bool
	Header http.Header
}

// Caller sends requests to routers as the platform's callers do: each once, on
// connections that it keeps. It is safe for concurrent use.
type Caller struct {
	// Deadline is what its requests tell of their deadline.
	Deadline time.Duration
	name     string
	client   *http.Client
	sent     atomic.Uint64
}

// NewCaller returns a caller whose requests' ids begin with name.
func NewCaller(name string, deadline time.Duration) *Caller {
	return &Caller{
		Deadline: deadline,
		name:     name,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}},
	}
}

// Close closes the unused connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Send sends a request to a router's "ip:port" and reads its answer until ctx ends.
func (c *Caller) Send(ctx context.Context, router, path, key string) Answer {
	number := c.sent.Add(1)
	got := Answer{ID: fmt.Sprintf("%s-%d", c.name, number)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, strings.NewReader("body"))
	if err != nil {
		panic(err) // the method is valid, and addresses and paths are made here
	}
	request.Host = DemoHost
	request.Header.Set(wire.HeaderRequestID, got.ID)
	request.Header.Set(wire.HeaderKey, key)
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	request.Header.Set(wire.HeaderTokens, "100,50")
	// Some requests share their first part, and with it the replica that keeps it.
	request.Header.Set(wire.HeaderParts, fmt.Sprintf("%x:80,%s:20", len(got.ID)*100+int(got.ID[len(got.ID)-1]), "ff"))
	response, err := c.client.Do(request)
	if err != nil {
		return got
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	got.Status, got.Body, got.Whole, got.Header = response.StatusCode, string(body), err == nil, response.Header
	return got
}

// WholeStream is the body of a stream of so many events that lacks nothing and has
// nothing twice.
func WholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return b.String()
}

// WholeAnswer is the body of an answer that is no stream.
func WholeAnswer(id string) string { return "done " + id }
