package pipeline

import (
	"context"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
)

type noRun struct{}

func (noRun) Begin()              {}
func (noRun) End(control.Outcome) {}

// fullExchange has a value in each exported field.
func fullExchange() *Exchange {
	gone := make(chan struct{})
	return &Exchange{
		Sequence: 1, ID: "id", Arrived: time.Now(), Method: "POST", Path: "/", Host: "h", ContentType: "text/plain",
		Header: map[string]string{"A": "b"}, Body: []byte("body"), CallerGone: gone,
		LookForCaller: func() bool { return true }, TargetServes: func() bool { return true },
		Serving: context.Background(), Hold: func() func() { return func() {} },
		Snapshot: &config.Snapshot{}, WorkspaceName: "w", Workspace: config.Workspace{KeyHashes: []string{"k"}},
		PoolName: "p", Pool: config.Pool{Kind: config.KindService}, Model: "m", Stream: true, Idempotent: true,
		IdempotencyKey: "k", CostHint: 1, Deadline: time.Now(), PrefixHash: 1, Fingerprint: 1,
		Route: &config.NamedRoute{}, Work: control.Work{PromptTokens: 1}, Attempt: 1, Target: "t", Address: "a",
		Excluded: []string{"t"}, Placed: Placement{Reads: 1}, FetchAddress: "f", AfterEvent: "1", Run: noRun{},
		Status: 200, AnswerHeader: map[string]string{"A": "b"}, AnswerBody: []byte("answer"),
		AnswerStream: io.NopCloser(strings.NewReader("")), BeforeDispatch: []func() error{func() error { return nil }},
	}
}

// TestForkAndAdoptLeaveNothingOut guards against a field of the exchange that the run of a
// request lacks, or that its caller's answer does.
func TestForkAndAdoptLeaveNothingOut(t *testing.T) {
	full, adopted := fullExchange(), &Exchange{}
	forked := full.Fork()
	adopted.Adopt(full)
	values := func(ex *Exchange) reflect.Value { return reflect.ValueOf(ex).Elem() }
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Exchange]()) {
		if !field.IsExported() {
			continue
		}
		if values(full).FieldByIndex(field.Index).IsZero() {
			t.Errorf("%s has no value in this test", field.Name)
		}
		if values(forked).FieldByIndex(field.Index).IsZero() && values(adopted).FieldByIndex(field.Index).IsZero() {
			t.Errorf("%s is neither forked nor adopted", field.Name)
		}
	}
}

// TestSentOrToldNotRun guards against sending a request whose caller was told that it has not
// run, and against telling that of one that may have been sent.
func TestSentOrToldNotRun(t *testing.T) {
	sent, ended := &Exchange{}, &Exchange{}
	if !sent.BeginSend() || sent.EndUnsent() || !sent.BeginSend() {
		t.Error("a request that was sent is told as not run, or cannot be sent again")
	}
	if !ended.EndUnsent() || ended.BeginSend() {
		t.Error("a request that was told as not run is sent")
	}
}
