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
		refusal = result.Wrap(result.Internal, err, "the router failed")
	}
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
	response.SetStatusCode(info.Status)
	header := &response.Header
	header.SetContentType("application/json")
	header.Set(headerRequestID, id)
	header.Set(headerCode, strconv.Itoa(int(refusal.Code)))
	header.Set(headerRan, refusal.Ran.String())
	setRetryAfter(header, refusal.RetryAfter)
	response.SetBodyRaw(encoded)
}

// setRetryAfter sets the advice in whole seconds, rounded up as the standard
// header has no fractions, and in milliseconds.
func setRetryAfter(header *fasthttp.ResponseHeader, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := int(math.Ceil(after.Seconds()))
	millis := (after + time.Millisecond - 1) / time.Millisecond
	header.Set(headerRetryAfter, strconv.Itoa(seconds))
	header.Set(headerRetryAfterMS, strconv.FormatInt(int64(millis), 10))
}

// writeAnswer sets the exchange's answer as the response.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, r *request) {
	ex := r.ex
	if ex.AnswerStream != nil && !ctx.Request.Header.IsHTTP11() {
		if err := bufferStream(ex); err != nil {
			r.err = err
			s.writeError(ctx, ex.ID, err)
			return
		}
	}
	response := &ctx.Response
	response.SetStatusCode(ex.Status)
	for name, value := range ex.AnswerHeader {
		if !hopByHop(name) {
			response.Header.Set(name, value)
		}
	}
	response.Header.Set(headerRequestID, ex.ID)
	response.Header.Set(headerCode, "0")
	response.Header.Set(headerRan, result.RanYes.String())
	if ex.AnswerStream == nil {
		response.SetBodyRaw(ex.AnswerBody)
		return
	}
	response.ImmediateHeaderFlush = true
	response.SetBodyStream(&answerStream{request: r, from: ex.AnswerStream}, -1)
}

// bufferStream reads a stream whole, for callers that cannot tell a chunked
// stream that broke from one that ended.
func bufferStream(ex *pipeline.Exchange) error {
	stream := ex.AnswerStream
	defer stream.Close()
	body, err := io.ReadAll(io.LimitReader(stream, maxBufferedAnswer+1))
	if err != nil {
		return streamError(err)
	}
	if len(body) > maxBufferedAnswer {
		return result.New(result.StreamBroken, "the answer is too long for an HTTP/1.0 caller")
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
	return result.Wrap(result.StreamBroken, err, "the answer broke off")
}

// answerStream is the body that fasthttp reads. It sends every part that a
// Read returns at once. An error other than io.EOF breaks the connection
// without the chunk that ends a body, so the caller sees a truncated answer.
type answerStream struct {
	request *request
	from    io.ReadCloser
	ended   bool
}

// Read implements io.Reader.
func (a *answerStream) Read(p []byte) (int, error) {
	n, err := a.from.Read(p)
	if err == io.EOF {
		a.ended = true
	} else if err != nil {
		a.ended = true
		a.request.err = err
	}
	return n, err
}

// Close implements io.Closer. Closing before the end means that the caller
// could not be written to.
func (a *answerStream) Close() error {
	if !a.ended && a.request.err == nil {
		a.request.err = a.request.conn.writeErr
		if a.request.err == nil && a.request.ex.Method != fasthttp.MethodHead {
			a.request.err = errConnectionClosed
		}
	}
	return a.from.Close()
}
