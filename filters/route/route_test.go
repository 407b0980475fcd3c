package route

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// staticSource is a Source with a fixed snapshot.
type staticSource struct{ snapshot *config.Snapshot }

func (s staticSource) InForce() *config.Snapshot { return s.snapshot }

// TestLagCountsAgainstDeadline checks that a router that lags subtracts the time in which
// a request waited to be read from the request's time, up to half of that time.
func TestLagCountsAgainstDeadline(t *testing.T) {
	source := staticSource{&config.Snapshot{Version: 1, Declarations: config.Declarations{
		Pools: map[string]config.Pool{"p": {Kind: config.KindService}},
		Routes: map[string]config.Route{"r": {
			Host: "h", Prefix: "/", Kind: config.RouteIdempotent, Public: true, TimeoutMillis: 4000,
			Split: []config.RouteShare{{Pool: "p", Weight: 1}},
		}},
	}}}
	for _, c := range []struct {
		asked string
		lag   time.Duration
		want  time.Duration
	}{
		{"1000", 0, time.Second},
		{"1000", 300 * time.Millisecond, 700 * time.Millisecond},
		{"1000", 3 * time.Second, 500 * time.Millisecond},
		{"", 300 * time.Millisecond, 3700 * time.Millisecond},
	} {
		ex := &pipeline.Exchange{Host: "h", Path: "/x", Arrived: time.Now(), Header: map[string]string{}}
		ex.Header["Deadline"] = c.asked
		f := New(Options{Source: source, Dialect: &dialect.Dialect{Deadline: "Deadline"}, Lag: func() time.Duration { return c.lag }})
		err := f.Serve(context.Background(), ex, func(context.Context, *pipeline.Exchange) error { return nil })
		if got := ex.Deadline.Sub(ex.Arrived); err != nil || got != c.want {
			t.Errorf("asked %q at a lag of %s: %s, %v, want %s", c.asked, c.lag, got, err, c.want)
		}
	}
}

// TestUnknownPathIsNotFinalWhileBehind guards against a 404 or 401, after which callers give up,
// from a router that knows that it lacks a newer version.
func TestUnknownPathIsNotFinalWhileBehind(t *testing.T) {
	source := staticSource{&config.Snapshot{Version: 1, Declarations: config.Declarations{
		Pools:  map[string]config.Pool{"p": {Kind: config.KindService}},
		Routes: map[string]config.Route{"r": {Host: "h", Prefix: "/", Kind: config.RouteIdempotent, Split: []config.RouteShare{{Pool: "p", Weight: 1}}}},
	}}}
	for _, c := range []struct {
		host, key string
		behind    bool
		want      result.Code
	}{
		{"other", "k", false, result.UnknownPath},
		{"other", "k", true, result.VersionBehind},
		{"h", "k", false, result.KeyWrong},
		{"h", "k", true, result.VersionBehind},
		{"h", "", true, result.KeyMissing},
	} {
		ex := &pipeline.Exchange{Host: c.host, Path: "/x", Arrived: time.Now(), Header: map[string]string{"Key": c.key}}
		f := New(Options{Source: source, Dialect: &dialect.Dialect{Key: "Key"}, IsBehind: func() bool { return c.behind }})
		err := f.Serve(context.Background(), ex, func(context.Context, *pipeline.Exchange) error { return nil })
		var refusal *result.Error
		if !errors.As(err, &refusal) || refusal.Code != c.want || refusal.Ran != result.RanNo {
			t.Errorf("host %q, key %q, behind %v: %v, want %d", c.host, c.key, c.behind, err, c.want)
		}
		if isBehind := c.want == result.VersionBehind; isBehind != (refusal.RetryAfter > 0) {
			t.Errorf("host %q, key %q, behind %v: retry after %s", c.host, c.key, c.behind, refusal.RetryAfter)
		}
	}
}
