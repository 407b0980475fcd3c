package front

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/pipeline"
)

// Values of request.answerOwner.
const (
	answerUnclaimed int32 = iota
	answeredByExchange
	answeredByTimer
)

// refuseAt implements pipeline.Exchange.EndBy: unless stop is called before the
// deadline, the caller gets the error that newRefusal returns. stop returns false if the
// caller has been refused.
func (r *request) refuseAt(deadline time.Time, newRefusal func() error) (stop func() bool) {
	timer := time.AfterFunc(time.Until(deadline), func() {
		r.refusalMu.Lock()
		defer r.refusalMu.Unlock()
		if r.answerOwner.CompareAndSwap(answerUnclaimed, answeredByTimer) {
			r.server.writeEarlyRefusal(r, newRefusal())
		}
	})
	return func() bool {
		timer.Stop()
		return r.claimAnswer()
	}
}

// claimAnswer is called before the exchange's own answer is written. It reports false if the
// caller has been refused already.
func (r *request) claimAnswer() bool {
	if r.answerOwner.CompareAndSwap(answerUnclaimed, answeredByExchange) {
		return true
	}
	r.refusalMu.Lock() // waits until the refusal is written
	defer r.refusalMu.Unlock()
	return r.answerOwner.Load() == answeredByExchange
}

// writeEarlyRefusal writes a refusal while the exchange is still running, and closes the
// connection for writing. The goroutine that serves the connection closes it when the exchange
// ends.
func (s *Server) writeEarlyRefusal(r *request, err error) {
	s.unwatchCaller(r) // the caller may disconnect from now on
	response := s.encodeError(r.ex.ID, err, r.ex.Method == fasthttp.MethodHead)
	// A failed write means that the caller is gone.
	_ = r.conn.Conn.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	n, writeErr := r.conn.Conn.Write(response)
	r.conn.markWritten(n, writeErr)
	r.conn.writeEnded.Store(true)
	if half, ok := r.conn.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// encodeError returns an error response that closes the connection.
func (s *Server) encodeError(id string, err error, isHead bool) []byte {
	var ctx fasthttp.RequestCtx
	s.writeError(&ctx, id, err)
	ctx.SetConnectionClose()
	ctx.Response.SkipBody = isHead
	var out bytes.Buffer
	writer := bufio.NewWriter(&out)
	// Writes to a buffer do not fail.
	_ = ctx.Response.Write(writer)
	_ = writer.Flush()
	return out.Bytes()
}

// discardAnswer ends an exchange whose caller has been refused. An answer that is still being
// streamed is read to its end, so that the target's run is not cut off.
func (r *request) discardAnswer() {
	r.err = pipeline.ErrRefusedAtDeadline
	if stream := r.ex.AnswerStream; stream != nil {
		_, _ = io.Copy(io.Discard, stream) // the relay reports how the run ended
		_ = stream.Close()
	}
}
