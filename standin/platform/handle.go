package platform

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
)

// handle serves one call: first the faults that come before it is applied, then
// the call, then the faults that come after. closing ends every wait.
func (s *Server) handle(ctx *fasthttp.RequestCtx, closing <-chan struct{}) {
	if s.control(ctx) {
		return
	}
	if !s.passOutage(ctx, closing) {
		return
	}
	faults, _ := s.faults.get()
	if !pause(faults.DelayMillis, closing) {
		drop(ctx)
		return
	}
	if s.read(ctx) {
		pause(faults.ReplyDelayMillis, closing)
		return
	}
	s.write(ctx, closing)
}

// passOutage holds, refuses or drops the call while there is an outage, and
// says whether the call goes on.
func (s *Server) passOutage(ctx *fasthttp.RequestCtx, closing <-chan struct{}) bool {
	held := OutageNone
	for {
		faults, changed := s.faults.get()
		switch faults.Outage {
		case OutageNone:
			if held == OutageHang {
				drop(ctx)
				return false
			}
			return true
		case OutageRefuse:
			s.count("outage")
			replyCode(ctx, fasthttp.StatusServiceUnavailable, store.CodeUnavailable, "outage")
			return false
		case OutageDrop:
			s.count("outage")
			drop(ctx)
			return false
		}
		held = faults.Outage
		if !s.hold(changed, closing) {
			drop(ctx)
			return false
		}
	}
}

// hold waits until the faults change and says whether the server still runs.
func (s *Server) hold(changed, closing <-chan struct{}) bool {
	s.count("outage")
	s.held.Add(1)
	defer s.held.Add(-1)
	select {
	case <-changed:
		return true
	case <-closing:
		return false
	}
}

// Held counts the calls that an outage holds now.
func (s *Server) Held() int { return int(s.held.Load()) }

// read serves a read and says whether the call was one.
func (s *Server) read(ctx *fasthttp.RequestCtx) bool {
	serve := s.reader(ctx)
	if serve == nil {
		return false
	}
	s.countCall(ctx)
	if !s.faults.allowRead() {
		s.count("rate_limited")
		replyCode(ctx, fasthttp.StatusTooManyRequests, store.CodeRateLimited, "too many reads")
		return true
	}
	serve(ctx)
	return true
}

func (s *Server) reader(ctx *fasthttp.RequestCtx) func(*fasthttp.RequestCtx) {
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

// write serves a write. If it took effect, its reply may be lost.
func (s *Server) write(ctx *fasthttp.RequestCtx, closing <-chan struct{}) {
	apply, rows, err := s.writer(ctx)
	if err != nil {
		replyError(ctx, err)
		return
	}
	s.countCall(ctx)
	if s.refuseWrite(ctx, rows) {
		return
	}
	done, err := apply()
	if err != nil {
		replyError(ctx, err)
	} else if s.faults.loseReply(done.tables) {
		s.count("reply_lost")
		s.journal.markLost(done.revision)
		drop(ctx)
		return
	}
	faults, _ := s.faults.get()
	pause(faults.ReplyDelayMillis, closing)
}

// writer returns what applies the write, and how many rows it writes.
func (s *Server) writer(ctx *fasthttp.RequestCtx) (apply func() (write, error), rows int, err error) {
	switch method, path := string(ctx.Method()), string(ctx.Path()); {
	case method == fasthttp.MethodPost && path == store.PathCommit:
		ops, err := decodeCommit(ctx.PostBody())
		return func() (write, error) { return s.commit(ctx, ops) }, len(ops), err
	case method == fasthttp.MethodPut && path == store.PathObjects:
		return func() (write, error) { return s.putObject(ctx) }, 1, nil
	case method == fasthttp.MethodPost && path == store.PathWeightsFetch:
		return func() (write, error) { return s.requestFetch(ctx) }, 1, nil
	case method == fasthttp.MethodPost && path == store.PathWeightsFinish:
		return func() (write, error) { return s.finishFetch(ctx) }, 1, nil
	default:
		return nil, 0, fmt.Errorf("%w: no call %s %s", store.ErrInvalid, method, path)
	}
}

// refuseWrite answers a write that the faults in force refuse.
func (s *Server) refuseWrite(ctx *fasthttp.RequestCtx, rows int) bool {
	if faults, _ := s.faults.get(); faults.ReadOnly {
		s.count("read_only")
		replyCode(ctx, fasthttp.StatusServiceUnavailable, store.CodeReadOnly, "read only")
		return true
	}
	if !s.faults.allowWrite(rows) {
		s.count("rate_limited")
		replyCode(ctx, fasthttp.StatusTooManyRequests, store.CodeRateLimited, "too many writes")
		return true
	}
	return false
}

// pause waits and says whether the server still runs at its end.
func pause(millis int, closing <-chan struct{}) bool {
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

// drop cuts the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func (s *Server) count(fault string) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf(`standin_platform_faults_total{fault=%q}`, fault)).Inc()
}

func (s *Server) countCall(ctx *fasthttp.RequestCtx) {
	name := fmt.Sprintf(`standin_platform_calls_total{method=%q,path=%q}`, ctx.Method(), ctx.Path())
	s.metrics.GetOrCreateCounter(name).Inc()
}
