package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
)

// writeResult describes an applied write: the tables that it changed and, for a
// commit or an object, its revision.
type writeResult struct {
	tables   []string
	revision uint64
}

func (s *Server) getRow(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	row, err := s.store.Get(context.Background(), string(args.Peek("table")), string(args.Peek("key")))
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
		replyError(ctx, fmt.Errorf("%w: limit: %w", store.ErrInvalid, err))
		return
	}
	pageRows := min(limit, store.MaxScanRows)
	rows, err := s.store.Scan(context.Background(), string(args.Peek("table")), string(args.Peek("from")), pageRows)
	if err != nil {
		replyError(ctx, err)
		return
	}
	fit := rowsThatFit(rows)
	more := fit < len(rows) || (pageRows < limit && len(rows) == pageRows)
	reply(ctx, store.ScanReply{Rows: rows[:fit], More: more})
}

// rowsThatFit returns how many of the rows fit into one page: at least one, if
// there is any.
func rowsThatFit(rows []store.Row) int {
	size := 0
	for i, row := range rows {
		size += len(row.Value)
		if i > 0 && size > store.MaxScanBytes {
			return i
		}
	}
	return len(rows)
}

func (s *Server) getObject(ctx *fasthttp.RequestCtx) {
	value, err := s.store.Objects().Get(context.Background(), string(ctx.QueryArgs().Peek("name")))
	if err != nil {
		replyError(ctx, err)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(value)
}

func (s *Server) listVMs(ctx *fasthttp.RequestCtx) {
	vms, err := s.store.ListVMs(context.Background())
	if err != nil {
		replyError(ctx, err)
		return
	}
	replyVMs(ctx, store.VMsReply{VMs: vms})
}

// replyVMs answers with the list and its entity tag, or with 304 Not Modified if the
// caller's If-None-Match header names that tag.
func replyVMs(ctx *fasthttp.RequestCtx, list store.VMsReply) {
	reply(ctx, list)
	entityTag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(ctx.Response.Body()))
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == entityTag {
		ctx.NotModified()
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, entityTag)
}

func (s *Server) weightsRate(ctx *fasthttp.RequestCtx) {
	rate, err := s.weights.WeightsRate(context.Background())
	if err != nil {
		replyError(ctx, err)
		return
	}
	reply(ctx, rate)
}

func (s *Server) commit(ctx *fasthttp.RequestCtx, ops []store.Op) (writeResult, error) {
	revision, err := s.store.CommitRevision(context.Background(), ops)
	if err != nil {
		return writeResult{}, err
	}
	reply(ctx, store.CommitReply{Revision: revision})
	return writeResult{tables: tablesOf(ops), revision: revision}, nil
}

func tablesOf(ops []store.Op) []string {
	var tables []string
	for _, op := range ops {
		if op.Kind != store.OpCheck {
			tables = append(tables, op.Table)
		}
	}
	return tables
}

func (s *Server) putObject(ctx *fasthttp.RequestCtx) (writeResult, error) {
	name := string(ctx.QueryArgs().Peek("name"))
	revision, err := s.store.Objects().PutRevision(context.Background(), name, ctx.PostBody())
	if err != nil {
		return writeResult{}, err
	}
	reply(ctx, store.CommitReply{Revision: revision})
	return writeResult{tables: []string{ObjectsTable}, revision: revision}, nil
}

func (s *Server) requestFetch(ctx *fasthttp.RequestCtx) (writeResult, error) {
	var fetch store.WeightFetch
	if err := decode(ctx.PostBody(), &fetch); err != nil {
		return writeResult{}, err
	}
	permit, err := s.weights.RequestFetch(context.Background(), fetch)
	if err != nil {
		return writeResult{}, err
	}
	reply(ctx, permit)
	return writeResult{tables: []string{WeightsTable}}, nil
}

func (s *Server) finishFetch(ctx *fasthttp.RequestCtx) (writeResult, error) {
	var request store.FinishFetchRequest
	if err := decode(ctx.PostBody(), &request); err != nil {
		return writeResult{}, err
	}
	if err := s.weights.FinishFetch(context.Background(), request.ID); err != nil {
		return writeResult{}, err
	}
	reply(ctx, struct{}{})
	return writeResult{tables: []string{WeightsTable}}, nil
}

// decodeCommit decodes and validates the body of a commit.
func decodeCommit(body []byte) ([]store.Op, error) {
	var request store.CommitRequest
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	return request.Ops, store.CheckOps(request.Ops)
}

// decode decodes a body that must be a single JSON value without unknown fields.
func decode(body []byte, dst any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(dst); err != nil {
		return fmt.Errorf("%w: %w", store.ErrInvalid, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: more than one JSON value", store.ErrInvalid)
	}
	return nil
}

// replyError answers with the protocol's error body.
func replyError(ctx *fasthttp.RequestCtx, err error) {
	status, code := errorStatus(err)
	replyCode(ctx, status, code, err.Error())
}

func replyCode(ctx *fasthttp.RequestCtx, status int, code store.ErrorCode, detail string) {
	reply(ctx, store.ErrorReply{Code: code, Detail: detail})
	ctx.SetStatusCode(status)
}

func errorStatus(err error) (int, store.ErrorCode) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return fasthttp.StatusNotFound, store.CodeNotFound
	case errors.Is(err, store.ErrConflict):
		return fasthttp.StatusConflict, store.CodeConflict
	case errors.Is(err, store.ErrInvalid):
		return fasthttp.StatusBadRequest, store.CodeInvalid
	default:
		return fasthttp.StatusServiceUnavailable, store.CodeUnavailable
	}
}
