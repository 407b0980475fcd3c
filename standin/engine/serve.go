package engine

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/targets"
)

// Serve implements host.Target.
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
	entry := e.host.RecordReceived(ctx)
	r := newRun(call, entry, string(ctx.PostBody()), faults)
	if faults.Refuse || !e.enqueue(r) {
		e.host.RefuseNotRun(ctx, entry)
		return
	}
	e.respond(ctx, newReader(e, r, 0, ctx.Conn()))
}

// serveResume continues a broken stream at a byte offset.
func (e *Engine) serveResume(ctx *fasthttp.RequestCtx, call Call, raw string) {
	offset, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || offset < 0 {
		ctx.Error("bad "+targets.HeaderResumeOffset, fasthttp.StatusBadRequest)
		return
	}
	entry := e.host.RecordReceived(ctx)
	r := e.takeOver(entry.RequestID, call, e.host.TakeFaults(), entry.Run)
	if r == nil {
		ctx.Error("nothing to resume", fasthttp.StatusGone)
		return
	}
	e.respond(ctx, newReader(e, r, offset, ctx.Conn()))
}

// takeOver finds the run of a broken stream and detaches its former reader. It
// queues the run again unless it still runs or is complete. It returns nil if there
// is no such run.
func (e *Engine) takeOver(requestID string, call Call, faults host.Faults, runNumber uint64) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireResumable()
	r := e.resumable[requestID]
	if r == nil || r.call != call || !call.Stream || r.phase == phaseDropped {
		return nil
	}
	close(r.notify)
	r.notify = make(chan struct{}, 1)
	r.notify <- struct{}{}
	r.faults = faults
	r.entry.Run = runNumber
	if r.phase == phaseDetached {
		r.phase = phaseQueued
		e.queue = append(e.queue, r)
		e.wakeStepLoop()
	}
	return r
}

// respond sends the answer of a run: as a stream while it is generated, or as one
// document when it is complete.
func (e *Engine) respond(ctx *fasthttp.RequestCtx, reader *reader) {
	if reader.run.call.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(reader, -1)
		return
	}
	defer reader.Close()
	if err := reader.waitAll(); err != nil {
		host.Abort(ctx)
		return
	}
	body := reader.run.call.bodyJSON(reader.run.entry.RequestID)
	ctx.SetContentType("application/json")
	if limit := reader.faults.BreakAfterTokens; limit > 0 {
		ctx.SetBodyStream(host.BrokenBody(body, len(body)/2), -1)
		return
	}
	ctx.SetBody(body)
}
