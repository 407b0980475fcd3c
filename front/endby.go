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
	r.deadlineTimer = time.AfterFunc(time.Until(deadline), func() { r.deadlinePassed(newRefusal) })
	return r.claimAnswer
}

// deadlinePassed refuses the caller, or cuts off the answer stream that is being written.
func (r *request) deadlinePassed(newRefusal func() error) {
	r.refusalMu.Lock()
	defer r.refusalMu.Unlock()
	if r.answerOwner.CompareAndSwap(answerUnclaimed, answeredByTimer) {
		r.ex.MarkUnattended()
		r.server.writeEarlyRefusal(r, newRefusal())
		return
	}
	r.lateRefusal = newRefusal
	if r.streams {
		r.cutStream()
	}
}

// beginStream is called before an answer stream is written.
func (r *request) beginStream() {
	r.refusalMu.Lock()
	defer r.refusalMu.Unlock()
	r.streams = true
	if r.lateRefusal != nil {
		r.cutStream()
	}
}

// endStream is called once the answer stream has ended or was closed. It returns why the stream was
// cut off at the deadline; nil if it was not.
func (r *request) endStream() error {
	r.refusalMu.Lock()
	defer r.refusalMu.Unlock()
	r.streams = false
	return r.cutErr
}

// cutStream ends the answer for the caller. The exchange continues: the goroutine that serves the
// connection fails to write, and closes the stream. refusalMu must be held.
func (r *request) cutStream() {
	r.cutErr = r.lateRefusal()
	r.ex.MarkUnattended()
	r.server.unwatchCaller(r) // the caller may disconnect from now on
	r.conn.cut()
}

// stopDeadline stops the refusal timer.
func (r *request) stopDeadline() {
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
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
// streamed is read to its end, within the limits of the relay, so that the target's run is not
// cut off.
func (r *request) discardAnswer() {
	r.err = pipeline.ErrRefusedAtDeadline
	if stream := r.ex.AnswerStream; stream != nil {
		_, _ = io.Copy(io.Discard, stream) // the relay reports how the run ended
		_ = stream.Close()
	}
}
