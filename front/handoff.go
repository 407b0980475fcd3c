package front

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/handoff"
	"github.com/walnutcove/walnutcove/result"
)

// prefaceTimeout bounds reading a preface, which the sender writes immediately after connecting.
const prefaceTimeout = time.Second

var (
	handoffsTaken   = metrics.NewCounter(`walnut_accept_handoffs_total{result="taken"}`)
	handoffsRefused = metrics.NewCounter(`walnut_accept_handoffs_total{result="refused"}`)
	handoffsUnread  = metrics.NewCounter(`walnut_accept_handoffs_total{result="unread"}`)
)

// shouldHandOff reports whether the next request shed from a new connection is handed off.
func (s *Server) shouldHandOff() bool {
	if s.options.Handoff == nil || s.draining.Load() || !s.options.Handoff.Wanted() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.handoffs) < s.options.MaxHandoffs
}

// handOff sends a complete request from a new connection to another router, and closes the
// connection.
func (s *Server) handOff(conn net.Conn, request []byte) {
	s.addHandoff(conn)
	defer s.removeHandoff(conn)
	defer conn.Close()
	switch s.options.Handoff.Send(request, conn) {
	case handoff.NotTaken:
		s.answerFailedHandoff(conn, request, nil)
	case handoff.Lost:
		s.answerFailedHandoff(conn, request, result.New(result.TargetLostRequest, "The router that took the request broke off before its answer."))
	}
}

// hijackForHandoff hands off a request that the HTTP library has parsed. It returns false for
// chunked requests, whose original bytes are not available.
func (s *Server) hijackForHandoff(ctx *fasthttp.RequestCtx) bool {
	header := &ctx.Request.Header
	if header.ContentLength() == lengthChunked {
		return false
	}
	s.takeArrival(header).keep(0)
	request := append([]byte(nil), header.Method()...)
	request = append(request, ' ')
	request = append(request, header.RequestURI()...)
	request = append(request, " HTTP/1.1\r\n"...)
	request = append(request, header.RawHeaders()...)
	if !bytes.HasSuffix(request, []byte("\r\n\r\n")) {
		request = append(request, "\r\n"...)
	}
	request = append(request, ctx.Request.Body()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { s.handOff(conn, request) })
	return true
}

// answerFailedHandoff answers a request whose handoff failed: with failure or, if that is nil, as
// a request refused because the router is busy.
func (s *Server) answerFailedHandoff(conn net.Conn, request []byte, failure *result.Error) {
	var ctx fasthttp.RequestCtx
	if err := ctx.Request.Header.Read(bufio.NewReader(bytes.NewReader(request))); err != nil {
		s.log.Error("front: Request headers could not be parsed after a failed handoff.", "error", err)
		return
	}
	ctx.Request.SetRequestURIBytes(ctx.Request.Header.RequestURI())
	if failure == nil {
		s.refuseBusy(&ctx)
	} else {
		requests.Inc()
		id := s.idOf(&ctx.Request.Header).text
		s.logRefused(id, failure)
		s.writeError(&ctx, id, failure)
		ctx.SetConnectionClose()
	}
	var out bytes.Buffer
	writer := bufio.NewWriter(&out)
	if err := errors.Join(ctx.Response.Write(writer), writer.Flush()); err != nil {
		return // unreachable: writes to a buffer do not fail
	}
	_ = conn.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)) // the write reports a closed connection
	_, _ = conn.Write(out.Bytes())                                    // the caller may have disconnected
}

func (s *Server) addHandoff(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handoffs[conn] = struct{}{}
}

func (s *Server) removeHandoff(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handoffs, conn)
	s.signal()
}

// ServeHandoffs serves requests handed off by other routers until the listener is closed. accepts
// reports whether to serve a request, given the versions in force at its sender.
func (s *Server) ServeHandoffs(listener net.Listener, accepts func(handoff.Preface) bool) error {
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			acceptFailures.Inc()
			s.log.Warn("front: Handoff connection could not be accepted.", "error", err)
			time.Sleep(acceptPause)
		default:
			go s.serveHandoff(conn, accepts)
		}
	}
}

// serveHandoff serves one request handed off by another router.
func (s *Server) serveHandoff(conn net.Conn, accepts func(handoff.Preface) bool) {
	_ = conn.SetReadDeadline(time.Now().Add(prefaceTimeout)) // the read reports a closed connection
	preface, err := handoff.ReadPreface(conn)
	if err != nil {
		handoffsUnread.Inc()
		s.log.Warn("front: Handoff preface could not be read.", "from", conn.RemoteAddr().String(), "error", err)
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if s.draining.Load() || !accepts(preface) {
		handoffsRefused.Inc()
		s.refuseHandoff(conn)
		return
	}
	handoffsTaken.Inc()
	c := newCallerConn(conn, s)
	c.admission = admitted
	c.handoffSource = conn.RemoteAddr().String()
	s.opened(c)
	// The HTTP library writes error responses, and connState finishes the exchange.
	if err := s.http.ServeConn(c); err != nil {
		s.log.Debug("front: Handoff connection failed.", "from", c.handoffSource, "error", err)
	}
}

// refuseHandoff tells the sender that its request is refused. The close lingers because unread
// input would reset the connection before the sender reads the refusal.
func (s *Server) refuseHandoff(conn net.Conn) {
	c := newCallerConn(conn, s)
	c.linger = true
	if err := handoff.Refuse(conn); err != nil {
		s.log.Debug("front: Handoff refusal could not be sent.", "error", err)
	}
	_ = c.Close()
}
