package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

func (s *Server) patch(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var patch config.Patch
	if err := decode(req, &patch); err != nil {
		return nil, err
	}
	return s.apply(ctx, patch)
}

func (s *Server) rollback(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var request RollbackRequest
	if err := decode(req, &request); err != nil {
		return nil, err
	}
	changes, err := s.rollbackChanges(ctx, request)
	if err != nil {
		return nil, err
	}
	return s.apply(ctx, config.Patch{
		ID:      request.ID,
		Base:    request.Base,
		Author:  request.Author,
		Note:    request.Note,
		Changes: changes,
	})
}

// rollbackChanges returns the merge patch from the base to the old declarations. It
// depends on two immutable versions only, so that a resend gives the same patch.
func (s *Server) rollbackChanges(ctx context.Context, request RollbackRequest) ([]byte, error) {
	if request.To == 0 || request.To >= request.Base {
		return nil, result.New(result.InvalidPatch, "to (%d) must be an older version than base (%d)", request.To, request.Base)
	}
	from, err := s.readVersion(ctx, request.Base)
	if err != nil {
		return nil, err
	}
	to, err := s.readVersion(ctx, request.To)
	if err != nil {
		return nil, err
	}
	changes, _, err := config.Diff(from.Declarations, to.Declarations)
	if err != nil {
		return nil, result.Wrap(result.InvalidPatch, err, "the rollback cannot be written as a patch")
	}
	return changes, nil
}

// readVersion reads a version that a change starts from. Its errors get the codes of reads,
// as nothing was changed.
func (s *Server) readVersion(ctx context.Context, version config.Version) (*config.Snapshot, error) {
	snapshot, err := s.backend.Config(ctx, version)
	if err == nil {
		return snapshot, nil
	}
	code := result.Code(errorBody(err, result.PlatformUnavailable).Code)
	return nil, result.Wrap(code, err, "version %d cannot be read: %s", version, code.Info().Meaning)
}

func (s *Server) apply(ctx context.Context, patch config.Patch) (any, error) {
	patch, err := patch.Normalise()
	if err != nil {
		return nil, err
	}
	version, err := s.backend.Apply(ctx, patch)
	if err != nil {
		return nil, err
	}
	s.log.Info("operator: Patch accepted.", "patch", patch.ID, "base", patch.Base, "version", version)
	return PatchAccepted{ID: patch.ID, Version: version}, nil
}

// decode reads one JSON document from the body and refuses unknown fields. An
// empty body leaves the destination unchanged.
func decode(req *fasthttp.RequestCtx, into any) error {
	body, err := readBody(req)
	if err != nil {
		return err
	}
	if len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return result.Wrap(result.InvalidPatch, err, "the body cannot be read: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return result.New(result.InvalidPatch, "the body holds more than one document")
	}
	return nil
}

// numberArg reads a whole number from the query; defaultValue if it is absent.
func numberArg(req *fasthttp.RequestCtx, name string, defaultValue uint64) (uint64, error) {
	raw := req.QueryArgs().Peek(name)
	if len(raw) == 0 {
		return defaultValue, nil
	}
	value, err := strconv.ParseUint(string(raw), 10, 64)
	if err != nil {
		return 0, result.New(result.BadRequest, "%s is not a whole number", name)
	}
	return value, nil
}
