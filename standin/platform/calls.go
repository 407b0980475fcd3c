package platform

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/platform"
)

// pathSetVMs replaces the list of VMs.
const pathSetVMs = "/_vms"

func (s *Server) getRow(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	row, err := s.store.Get(ctx, string(args.Peek("table")), string(args.Peek("key")))
	if err != nil {
		replyError(ctx, err)
		return
	}
	reply(ctx, row)
}

func (s *Server) scan(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit, err := args.GetUint("limit")
	if err != nil {
		replyError(ctx, fmt.Errorf("%w: limit: %w", platform.ErrInvalid, err))
		return
	}
	rows, err := s.store.Scan(ctx, string(args.Peek("table")), string(args.Peek("from")), limit)
	if err != nil {
		replyError(ctx, err)
		return
	}
	reply(ctx, platform.ScanReply{Rows: rows})
}

func (s *Server) commit(ctx *fasthttp.RequestCtx) {
	request, err := decodeCommit(ctx.PostBody())
	if err != nil {
		replyError(ctx, err)
		return
	}
	revision, err := s.store.CommitRevision(ctx, request.Ops)
	if err != nil {
		replyError(ctx, err)
		return
	}
	reply(ctx, platform.CommitReply{Revision: revision})
}

// decodeCommit reads and checks the body of a commit.
func decodeCommit(body []byte) (platform.CommitRequest, error) {
	var request platform.CommitRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	}
	return request, platform.CheckOps(request.Ops)
}

func (s *Server) listVMs(ctx *fasthttp.RequestCtx) {
	vms, err := s.store.ListVMs(ctx)
	if err != nil {
		replyError(ctx, err)
		return
	}
	reply(ctx, platform.VMsReply{VMs: vms})
}

func (s *Server) setVMs(ctx *fasthttp.RequestCtx) {
	var request platform.VMsReply
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		replyError(ctx, fmt.Errorf("%w: %w", platform.ErrInvalid, err))
		return
	}
	s.store.SetVMs(request.VMs)
	reply(ctx, struct{}{})
}

// replyError answers with the protocol's error body.
func replyError(ctx *fasthttp.RequestCtx, err error) {
	status, code := errorStatus(err)
	reply(ctx, platform.ErrorReply{Code: code, Detail: err.Error()})
	ctx.SetStatusCode(status)
}

func errorStatus(err error) (int, platform.ErrorCode) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return fasthttp.StatusNotFound, platform.CodeNotFound
	case errors.Is(err, platform.ErrConflict):
		return fasthttp.StatusConflict, platform.CodeConflict
	case errors.Is(err, platform.ErrInvalid):
		return fasthttp.StatusBadRequest, platform.CodeInvalid
	default:
		return fasthttp.StatusServiceUnavailable, platform.CodeUnavailable
	}
}
