package events

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

// testTimeout limits every wait for an event that must come.
const testTimeout = 5 * time.Second

var errBroken = errors.New("connection reset")

// brokenSource returns its parts, one in each read, and then an error.
type brokenSource struct {
	parts []string
	err   error
}

// Read implements io.Reader.
func (b *brokenSource) Read(into []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, b.err
	}
	n := copy(into, b.parts[0])
	if b.parts[0] = b.parts[0][n:]; b.parts[0] == "" {
		b.parts = b.parts[1:]
	}
	return n, nil
}

// Close implements io.Closer.
func (b *brokenSource) Close() error { return nil }

// outcome is what a caller got of a stream, how the stream ended, and the ids after which it was
// resumed.
type outcome struct {
	body         string
	err          error
	resumedAfter []string
}

// relayBroken relays the parts of a stream that may be resumed and then breaks; read returns the
// reader of the caller. The resumed stream is rest.
func relayBroken(read func(io.Reader) io.Reader, rest string, parts ...string) (o outcome) {
	return relayBrokenFor(&pipeline.Exchange{}, read, rest, parts...)
}

// relayBrokenFor is relayBroken for an exchange.
func relayBrokenFor(ex *pipeline.Exchange, read func(io.Reader) io.Reader, rest string, parts ...string) (o outcome) {
	relay := &Relay{Log: slog.New(slog.DiscardHandler)}
	relay.Reopen = func(_ context.Context, ex *pipeline.Exchange) (*targets.Response, error) {
		ex.Run = noopRun{}
		o.resumedAfter = append(o.resumedAfter, ex.LastEventID)
		return &targets.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(rest))}, nil
	}
	ex.Run, ex.Route = noopRun{}, &config.NamedRoute{Route: config.Route{Resumes: true}}
	source := &brokenSource{parts: parts, err: errBroken}
	if o.err = relay.Answer(context.Background(), ex, &targets.Response{Status: http.StatusOK, Body: source}); o.err != nil {
		return o
	}
	body, err := io.ReadAll(read(ex.AnswerStream))
	o.body, o.err = string(body), err
	return o
}

// wholeReads is the reader of a caller that reads all that is there.
func wholeReads(r io.Reader) io.Reader { return r }

// TestStreamResumesAfterLastWholeEvent guards against gaps, and against events that are repeated
// or joined, whichever line ends the stream has and however it arrives.
func TestStreamResumesAfterLastWholeEvent(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		lines := func(text string) string { return strings.ReplaceAll(text, "|", lineEnd) }
		first, rest := lines("id: 1|data: a||id: 2|data: b||"), lines("id: 3|data: c||")
		cut := lines("id: 3|data")
		for split := range len(first) {
			for _, gather := range []bool{false, true} {
				o := relayBrokenFor(&pipeline.Exchange{GatherEvents: gather}, wholeReads, rest, first[:split], first[split:]+cut)
				if o.body != first+rest || o.err != nil || !slices.Equal(o.resumedAfter, []string{"2"}) {
					t.Errorf("line end %q, split at %d, gathered %v: %+v", lineEnd, split, gather, o)
				}
			}
		}
	}
}

// TestLastEventIsKnownHoweverItIsRead guards against events that are repeated: a caller's reads
// may divide an event anywhere, its id too.
func TestLastEventIsKnownHoweverItIsRead(t *testing.T) {
	first, rest := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	o := relayBroken(iotest.OneByteReader, rest, first)
	if o.body != first+rest || o.err != nil || !slices.Equal(o.resumedAfter, []string{"2"}) {
		t.Errorf("%+v", o)
	}
}

// TestEventsAreRelayedAsTheyArrive guards against holding a whole event back until more of the
// stream arrives.
func TestEventsAreRelayedAsTheyArrive(t *testing.T) {
	for _, event := range []string{"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r"} {
		source, target := io.Pipe()
		relay := &Relay{Log: slog.New(slog.DiscardHandler), Reopen: func(context.Context, *pipeline.Exchange) (*targets.Response, error) {
			return nil, errBroken
		}}
		ex := &pipeline.Exchange{Run: noopRun{}, Route: &config.NamedRoute{Route: config.Route{Resumes: true}}}
		answered := make(chan error, 1)
		go func() {
			answered <- relay.Answer(context.Background(), ex, &targets.Response{Status: http.StatusOK, Body: source})
		}()
		if _, err := io.WriteString(target, event); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-answered:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(testTimeout):
			t.Fatalf("%q was not relayed", event)
		}
		buffer := make([]byte, 100)
		if n, err := ex.AnswerStream.Read(buffer); err != nil || string(buffer[:n]) != event {
			t.Errorf("got %q, %v", buffer[:n], err)
		}
		_ = target.Close()
	}
}

// TestStreamIsNotResumedInsideAnEvent guards against joining pieces of two events: an event that
// does not fit in the buffer is passed on in parts, and a break inside it cannot be mended.
func TestStreamIsNotResumedInsideAnEvent(t *testing.T) {
	first := "id: 1\ndata: a\n\n"
	large := "id: 2\ndata: " + strings.Repeat("x", maxEventBytes)
	o := relayBroken(wholeReads, "id: 2\ndata: b\n\n", first, large)
	if !errors.Is(o.err, errBroken) || len(o.resumedAfter) != 0 || !strings.HasPrefix(first+large, o.body) {
		t.Errorf("%d bytes, %v, resumed after %q", len(o.body), o.err, o.resumedAfter)
	}
}

// TestLargeEventWithoutRoom guards against an event that is held beyond the bytes that a router may
// hold, that is changed because of them, or whose stream is resumed inside the event.
func TestLargeEventWithoutRoom(t *testing.T) {
	first := "id: 1\ndata: a\n\n"
	large := "id: 2\ndata: " + strings.Repeat("x", 10*minBufferBytes) + "\n\n"
	held, room := int64(0), int64(2*minBufferBytes)
	noRoom := func() *pipeline.Exchange {
		held = 0
		return &pipeline.Exchange{HoldAnswer: func(bytes int64) bool {
			if held+bytes > room {
				return false
			}
			held += bytes
			return true
		}}
	}
	rest := "id: 3\ndata: b\n\n"
	o := relayBrokenFor(noRoom(), wholeReads, rest, first, large)
	if o.body != first+large+rest || o.err != nil || !slices.Equal(o.resumedAfter, []string{"2"}) {
		t.Errorf("whole event: %d bytes, %v, resumed after %q", len(o.body), o.err, o.resumedAfter)
	}
	o = relayBrokenFor(noRoom(), wholeReads, rest, first, large[:len(large)/2])
	if !errors.Is(o.err, errBroken) || len(o.resumedAfter) != 0 || !strings.HasPrefix(first+large, o.body) {
		t.Errorf("broken event: %d bytes, %v, resumed after %q", len(o.body), o.err, o.resumedAfter)
	}
}

// TestPrefetchWithoutRoom guards against reading ahead without room, and against a stream that stops
// or changes for want of it.
func TestPrefetchWithoutRoom(t *testing.T) {
	text := strings.Repeat("data: 0123456789\n\n", 1000)
	held := 0
	p := newPrefetcher(io.NopCloser(strings.NewReader(text)), func(bytes int) bool {
		if held+bytes > minBufferBytes {
			return false
		}
		held += bytes
		return true
	})
	<-p.full
	p.mu.Lock()
	ahead := len(p.unread)
	p.mu.Unlock()
	if ahead > 2*minBufferBytes {
		t.Errorf("%d bytes read ahead", ahead)
	}
	if got, err := io.ReadAll(p); string(got) != text || err != nil {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}
