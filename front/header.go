package front

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/result"
)

// headerArrival carries a reservation's number from headerReceived to serve. A
// header of this name sent by a caller is dropped.
const headerArrival = "Walnut-Arrival"

// Range of the random retry delay when the memory for bodies is full.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// headerReceived is called by the HTTP library before it reads a body. A
// request that is refused because of its headers is changed to look as if it had
// no body, so that the library allocates and reads none and calls serve at once.
func (s *Server) headerReceived(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(headerArrival)
	if length := header.ContentLength(); length > 0 || length == lengthChunked {
		number := s.reserveBody(header, length)
		header.Set(headerArrival, strconv.FormatUint(number, 10))
	}
	return fasthttp.RequestConfig{}
}

// lengthChunked is the content length that the HTTP library reports for a chunked body.
const lengthChunked = -1

// reserveBody reserves memory for a request's body or refuses the request, and returns
// the number of the reservation.
func (s *Server) reserveBody(header *fasthttp.RequestHeader, length int) uint64 {
	now := time.Now()
	workspace, refusal := s.checkHeader(header, length)
	if refusal == nil {
		if length == lengthChunked {
			length = s.options.MaxBodyBytes
		}
		number, ok := s.reservations.reserve(workspace, int64(length), now)
		if ok {
			return number
		}
		refusals.Inc(result.HeldBytesFull)
		refusal = result.New(result.HeldBytesFull, "This router holds too many bytes of requests.")
		refusal = refusal.WithRetryAfter(minRetryAfter + rand.N(maxRetryAfter-minRetryAfter))
	}
	header.SetContentLength(0)
	header.Del(fasthttp.HeaderExpect)
	return s.reservations.recordRefusal(refusal, now)
}

// checkHeader returns the workspace, or the reason why the request is refused by its
// headers alone, without reading the body.
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

// claimReservation returns the reservation made for a request, or nil if the request
// has no body. A body that arrived after its reservation expired is refused.
func (s *Server) claimReservation(header *fasthttp.RequestHeader) *bodyReservation {
	text := string(header.Peek(headerArrival))
	if text == "" {
		return nil
	}
	header.Del(headerArrival)
	number, _ := strconv.ParseUint(text, 10, 64) // this process wrote it
	if reservation := s.reservations.claim(number); reservation != nil {
		return reservation
	}
	return &bodyReservation{refusal: result.New(result.SlowSender, "The request did not arrive in time.")}
}
