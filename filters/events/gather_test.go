package events

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	eventInterval = 10 * time.Millisecond
	eventCount    = 40
)

// pacedSource is a source that produces an event every eventInterval; a read returns
// all events produced so far.
type pacedSource struct {
	began time.Time
	sent  int
}

// Read implements io.Reader.
func (p *pacedSource) Read(into []byte) (int, error) {
	if p.sent == eventCount {
		return 0, io.EOF
	}
	if next := p.began.Add(time.Duration(p.sent+1) * eventInterval); time.Now().Before(next) {
		time.Sleep(time.Until(next))
	}
	n := 0
	for ; p.sent < eventCount && !time.Now().Before(p.began.Add(time.Duration(p.sent+1)*eventInterval)); p.sent++ {
		n += copy(into[n:], fmt.Sprintf("id: %d\ndata: x\n\n", p.sent+1))
	}
	return n, nil
}

// Close implements io.Closer.
func (p *pacedSource) Close() error { return nil }

// noopRun is a run that ignores all calls.
type noopRun struct{}

func (noopRun) Begin()   {}
func (noopRun) Overdue() {}
func (noopRun) Silent()  {}

func (noopRun) SetLoad(speed.Reading) {}

func (noopRun) End(control.Outcome) {}

// relayAll relays a stream at the given lag. It returns the number of reads, the time
// to the first event, the longest pause between reads, and the text relayed.
func relayAll(t *testing.T, lag, maxPause time.Duration) (reads int, timeToFirst, longestPause time.Duration, body string) {
	t.Helper()
	ex := &pipeline.Exchange{Run: noopRun{}, Route: &config.NamedRoute{Route: config.Route{PauseMillis: int(maxPause.Milliseconds())}}}
	return relayExchange(t, ex, lag, eventCount)
}

// relayExchange is relayAll for an exchange and a stream of the given number of events.
func relayExchange(t *testing.T, ex *pipeline.Exchange, lag time.Duration, events int) (reads int, timeToFirst, longestPause time.Duration, body string) {
	t.Helper()
	relay := &Relay{Lag: func() time.Duration { return lag }, Log: slog.New(slog.DiscardHandler)}
	began := time.Now()
	source := &pacedSource{began: began, sent: eventCount - events}
	source.began = began.Add(-time.Duration(source.sent) * eventInterval)
	if err := relay.Answer(context.Background(), ex, &targets.Response{Status: http.StatusOK, Body: source}); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 4<<10)
	lastRead := began
	for {
		n, err := ex.AnswerStream.Read(buffer)
		body += string(buffer[:n])
		if err == io.EOF {
			return reads, timeToFirst, longestPause, body
		}
		if reads == 0 {
			timeToFirst = time.Since(began)
		}
		longestPause = max(longestPause, time.Since(lastRead))
		lastRead = time.Now()
		reads++
	}
}

// TestLateRouterGathersEvents checks that a router that lags relays several events
// together and one that does not lag each by itself, and that neither delays the first
// event, loses one or pauses for too long.
func TestLateRouterGathersEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := ""
		for n := range eventCount {
			want += fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
		}
		for _, c := range []struct {
			lag, maxPause      time.Duration
			minReads, maxReads int
			longestPause       time.Duration
		}{
			{0, time.Second, eventCount, eventCount, eventInterval},
			{minGatherLag - 1, time.Second, eventCount, eventCount, eventInterval},
			{30 * time.Millisecond, 400 * time.Millisecond, 4, 6, maxGatherTime + eventInterval},
			{time.Second, 0, 4, 6, maxGatherTime + eventInterval},
			{time.Second, 80 * time.Millisecond, 20, 21, 20*time.Millisecond + eventInterval},
		} {
			reads, first, longestPause, body := relayAll(t, c.lag, c.maxPause)
			if reads < c.minReads || reads > c.maxReads || longestPause > c.longestPause {
				t.Errorf("lag %s: %d reads, a pause of %s", c.lag, reads, longestPause)
			}
			if first != eventInterval || body != want {
				t.Errorf("lag %s: first event after %s, %d bytes of %d", c.lag, first, len(body), len(want))
			}
		}
	})
}

// TestOffloadedEventsAreGathered guards against many small pieces of a response, each of which
// costs processor time at the router that forwarded the request, and against a first event, an end
// or any event that is late because of that: a stream ends when its target has ended it.
func TestOffloadedEventsAreGathered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			events, maxReads int
			maxPause         time.Duration
			longestPause     time.Duration
		}{
			{30, 4, 300 * time.Millisecond, 100 * time.Millisecond},
			{30, 4, 0, 100 * time.Millisecond},
			{30, 4, time.Second, 100 * time.Millisecond},
			{30, 11, 90 * time.Millisecond, 30 * time.Millisecond},
			{2, 2, 300 * time.Millisecond, eventInterval},
			{1, 1, 300 * time.Millisecond, eventInterval},
		} {
			ex := &pipeline.Exchange{Run: noopRun{}, GatherEvents: true, Route: &config.NamedRoute{Route: config.Route{PauseMillis: int(c.maxPause.Milliseconds())}}}
			began := time.Now()
			reads, first, longestPause, body := relayExchange(t, ex, 0, c.events)
			if reads > c.maxReads || longestPause > c.longestPause+eventInterval || first != eventInterval {
				t.Errorf("%d events: %d reads, the first after %s, a pause of %s", c.events, reads, first, longestPause)
			}
			if took, want := time.Since(began), time.Duration(c.events)*eventInterval; took > want || strings.Count(body, "data: x\n\n") != c.events {
				t.Errorf("%d events: ended after %s, want %s: %q", c.events, took, want, body)
			}
		}
	})
}

// endlessSource is a source that always has more bytes. It counts them.
type endlessSource struct {
	read   atomic.Int64
	closed chan struct{}
}

// Read implements io.Reader.
func (e *endlessSource) Read(p []byte) (int, error) {
	select {
	case <-e.closed:
		return 0, io.ErrClosedPipe
	default:
	}
	n := copy(p, "data: x\n\n")
	e.read.Add(int64(n))
	return n, nil
}

// Close implements io.Closer.
func (e *endlessSource) Close() error {
	close(e.closed)
	return nil
}

// TestPrefetchIsBounded guards against a stream that fills the memory when its caller does not
// read, and against a goroutine that is left when the caller goes away.
func TestPrefetchIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // fails if a goroutine is left
		source := &endlessSource{closed: make(chan struct{})}
		p := newPrefetcher(source, func(int) bool { return true })
		synctest.Wait()
		if read := source.read.Load(); read < maxPrefetchBytes || read > maxPrefetchBytes+minBufferBytes {
			t.Errorf("%d bytes were read ahead", read)
		}
		<-p.full
		buffer := make([]byte, 100)
		if n, err := p.Read(buffer); n != len(buffer) || err != nil {
			t.Errorf("read %d bytes, %v", n, err)
		}
		if err := p.Close(); err != nil {
			t.Error(err)
		}
		<-p.ended
	})
}

// TestReadEventsAreDeliveredAtOnce checks that events that were read together are relayed
// without a pause, even if the caller's buffer holds only some of them.
func TestReadEventsAreDeliveredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := &Relay{Lag: func() time.Duration { return time.Second }, Log: slog.New(slog.DiscardHandler)}
		ex := &pipeline.Exchange{Run: noopRun{}, Route: &config.NamedRoute{}}
		source := &pacedSource{began: time.Now().Add(-time.Hour)} // all events have been produced
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
		if took := time.Since(began); took > maxGatherTime {
			t.Errorf("took %s for events that had all been produced", took)
		}
	})
}
