package pipeline

import (
	"context"
	"testing"

	"github.com/walnutcove/walnutcove/config"
)

// TestWhatOutlivesItsCaller: only a run that may not be left half done and not be
// repeated goes on when its caller leaves; a stream ends with its caller, also if
// it may not be repeated.
func TestWhatOutlivesItsCaller(t *testing.T) {
	for _, c := range []struct {
		route config.Route
		want  bool
	}{
		{config.Route{Kind: config.RouteIdempotent}, false},
		{config.Route{Kind: config.RouteNonIdempotent}, true},
		{config.Route{Kind: config.RouteStream}, false},
		{config.Route{Kind: config.RouteStream, Resumes: true}, false},
	} {
		ex := &Exchange{
			Serving:    context.Background(),
			Route:      &config.NamedRoute{Route: c.route},
			Idempotent: c.route.IsIdempotent(),
		}
		if got := ex.OutlivesCaller(); got != c.want {
			t.Errorf("%+v: %v", c.route, got)
		}
	}
	if ex := (&Exchange{Serving: context.Background()}); !ex.OutlivesCaller() {
		t.Error("a non-idempotent run without a route ends with its caller")
	}
}
