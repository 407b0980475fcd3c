package front

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// Response headers that the router sets.
const (
	headerRequestID    = "Walnut-Request-Id"
	headerCode         = "Walnut-Code"
	headerRan          = "Walnut-Ran"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMS = "Retry-After-Ms"
)

// maxBufferedAnswerBytes limits an answer that is buffered whole for an HTTP/1.0 caller.
const maxBufferedAnswerBytes = 64 << 20

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      int    `json:"code"`
	Name      string `json:"name"`
	Message   string `json:"message"`
	Ran       string `json:"ran"`
	RequestID string `json:"request_id"`
}

// writeError sets the error response for err. An error without a result code is
// reported as result.Internal.
func (s *Server) writeError(ctx *fasthttp.RequestCtx, id string, err error) {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		s.log.Error("front: Pipeline returned an error without a result code.", "request", id, "error", err)
		refusals.Inc(result.Internal)
		refusal = result.Wrap(result.Internal, err, "The router failed.")
	}
	countResult(refusal.Code)
	info := refusal.Code.Info()
	body := errorBody{Error: errorDetail{
		Code:      int(refusal.Code),
		Name:      info.Name,
		Message:   refusal.Detail,
		Ran:       refusal.Ran.String(),
		RequestID: id,
	}}
	encoded, _ := json.Marshal(body) // strings and ints always encode
	response := &ctx.Response
	response.Reset()
	response.SetStatusCode(s.httpStatus(refusal))
	header := &response.Header
	header.SetContentType("application/json")
	header.Set(headerRequestID, id)
	if s.options.Dialect.CallerSetsID {
		header.Set(s.options.Dialect.RequestID, id)
	}
	header.Set(headerCode, strconv.Itoa(int(refusal.Code)))
	header.Set(headerRan, refusal.Ran.String())
	s.setRetryAfter(header, refusal.RetryAfter)
	response.SetBodyRaw(encoded)
}

// httpStatus returns the HTTP status of a refusal. Where callers rely on the status
// alone (Dialect.StatusTellsNotRun), a status that promises that the request did not run
// is used if and only if the request did not run; requests that would be refused again
// keep their own status.
func (s *Server) httpStatus(refusal *result.Error) int {
	status := refusal.Code.Info().Status
	if !s.options.Dialect.StatusTellsNotRun {
		return status
	}
	promisesNotRun := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests ||
		status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusMisdirectedRequest
	switch {
	case refusal.Ran == result.RanNo && !promisesNotRun && !isCallerFault(refusal.Code):
		return fasthttp.StatusServiceUnavailable
	case refusal.Ran != result.RanNo && promisesNotRun:
		return fasthttp.StatusBadGateway
	}
	return status
}

// isCallerFault reports whether the same request would be refused again.
func isCallerFault(code result.Code) bool {
	switch code {
	case result.BadRequest, result.BodyTooLarge, result.HeadersTooLarge, result.UnknownPath,
		result.MethodNotAllowed, result.KeyMissing, result.KeyWrong, result.BadHeader:
		return true
	}
	return false
}

// setRetryAfter sets the retry delay in whole seconds, rounded up because the
// standard header has no fractions, and in milliseconds; or, where callers
// understand it, in fractional seconds.
func (s *Server) setRetryAfter(header *fasthttp.ResponseHeader, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	if s.options.Dialect.FractionalRetryAfter {
		header.Set(headerRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
		return
	}
	seconds := int(math.Ceil(retryAfter.Seconds()))
	millis := (retryAfter + time.Millisecond - 1) / time.Millisecond
	header.Set(headerRetryAfter, strconv.Itoa(seconds))
	header.Set(headerRetryAfterMS, strconv.FormatInt(int64(millis), 10))
}

// writeAnswer sets the exchange's answer as the response. If it returns an error,
// no part of the answer has reached the caller.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, r *request) error {
	ex := r.ex
	switch {
	case ex.AnswerStream == nil:
	case !allowsBody(ex):
		ex.AnswerStream.Close()
		ex.AnswerStream = nil
	case !ctx.Request.Header.IsHTTP11():
		r.beginStream()
		err := bufferStream(ex)
		if err = cmp.Or(r.endStream(), err); err != nil {
			return err
		}
	default:
		r.beginStream()
	}
	response := &ctx.Response
	response.SetStatusCode(ex.Status)
	for name, value := range ex.AnswerHeader {
		if !isHopByHop(name) && !isRouterHeader(name) {
			response.Header.Set(name, value)
		}
	}
	if !s.options.Dialect.CallerSetsID {
		response.Header.Set(headerRequestID, ex.ID)
	}
	if ex.AnswerStream == nil {
		response.SetBodyRaw(ex.AnswerBody)
		return nil
	}
	// Send the headers as soon as the target has sent them; for another router, together with the
	// first event, because each piece of a response costs processor time there.
	response.ImmediateHeaderFlush = r.conn.executed == nil || !hasEvents(ex.AnswerStream)
	response.SetBodyStream(&answerStream{request: r, source: ex.AnswerStream}, -1)
	return nil
}

// hasEvents reports whether the beginning of a stream is at hand.
func hasEvents(stream io.Reader) bool {
	withEvents, ok := stream.(interface{ HasEvents() bool })
	return ok && withEvents.HasEvents()
}

// isRouterHeader reports whether only the router itself may set a response header.
func isRouterHeader(name string) bool { return name == headerCode || name == headerRan }

// allowsBody reports whether HTTP allows the answer to have a body.
func allowsBody(ex *pipeline.Exchange) bool {
	return ex.Method != fasthttp.MethodHead &&
		ex.Status != fasthttp.StatusNoContent &&
		ex.Status != fasthttp.StatusNotModified
}

// bufferStream reads the whole stream, for callers that cannot tell a broken
// stream from a complete one.
func bufferStream(ex *pipeline.Exchange) error {
	stream := ex.AnswerStream
	defer stream.Close()
	body, err := readHeld(ex, stream)
	if err != nil {
		return withResultCode(err)
	}
	ex.AnswerStream = nil
	ex.AnswerBody = body
	return nil
}

// minBufferedAnswerBytes is the size of the first buffer of readHeld.
const minBufferedAnswerBytes = 4 << 10

// readHeld reads a stream into memory that is accounted for.
func readHeld(ex *pipeline.Exchange, stream io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) >= maxBufferedAnswerBytes {
				return nil, result.New(result.StreamBroken, "The answer is too long for an HTTP/1.0 caller.")
			}
			grown := min(max(minBufferedAnswerBytes, 2*cap(body)), maxBufferedAnswerBytes)
			if !ex.HoldBytes(grown - cap(body)) {
				refusals.Inc(result.AnswerBytesFull)
				return nil, result.New(result.AnswerBytesFull, "%s", result.AnswerBytesFull.Info().Meaning)
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// withResultCode returns err with a result code: its own, or result.StreamBroken.
func withResultCode(err error) error {
	var coded *result.Error
	if errors.As(err, &coded) {
		return err
	}
	return result.Wrap(result.StreamBroken, err, "The answer broke off.")
}
