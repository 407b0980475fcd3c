package forward

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/forward/forwardpb"
)

var kindToProto = map[store.OpKind]forwardpb.Kind{
	store.OpInsert: forwardpb.Kind_KIND_INSERT,
	store.OpUpdate: forwardpb.Kind_KIND_UPDATE,
	store.OpDelete: forwardpb.Kind_KIND_DELETE,
	store.OpCheck:  forwardpb.Kind_KIND_CHECK,
}

var kindFromProto = map[forwardpb.Kind]store.OpKind{
	forwardpb.Kind_KIND_INSERT: store.OpInsert,
	forwardpb.Kind_KIND_UPDATE: store.OpUpdate,
	forwardpb.Kind_KIND_DELETE: store.OpDelete,
	forwardpb.Kind_KIND_CHECK:  store.OpCheck,
}

// resultErrors maps the results of the protocol to errors. All other errors are
// encoded as RESULT_UNKNOWN.
var resultErrors = map[forwardpb.Result]error{
	forwardpb.Result_RESULT_CONFLICT:    store.ErrConflict,
	forwardpb.Result_RESULT_UNAVAILABLE: store.ErrUnavailable,
	forwardpb.Result_RESULT_INVALID:     store.ErrInvalid,
}

func encodeCommit(ops []store.Op) ([]byte, error) {
	request := &forwardpb.Commit{}
	for _, op := range ops {
		request.Ops = append(request.Ops, &forwardpb.Op{
			Kind:     kindToProto[op.Kind],
			Table:    op.Table,
			Key:      op.Key,
			Value:    op.Value,
			Revision: op.Revision,
		})
	}
	return proto.Marshal(request)
}

func decodeCommit(payload []byte) ([]store.Op, error) {
	var request forwardpb.Commit
	if err := proto.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("forward: commit cannot be read: %w", err)
	}
	var ops []store.Op
	for _, op := range request.GetOps() {
		ops = append(ops, store.Op{
			Kind:     kindFromProto[op.GetKind()],
			Table:    op.GetTable(),
			Key:      op.GetKey(),
			Value:    op.GetValue(),
			Revision: op.GetRevision(),
		})
	}
	return ops, store.CheckOps(ops)
}

// encodeOutcome encodes the outcome of a commit.
func encodeOutcome(revision uint64, err error) []byte {
	outcome := &forwardpb.Outcome{Result: resultOf(err), Revision: revision}
	if err != nil {
		outcome.Detail = err.Error()
	}
	encoded, err := proto.Marshal(outcome)
	if err != nil {
		return nil // decoded as RESULT_UNKNOWN; an error's text may be invalid UTF-8
	}
	return encoded
}

// resultOf returns the result for an error. It is RESULT_UNKNOWN for an error that
// wraps store.ErrUnknown, whatever else it wraps.
func resultOf(err error) forwardpb.Result {
	if err == nil {
		return forwardpb.Result_RESULT_APPLIED
	}
	if errors.Is(err, store.ErrUnknown) {
		return forwardpb.Result_RESULT_UNKNOWN
	}
	for result, meaning := range resultErrors {
		if errors.Is(err, meaning) {
			return result
		}
	}
	return forwardpb.Result_RESULT_UNKNOWN
}

// decodeOutcome returns the outcome of the writer's commit.
func decodeOutcome(answer []byte) (uint64, error) {
	var outcome forwardpb.Outcome
	if err := proto.Unmarshal(answer, &outcome); err != nil {
		return 0, fmt.Errorf("%w (forward: decode outcome): %w", store.ErrUnknown, err)
	}
	if outcome.GetResult() == forwardpb.Result_RESULT_APPLIED {
		return outcome.GetRevision(), nil
	}
	if meaning, ok := resultErrors[outcome.GetResult()]; ok {
		return 0, fmt.Errorf("%w (forward: reported by the writer): %s", meaning, outcome.GetDetail())
	}
	return 0, fmt.Errorf("%w (forward: reported by the writer): %s", store.ErrUnknown, outcome.GetDetail())
}
