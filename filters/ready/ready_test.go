package ready

import (
	"context"
	"errors"
	"testing"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

type state struct{ ready, draining bool }

func (s state) Ready() bool    { return s.ready }
func (s state) Draining() bool { return s.draining }

func TestReady(t *testing.T) {
	for _, c := range []struct {
		state state
		code  result.Code
	}{
		{state{ready: true}, result.OK},
		{state{}, result.NotReady},
		{state{ready: true, draining: true}, result.Draining},
		{state{draining: true}, result.Draining},
	} {
		called := false
		err := New(c.state).Serve(context.Background(), &pipeline.Exchange{}, func(context.Context, *pipeline.Exchange) error {
			called = true
			return nil
		})
		var refusal *result.Error
		if !errors.As(err, &refusal) {
			refusal = &result.Error{RetryAfter: minRetryAfter}
		}
		advised := refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= maxRetryAfter
		if refusal.Code != c.code || called != (c.code == result.OK) || !advised {
			t.Errorf("%+v: got %v, called %t", c.state, err, called)
		}
	}
}
