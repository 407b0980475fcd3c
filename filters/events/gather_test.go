package events

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	eventEvery = 10 * time.Millisecond
	eventCount = 40
)

// paced is a source that has an event ready each eventEvery, and gives all that are.
type paced struct {
	began time.Time
	given int
}

// Read implements io.Reader.
func (p *paced) Read(into []byte) (int, error) {
	if p.given == eventCount {
		return 0, io.EOF
	}
	if next := p.began.Add(time.Duration(p.given+1) * eventEvery); time.Now().Before(next) {
		time.Sleep(time.Until(next))
	}
	n := 0
	for ; p.given < eventCount && !time.Now().Before(p.began.Add(time.Duration(p.given+1)*eventEvery)); p.given++ {
		n += copy(into[n:], fmt.Sprintf("id: %d\ndata: x\n\n", p.given+1))
	}
	return n, nil
}

// Close implements io.Closer.
func (p *paced) Close() error { return nil }

// noRun is a run that nobody schedules.
type noRun struct{}

func (noRun) Begin()              {}
func (noRun) End(control.Outcome) {}

// relayed relays a stream at a lag. It returns the reads that it took, when the first
// event was handed on, and the longest pause.
func relayed(t *testing.T, lag, bears time.Duration) (reads int, first, longest time.Duration, body string) {
	t.Helper()
	relay := &Relay{Lag: func() time.Duration { return lag }, Log: slog.New(slog.DiscardHandler)}
	ex := &pipeline.Exchange{Run: noRun{}, Route: &config.NamedRoute{Route: config.Route{PauseMillis: int(bears.Milliseconds())}}}
	began := time.Now()
	source := &paced{began: began}
	if err := relay.Answer(context.Background(), ex, &targets.Response{Status: http.StatusOK, Body: source}); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 4<<10)
	last := began
	for {
		n, err := ex.AnswerStream.Read(buffer)
		body += string(buffer[:n])
		if err == io.EOF {
			return reads, first, longest, body
		}
		if reads == 0 {
			first = time.Since(began)
		}
		longest = max(longest, time.Since(last))
		last = time.Now()
		reads++
	}
}

// TestLateRouterGathersEvents: a router that runs late hands events on together, one
// in time each by itself, and neither holds the first, loses one, or pauses for long.
func TestLateRouterGathersEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := ""
		for n := range eventCount {
			want += fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
		}
		for _, c := range []struct {
			lag, bears   time.Duration
			least, most  int
			longestPause time.Duration
		}{
			{0, time.Second, eventCount, eventCount, eventEvery},
			{gatherFrom - 1, time.Second, eventCount, eventCount, eventEvery},
			{30 * time.Millisecond, 400 * time.Millisecond, 4, 6, mostGather + eventEvery},
			{time.Second, 0, 4, 6, mostGather + eventEvery},
			{time.Second, 80 * time.Millisecond, 20, 21, 20*time.Millisecond + eventEvery},
		} {
			reads, first, longest, body := relayed(t, c.lag, c.bears)
			if reads < c.least || reads > c.most || longest > c.longestPause {
				t.Errorf("lag %s: %d reads, a pause of %s", c.lag, reads, longest)
			}
			if first != eventEvery || body != want {
				t.Errorf("lag %s: first event after %s, %d bytes of %d", c.lag, first, len(body), len(want))
			}
		}
	})
}

// TestWhatWasReadIsHandedOn: events that were read together go on without a pause,
// also if the caller's buffer holds only some of them.
func TestWhatWasReadIsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := &Relay{Lag: func() time.Duration { return time.Second }, Log: slog.New(slog.DiscardHandler)}
		ex := &pipeline.Exchange{Run: noRun{}, Route: &config.NamedRoute{}}
		source := &paced{began: time.Now().Add(-time.Hour)} // all events are there
		if err := relay.Answer(context.Background(), ex, &targets.Response{Status: http.StatusOK, Body: source}); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		buffer := make([]byte, 64)
		for {
			if _, err := ex.AnswerStream.Read(buffer); err == io.EOF {
				break
			}
		}
		if took := time.Since(began); took > mostGather {
			t.Errorf("%s for events that were all there", took)
		}
	})
}
