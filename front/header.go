package front

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/result"
)

// headerArrival carries an arrival's number from headerReceived to serve. What
// a caller sends under this name is dropped.
const headerArrival = "Walnut-Arrival"

// The advice given when bodies fill the memory lies between these, at random.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// headerReceived is called by the HTTP library before it reads a body. A
// request that is refused by its headers is made to look as if it had no body,
// so that the library allocates and reads none and calls serve at once.
func (s *Server) headerReceived(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(headerArrival)
	if length := header.ContentLength(); length > 0 || length == lengthChunked {
		number := s.announce(header, length)
		header.Set(headerArrival, strconv.FormatUint(number, 10))
	}
	return fasthttp.RequestConfig{}
}

// lengthChunked is the length of a body in chunks, as the HTTP library has it.
const lengthChunked = -1

// announce decides about a request with a body and returns the arrival's number.
func (s *Server) announce(header *fasthttp.RequestHeader, length int) uint64 {
	now := time.Now()
	workspace, refusal := s.checkHeader(header, length)
	if refusal == nil {
		if length == lengthChunked {
			length = s.options.MaxBodyBytes
		}
		number, ok := s.arrivals.announce(workspace, int64(length), now)
		if ok {
			return number
		}
		refusals.Inc(result.HeldBytesFull)
		refusal = result.New(result.HeldBytesFull, "This router holds too many bytes of requests.")
		refusal = refusal.WithRetryAfter(minRetryAfter + rand.N(maxRetryAfter-minRetryAfter))
	}
	header.SetContentLength(0)
	header.Del(fasthttp.HeaderExpect)
	return s.arrivals.refuse(refusal, now)
}

// checkHeader finds the workspace, or the reason for which the headers alone
// forbid to read the body.
func (s *Server) checkHeader(header *fasthttp.RequestHeader, length int) (string, *result.Error) {
	workspace := ""
	if s.options.Authenticate != nil {
		var refusal *result.Error
		workspace, refusal = s.options.Authenticate(func(name string) string { return string(header.Peek(name)) })
		if refusal != nil {
			return "", refusal
		}
	}
	if length > s.options.MaxBodyBytes {
		refusals.Inc(result.BodyTooLarge)
		return "", result.New(result.BodyTooLarge, "The body is too large.")
	}
	return workspace, nil
}

// takeArrival returns what was decided about a request, or nil if it has no
// body. A body that came later than it was expected is refused.
func (s *Server) takeArrival(header *fasthttp.RequestHeader) *arrival {
	text := string(header.Peek(headerArrival))
	if text == "" {
		return nil
	}
	header.Del(headerArrival)
	number, _ := strconv.ParseUint(text, 10, 64) // this process wrote it
	if one := s.arrivals.take(number); one != nil {
		return one
	}
	return &arrival{refusal: result.New(result.SlowSender, "The request did not arrive in time.")}
}
