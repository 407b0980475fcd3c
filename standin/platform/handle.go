package platform

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
)

// handle serves one call: it injects the faults that come before the call, applies
// the call, and injects the faults that come after. closing ends every wait.
func (s *Server) handle(ctx *fasthttp.RequestCtx, closing <-chan struct{}) {
	if s.serveControl(ctx) {
		return
	}
	if !s.applyOutage(ctx, closing) {
		return
	}
	faults, _ := s.faults.get()
	if !sleep(faults.DelayMillis, closing) {
		cutConnection(ctx)
		return
	}
	if s.serveRead(ctx) {
		sleep(faults.ReplyDelayMillis, closing)
		return
	}
	s.serveWrite(ctx, closing)
}

// applyOutage holds or refuses the call, or closes its connection, while there is an
// outage. It reports whether the call is to be served.
func (s *Server) applyOutage(ctx *fasthttp.RequestCtx, closing <-chan struct{}) bool {
	held := OutageNone
	for {
		faults, changed := s.faults.get()
		switch faults.Outage {
		case OutageNone:
			if held == OutageHang {
				cutConnection(ctx)
				return false
			}
			return true
		case OutageRefuse:
			s.countFault("outage")
			replyCode(ctx, fasthttp.StatusServiceUnavailable, store.CodeUnavailable, "outage")
			return false
		case OutageDrop:
			s.countFault("outage")
			cutConnection(ctx)
			return false
		}
		held = faults.Outage
		if !s.holdCall(changed, closing) {
			cutConnection(ctx)
			return false
		}
	}
}

// holdCall waits until the faults change. It reports false if the server closes
// first.
func (s *Server) holdCall(changed, closing <-chan struct{}) bool {
	s.countFault("outage")
	s.heldCalls.Add(1)
	defer s.heldCalls.Add(-1)
	select {
	case <-changed:
		return true
	case <-closing:
		return false
	}
}

// HeldCalls returns the number of calls that an outage holds at present.
func (s *Server) HeldCalls() int { return int(s.heldCalls.Load()) }

// serveRead serves a read. It reports false if the call is not a read.
func (s *Server) serveRead(ctx *fasthttp.RequestCtx) bool {
	serve := s.readHandler(ctx)
	if serve == nil {
		return false
	}
	s.countCall(ctx)
	if !s.faults.allowRead() {
		s.countFault("rate_limited")
		replyCode(ctx, fasthttp.StatusTooManyRequests, store.CodeRateLimited, "too many reads")
		return true
	}
	serve(ctx)
	return true
}

func (s *Server) readHandler(ctx *fasthttp.RequestCtx) func(*fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		return nil
	}
	switch string(ctx.Path()) {
	case store.PathRow:
		return s.getRow
	case store.PathScan:
		return s.scan
	case store.PathObjects:
		return s.getObject
	case store.PathVMs:
		return s.listVMs
	case store.PathWeightsRate:
		return s.weightsRate
	default:
		return nil
	}
}

// serveWrite serves a write. A fault may lose the reply after the write is applied.
func (s *Server) serveWrite(ctx *fasthttp.RequestCtx, closing <-chan struct{}) {
	apply, rows, err := s.writeHandler(ctx)
	if err != nil {
		replyError(ctx, err)
		return
	}
	s.countCall(ctx)
	if s.refuseWrite(ctx, rows) {
		return
	}
	written, err := apply()
	if err != nil {
		replyError(ctx, err)
	} else if s.faults.loseReply(written.tables) {
		s.countFault("reply_lost")
		s.journal.markReplyLost(written.revision)
		cutConnection(ctx)
		return
	}
	faults, _ := s.faults.get()
	sleep(faults.ReplyDelayMillis, closing)
}

// writeHandler returns the function that applies the write, and the number of rows
// that the write counts as for Faults.RowsPerSecond.
func (s *Server) writeHandler(ctx *fasthttp.RequestCtx) (apply func() (writeResult, error), rows int, err error) {
	switch method, path := string(ctx.Method()), string(ctx.Path()); {
	case method == fasthttp.MethodPost && path == store.PathCommit:
		ops, err := decodeCommit(ctx.PostBody())
		return func() (writeResult, error) { return s.commit(ctx, ops) }, len(ops), err
	case method == fasthttp.MethodPut && path == store.PathObjects:
		return func() (writeResult, error) { return s.putObject(ctx) }, 1, nil
	case method == fasthttp.MethodPost && path == store.PathWeightsFetch:
		return func() (writeResult, error) { return s.requestFetch(ctx) }, 1, nil
	case method == fasthttp.MethodPost && path == store.PathWeightsFinish:
		return func() (writeResult, error) { return s.finishFetch(ctx) }, 1, nil
	default:
		return nil, 0, fmt.Errorf("%w: no call %s %s", store.ErrInvalid, method, path)
	}
}

// refuseWrite refuses a write if the faults in force require it, and reports whether
// it did.
func (s *Server) refuseWrite(ctx *fasthttp.RequestCtx, rows int) bool {
	if faults, _ := s.faults.get(); faults.ReadOnly {
		s.countFault("read_only")
		replyCode(ctx, fasthttp.StatusServiceUnavailable, store.CodeReadOnly, "read only")
		return true
	}
	if !s.faults.allowWrite(rows) {
		s.countFault("rate_limited")
		replyCode(ctx, fasthttp.StatusTooManyRequests, store.CodeRateLimited, "too many writes")
		return true
	}
	return false
}

// sleep waits for a number of milliseconds. It reports false if the server closes
// first.
func sleep(millis int, closing <-chan struct{}) bool {
	if millis <= 0 {
		return !isClosed(closing)
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-closing:
		return false
	}
}

// cutConnection closes the connection without an answer.
func cutConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// countFault counts a call that a fault affected.
func (s *Server) countFault(fault string) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf(`standin_platform_faults_total{fault=%q}`, fault)).Inc()
}

func (s *Server) countCall(ctx *fasthttp.RequestCtx) {
	name := fmt.Sprintf(`standin_platform_calls_total{method=%q,path=%q}`, ctx.Method(), ctx.Path())
	s.metrics.GetOrCreateCounter(name).Inc()
}
