package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// errEnded says that the caller got its end before the exchange did.
var errEnded = errors.New("front: the caller was refused by its deadline")

// Who gives a request its answer.
const (
	nobody int32 = iota
	theExchange
	theTimer
)

// endBy is pipeline.Exchange.EndBy.
func (r *request) endBy(at time.Time, refuse func() error) (stop func() bool) {
	timer := time.AfterFunc(time.Until(at), func() {
		r.refusing.Lock()
		defer r.refusing.Unlock()
		if r.answer.CompareAndSwap(nobody, theTimer) {
			r.server.refuseEarly(r, refuse())
		}
	})
	return func() bool {
		timer.Stop()
		return r.takeAnswer()
	}
}

// takeAnswer is called before the exchange's own answer is written. It reports false if the
// caller has been refused.
func (r *request) takeAnswer() bool {
	if r.answer.CompareAndSwap(nobody, theExchange) {
		return true
	}
	r.refusing.Lock() // until the refusal is written
	defer r.refusing.Unlock()
	return r.answer.Load() == theExchange
}

// refuseEarly writes a refusal while the exchange goes on, and ends the sending half of the
// connection. The goroutine that serves the connection closes it when the exchange ends.
func (s *Server) refuseEarly(r *request, err error) {
	s.watch.remove(r) // its caller may leave now
	var ctx fasthttp.RequestCtx
	s.writeError(&ctx, r.ex.ID, err)
	ctx.SetConnectionClose()
	ctx.Response.SkipBody = r.ex.Method == fasthttp.MethodHead
	var out bytes.Buffer
	writer := bufio.NewWriter(&out)
	// Writes to a buffer do not fail, and a caller that does not take its refusal is gone.
	_ = ctx.Response.Write(writer)
	_ = writer.Flush()
	_ = r.conn.Conn.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	_, _ = r.conn.Conn.Write(out.Bytes())
	r.conn.ended.Store(true)
	if half, ok := r.conn.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// dropAnswer ends an exchange whose caller has been refused. An answer that is still on its way
// is read, so that its run is not cut off.
func (r *request) dropAnswer() {
	r.err = errEnded
	if stream := r.ex.AnswerStream; stream != nil {
		_, _ = io.Copy(io.Discard, stream) // its end is the run's, which the relay tells
		_ = stream.Close()
	}
}
