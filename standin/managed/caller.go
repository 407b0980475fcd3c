package managed

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	// NotConnected is set if no connection to the router could be opened.
	NotConnected bool
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

// NewKeepingCaller is like NewCaller, but the caller uses each connection until the router
// closes it, even after an answer with "Connection: close".
func NewKeepingCaller(name string, deadline time.Duration) *Caller {
	return &Caller{Deadline: deadline, name: name, client: &http.Client{Transport: &keepingTransport{idle: make(map[string][]*keptConn)}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Request is a request that a Caller sends.
type Request struct {
	// Path is the path with the query, and Key the key of the workspace.
	Path, Key string
	// Resumes and AfterEvent, when the caller reconnects to a stream, are the id of the
	// request that brought its first event, and that of the last event that arrived. Empty
	// values are not sent.
	Resumes, AfterEvent string
	// Parts are the parts of the prompt, as ID:TOKENS separated by commas. Empty: two parts, of
	// which some requests have the first one in common.
	Parts string
	// Body is the body of the request; empty: a short one.
	Body string
	// StopAfter makes the caller close its connection once it has this many whole events
	// of a stream; zero: it reads the answer to its end.
	StopAfter int
}

// Send sends a request to a router's "ip:port" and reads the answer until it ends or
// ctx does.
func (c *Caller) Send(ctx context.Context, router, path, apiKey string) Answer {
	return c.SendRequest(ctx, router, Request{Path: path, Key: apiKey})
}

// SendRequest is like Send.
func (c *Caller) SendRequest(ctx context.Context, router string, r Request) Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	number := c.lastNumber.Add(1)
	answer := Answer{ID: fmt.Sprintf("%s-%d", c.name, number)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+r.Path, strings.NewReader(cmp.Or(r.Body, "body")))
	if err != nil {
		panic(err) // the method is valid, and tests pass valid addresses and paths
	}
	request.Host = DemoHost
	c.setHeaders(request.Header, answer.ID, r)
	response, err := c.client.Do(request)
	if err != nil {
		var failed *net.OpError
		answer.NotConnected = errors.As(err, &failed) && failed.Op == "dial"
		return answer
	}
	defer response.Body.Close()
	body, err := readEvents(response.Body, r.StopAfter)
	answer.Status, answer.Body, answer.Complete, answer.Header = response.StatusCode, body, err == nil, response.Header
	return answer
}

// setHeaders sets the headers of a request. Some requests have the same first part of their
// prompt, which makes routers prefer the replica that has it cached.
func (c *Caller) setHeaders(header http.Header, id string, r Request) {
	header.Set(wire.HeaderRequestID, id)
	header.Set(wire.HeaderKey, r.Key)
	header.Set(wire.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	header.Set(wire.HeaderTokens, "100,50") // prompt tokens, maximum of the answer
	parts := r.Parts
	if parts == "" {
		parts = fmt.Sprintf("%x:80,%s:20", len(id)*100+int(id[len(id)-1]), "ff")
	}
	header.Set(wire.HeaderParts, parts)
	if r.Resumes != "" {
		header.Set(wire.HeaderResumes, r.Resumes)
	}
	if r.AfterEvent != "" {
		header.Set(wire.HeaderAfterEvent, r.AfterEvent)
	}
}

// errStopped reports that the caller stopped reading on purpose.
var errStopped = errors.New("the caller stopped reading")

// readEvents reads a body to its end, or until it holds the given number of whole events if
// that is not zero.
func readEvents(body io.Reader, stopAfter int) (string, error) {
	if stopAfter == 0 {
		text, err := io.ReadAll(body)
		return string(text), err
	}
	var text strings.Builder
	reader := bufio.NewReader(body)
	for strings.Count(text.String(), eventEnd) < stopAfter {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if err != nil {
			return text.String(), err
		}
	}
	return text.String(), errStopped
}

// eventEnd ends each event of a replica's stream.
const eventEnd = "\n\n"

// LastEvent returns the id of the last whole event of the answer; empty if there is none.
func (a Answer) LastEvent() string {
	whole := a.Body[:strings.LastIndex(a.Body, eventEnd)+1]
	at := strings.LastIndex(whole, "id: ")
	if at < 0 {
		return ""
	}
	id, _, _ := strings.Cut(whole[at+len("id: "):], "\n")
	return id
}

// ExpectedStream returns the body of a complete stream: each of its events once, in
// order.
func ExpectedStream(id string, events int) string { return ExpectedStreamAfter(id, "", events) }

// ExpectedStreamAfter is like ExpectedStream for a stream that continues after an event;
// empty: from the first.
func ExpectedStreamAfter(id, afterEvent string, events int) string {
	var b strings.Builder
	after, _ := strconv.Atoi(afterEvent) // zero if it is empty
	for n := after + 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return b.String()
}

// ExpectedAnswer returns the body of a complete answer that is not a stream.
func ExpectedAnswer(id string) string { return "done " + id }
