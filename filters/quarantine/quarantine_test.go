package quarantine

import (
	"context"
	"errors"
	"testing"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

func TestRefusesOnlyQuarantinedFingerprints(t *testing.T) {
	set := &Set{}
	filter := &Filter{Set: set}
	runs := 0
	handler := pipeline.Chain(filter, countingFilter{runs: &runs})
	set.Change(7, true)
	if err := handler(context.Background(), &pipeline.Exchange{Fingerprint: 8}); err != nil || runs != 1 {
		t.Fatalf("other fingerprint: %v, %d runs", err, runs)
	}
	wantQuarantined(t, handler(context.Background(), &pipeline.Exchange{Fingerprint: 7}), result.RanNo)
	set.Change(7, false)
	if err := handler(context.Background(), &pipeline.Exchange{Fingerprint: 7}); err != nil || runs != 2 {
		t.Fatalf("after release: %v, %d runs", err, runs)
	}
}

func TestChecksAgainBeforeEachDispatch(t *testing.T) {
	set := &Set{}
	ex := &pipeline.Exchange{Fingerprint: 7, Attempt: 1}
	if err := pipeline.Chain(&Filter{Set: set})(context.Background(), ex); err != nil {
		t.Fatal(err)
	}
	if err := ex.BeforeDispatch[0](); err != nil {
		t.Fatal(err)
	}
	set.Change(7, true)
	wantQuarantined(t, ex.BeforeDispatch[0](), result.RanNo)
	ex.Attempt = 2
	wantQuarantined(t, ex.BeforeDispatch[0](), result.RanUnknown)
}

func wantQuarantined(t *testing.T, err error, ran result.Ran) {
	t.Helper()
	var refusal *result.Error
	if !errors.As(err, &refusal) || refusal.Code != result.Quarantined || refusal.Ran != ran {
		t.Fatalf("got %v", err)
	}
}

type countingFilter struct{ runs *int }

func (countingFilter) Name() string { return "counting" }

func (f countingFilter) Serve(ctx context.Context, ex *pipeline.Exchange, next pipeline.Handler) error {
	*f.runs++
	return next(ctx, ex)
}
