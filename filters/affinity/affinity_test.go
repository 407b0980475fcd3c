package affinity

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/affinity"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// fixedSource answers every lookup alike.
type fixedSource struct {
	found control.AffinityFound
	asked int
}

// Find implements Source.
func (s *fixedSource) Find(context.Context, *pipeline.Exchange) (control.AffinityFound, *result.Error) {
	s.asked++
	return s.found, nil
}

func known(pool string) control.AffinityFound {
	return control.AffinityFound{Known: true, Affinity: affinity.Affinity{Pool: pool, Software: "v1"}}
}

// TestRequestsAreLimitedToWhereTheirStreamBegan guards against continuing a stream at another
// version or pool than the one that began it, and against lookups for new requests.
func TestRequestsAreLimitedToWhereTheirStreamBegan(t *testing.T) {
	named := func(ex *pipeline.Exchange) { ex.ResumedRequest, ex.CallerEventID = "first", "3" }
	unnamed := func(ex *pipeline.Exchange) { ex.CallerEventID = "3" }
	for name, c := range map[string]struct {
		set   func(*pipeline.Exchange)
		found control.AffinityFound
		code  result.Code // result.OK: the request goes on
		pool  string
		limit config.SoftwareLimit
		again bool
	}{
		"new request":            {set: func(*pipeline.Exchange) {}, pool: "old"},
		"known":                  {set: named, found: known("old"), pool: "old", limit: config.OnlySoftware("v1"), again: true},
		"began in another pool":  {set: named, found: known("new"), pool: "new", limit: config.OnlySoftware("v1"), again: true},
		"route moved away":       {set: named, found: known("gone"), code: result.SoftwareUnavailable},
		"pool of no weight":      {set: named, found: known("unused"), code: result.SoftwareUnavailable},
		"unknown":                {set: named, code: result.StreamUnknown},
		"unnamed, one version":   {set: unnamed, found: known("old"), pool: "old", limit: config.OnlySoftware("v1")},
		"unnamed, more than one": {set: unnamed, code: result.StreamUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			ex := &pipeline.Exchange{
				PoolName: "old",
				Snapshot: &config.Snapshot{},
				Route:    &config.NamedRoute{Route: config.Route{Split: []config.RouteShare{{Pool: "old", Weight: 1}, {Pool: "new", Weight: 1}, {Pool: "unused"}}}},
			}
			c.set(ex)
			source := &fixedSource{found: c.found}
			passed := false
			f := &Filter{Source: source, Log: slog.New(slog.DiscardHandler)}
			err := f.Serve(context.Background(), ex, func(context.Context, *pipeline.Exchange) error { passed = true; return nil })
			if c.code != result.OK {
				var refusal *result.Error
				if !errors.As(err, &refusal) || refusal.Code != c.code || refusal.Ran != result.RanNo || refusal.RetryAfter <= 0 || passed {
					t.Fatalf("got %v, passed on %v; want refusal %d with a time to retry", err, passed, c.code)
				}
				return
			}
			if err != nil || !passed || ex.PoolName != c.pool || ex.Software != c.limit || ex.Continues != c.again {
				t.Errorf("error %v, passed on %v, pool %s, limit %+v, continues %v", err, passed, ex.PoolName, ex.Software, ex.Continues)
			}
			if reconnects := ex.CallerEventID != ""; reconnects != (source.asked > 0) {
				t.Errorf("%d lookups", source.asked)
			}
		})
	}
}
