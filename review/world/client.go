package world

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Client sends requests as the platform's clients do: on connections that it keeps, each attempt
// with an id of its own. It is safe for concurrent use.
type Client struct {
	http *http.Client
	name string
	last atomic.Uint64
	// Parts are the parts of the prompts, but for the last one. Default: two sound ones.
	Parts string
}

func (c *Client) parts() string { return cmp.Or(c.Parts, "5c1e07a2:800,91bd3f06:410") }

// NewClient returns a client whose attempt ids begin with name.
func NewClient(name string) *Client {
	return &Client{name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Answer is what a client got.
type Answer struct {
	// ID is the id of the attempt, Status that of the answer; zero if there was none.
	ID     string
	Status int
	Header http.Header
	Body   string
	// Err is why the answer is missing or not complete; nil if it is complete.
	Err error
	// Took is the time from the sending to the end of the answer or to Err.
	Took time.Duration
}

// maxAnswerBytes is how much of an answer is kept.
const maxAnswerBytes = 64 << 10

// Post sends a POST request and reads the answer to its end, or until patience has passed.
// Deadline is the value of X-Deadline-Ms.
func (c *Client) Post(router *Router, path string, body []byte, deadline, patience time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	answer := Answer{ID: fmt.Sprintf("%s-%d", c.name, c.last.Add(1))}
	start := time.Now()
	answer.Err = c.exchange(ctx, router, path, body, deadline, &answer)
	answer.Took = time.Since(start)
	return answer
}

func (c *Client) exchange(ctx context.Context, router *Router, path string, body []byte, deadline time.Duration, answer *Answer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = Host
	request.GetBody = nil // each attempt is sent once
	request.Header.Set("X-Attempt-Id", answer.ID)
	request.Header.Set("X-Api-Key", Key)
	if path == StreamPath {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Usage", "1460,240")
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s,%x:250", c.parts(), time.Now().UnixNano()))
	}
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer.Status, answer.Header = response.StatusCode, response.Header
	begin, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	answer.Body = string(begin)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
