package pipeline

import (
	"context"
	"testing"

	"github.com/walnutcove/walnutcove/config"
)

// TestOutlivesCaller checks that only a non-idempotent run, which must neither be left
// half done nor be repeated, continues after its caller disconnects. A stream ends with
// its caller even if it must not be repeated.
func TestOutlivesCaller(t *testing.T) {
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
			ServingContext: context.Background(),
			Route:          &config.NamedRoute{Route: c.route},
			Idempotent:     c.route.IsIdempotent(),
		}
		if got := ex.OutlivesCaller(); got != c.want {
			t.Errorf("%+v: %v", c.route, got)
		}
	}
	if ex := (&Exchange{ServingContext: context.Background()}); !ex.OutlivesCaller() {
		t.Error("a non-idempotent run without a route ends with its caller")
	}
}
