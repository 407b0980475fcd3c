package engine

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/targets"
)

// Serve implements host.Behaviour.
func (e *Engine) Serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathChat, PathCompletions:
		e.serveCall(ctx)
	case PathOrder:
		e.serveOrder(ctx)
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func (e *Engine) serveCall(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("POST only", fasthttp.StatusMethodNotAllowed)
		return
	}
	call, err := ParseCall(string(ctx.Path()), ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if raw := ctx.Request.Header.Peek(targets.HeaderResumeOffset); len(raw) > 0 {
		e.serveResume(ctx, call, string(raw))
		return
	}
	faults := e.host.TakeFaults()
	entry := e.host.Received(ctx)
	r := newRun(call, entry, string(ctx.PostBody()), faults)
	if faults.Refuse || !e.enqueue(r) {
		e.host.RefuseNotRun(ctx, entry)
		return
	}
	e.respond(ctx, newReader(e, r, 0, ctx.Conn()))
}

// serveResume goes on with a broken stream from an offset.
func (e *Engine) serveResume(ctx *fasthttp.RequestCtx, call Call, raw string) {
	offset, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || offset < 0 {
		ctx.Error("bad "+targets.HeaderResumeOffset, fasthttp.StatusBadRequest)
		return
	}
	entry := e.host.Received(ctx)
	r := e.takeOver(entry.RequestID, call, e.host.TakeFaults(), entry.Run)
	if r == nil {
		ctx.Error("nothing to resume", fasthttp.StatusGone)
		return
	}
	e.respond(ctx, newReader(e, r, offset, ctx.Conn()))
}

// takeOver finds the run of a broken stream, cuts its former reader off, and
// queues it again unless it still runs or is whole.
func (e *Engine) takeOver(requestID string, call Call, faults host.Faults, number uint64) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	r := e.resumable[requestID]
	if r == nil || r.call != call || !call.Stream || r.phase == phaseDropped {
		return nil
	}
	close(r.notify)
	r.notify = make(chan struct{}, 1)
	r.notify <- struct{}{}
	r.faults = faults
	r.entry.Run = number
	if r.phase == phaseParked {
		r.phase = phaseQueued
		e.queue = append(e.queue, r)
		e.kickLoop()
	}
	return r
}

// respond sends the answer of a run as it is generated, or whole.
func (e *Engine) respond(ctx *fasthttp.RequestCtx, reader *reader) {
	if reader.run.call.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(reader, -1)
		return
	}
	defer reader.Close()
	if err := reader.waitWhole(); err != nil {
		host.Abort(ctx)
		return
	}
	body := reader.run.call.whole(reader.run.entry.RequestID)
	ctx.SetContentType("application/json")
	if limit := reader.faults.BreakAfterTokens; limit > 0 {
		ctx.SetBodyStream(host.BrokenBody(body, len(body)/2), -1)
		return
	}
	ctx.SetBody(body)
}
