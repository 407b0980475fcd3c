package route

import (
	"context"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/pipeline"
)

// inForce gives one configuration with a public route.
type inForce struct{ snapshot *config.Snapshot }

func (s inForce) InForce() *config.Snapshot { return s.snapshot }

// TestLatenessHasPassed: a late router counts the time in which a request lay unread as
// spent, up to half of what the request has.
func TestLatenessHasPassed(t *testing.T) {
	source := inForce{&config.Snapshot{Version: 1, Declarations: config.Declarations{
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
