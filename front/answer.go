package front

import (
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

// Headers of answers.
const (
	headerRequestID    = "Walnut-Request-Id"
	headerCode         = "Walnut-Code"
	headerRan          = "Walnut-Ran"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMS = "Retry-After-Ms"
)

// maxBufferedAnswer bounds an answer that is held whole for an HTTP/1.0 caller.
const maxBufferedAnswer = 64 << 20

// errorBody is the JSON that a refused caller gets.
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

// writeError sets a numbered error as the response.
func (s *Server) writeError(ctx *fasthttp.RequestCtx, id string, err error) {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		s.log.Error("front: Pipeline gave an error without a code.", "request", id, "error", err)
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
	response.SetStatusCode(s.statusOf(refusal))
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

// statusOf returns the HTTP status of a refusal. Where callers go by the status
// alone, one that promises that nothing ran is given if and only if that is so.
func (s *Server) statusOf(refusal *result.Error) int {
	status := refusal.Code.Info().Status
	if !s.options.Dialect.StatusPromises {
		return status
	}
	promises := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests ||
		status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusMisdirectedRequest
	switch {
	case refusal.Ran == result.RanNo && !promises && !isCallersFault(refusal.Code):
		return fasthttp.StatusServiceUnavailable
	case refusal.Ran != result.RanNo && promises:
		return fasthttp.StatusBadGateway
	}
	return status
}

// isCallersFault says whether the same request would be refused again.
func isCallersFault(code result.Code) bool {
	switch code {
	case result.BadRequest, result.BodyTooLarge, result.HeadersTooLarge, result.UnknownPath,
		result.MethodNotAllowed, result.KeyMissing, result.KeyWrong, result.BadHeader:
		return true
	}
	return false
}

// setRetryAfter sets the advice in whole seconds, rounded up as the standard
// header has no fractions, and in milliseconds; or in seconds with fractions
// where callers read them.
func (s *Server) setRetryAfter(header *fasthttp.ResponseHeader, after time.Duration) {
	if after <= 0 {
		return
	}
	if s.options.Dialect.RetryFractions {
		header.Set(headerRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		return
	}
	seconds := int(math.Ceil(after.Seconds()))
	millis := (after + time.Millisecond - 1) / time.Millisecond
	header.Set(headerRetryAfter, strconv.Itoa(seconds))
	header.Set(headerRetryAfterMS, strconv.FormatInt(int64(millis), 10))
}

// writeAnswer sets the exchange's answer as the response. An error means that
// nothing of the answer was shown to the caller.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, r *request) error {
	ex := r.ex
	switch {
	case ex.AnswerStream == nil:
	case !hasBody(ex):
		ex.AnswerStream.Close()
		ex.AnswerStream = nil
	case !ctx.Request.Header.IsHTTP11():
		if err := bufferStream(ex); err != nil {
			return err
		}
	}
	response := &ctx.Response
	response.SetStatusCode(ex.Status)
	for name, value := range ex.AnswerHeader {
		if !hopByHop(name) && !reserved(name) {
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
	// The caller sees the head as soon as the target gave it.
	response.ImmediateHeaderFlush = true
	response.SetBodyStream(&answerStream{request: r, from: ex.AnswerStream}, -1)
	return nil
}

// reserved says whether only the router itself may set an answer's header.
func reserved(name string) bool { return name == headerCode || name == headerRan }

// hasBody says whether HTTP allows the answer a body.
func hasBody(ex *pipeline.Exchange) bool {
	return ex.Method != fasthttp.MethodHead &&
		ex.Status != fasthttp.StatusNoContent &&
		ex.Status != fasthttp.StatusNotModified
}

// bufferStream reads a stream whole, for callers that cannot tell a stream that
// broke from one that ended.
func bufferStream(ex *pipeline.Exchange) error {
	stream := ex.AnswerStream
	defer stream.Close()
	body, err := io.ReadAll(io.LimitReader(stream, maxBufferedAnswer+1))
	if err != nil {
		return streamError(err)
	}
	if len(body) > maxBufferedAnswer {
		return result.New(result.StreamBroken, "The answer is too long for an HTTP/1.0 caller.")
	}
	ex.AnswerStream = nil
	ex.AnswerBody = body
	return nil
}

func streamError(err error) error {
	var numbered *result.Error
	if errors.As(err, &numbered) {
		return err
	}
	return result.Wrap(result.StreamBroken, err, "The answer broke off.")
}
