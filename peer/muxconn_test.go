package peer

import (
	"net"
	"slices"
	"testing"
	"time"
)

// writeRecorder is a connection that records the data of each Write.
type writeRecorder struct {
	net.Conn
	writes []string
}

func (w *writeRecorder) Write(data []byte) (int, error) {
	w.writes = append(w.writes, string(data))
	return len(data), nil
}

func TestHeaderAndBodyAreJoined(t *testing.T) {
	const (
		data         = "\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x04"
		ping         = "\x00\x02\x00\x01\x00\x00\x00\x00\x00\x00\x00\x07"
		windowUpdate = "\x00\x01\x00\x00\x00\x00\x00\x01\x00\x00\x10\x00"
		// bodyLikeHeader is a body with the length and layout of a header.
		bodyLikeHeader = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01"
	)
	recorder := &writeRecorder{}
	conn := &muxConn{Conn: recorder}
	for _, part := range []string{ping, data, "body", windowUpdate, data, bodyLikeHeader, ping} {
		if n, err := conn.Write([]byte(part)); n != len(part) || err != nil {
			t.Fatalf("wrote %d bytes, error %v", n, err)
		}
	}
	want := []string{ping, data + "body", windowUpdate, data + bodyLikeHeader, ping}
	if !slices.Equal(recorder.writes, want) {
		t.Errorf("got %q\nwant %q", recorder.writes, want)
	}
}

func TestDialBackoffIsBounded(t *testing.T) {
	const minWait, maxWait = 50 * time.Millisecond, 2 * time.Second
	for _, test := range []struct {
		failures  int
		low, high time.Duration
	}{
		{1, minWait / 2, minWait * 3 / 2},
		{3, minWait * 2, minWait * 6},
		{1 << 40, maxWait / 2, maxWait * 3 / 2},
	} {
		for range 100 {
			if wait := dialBackoff(test.failures, minWait, maxWait); wait < test.low || wait > test.high {
				t.Errorf("after %d failures: %s", test.failures, wait)
			}
		}
	}
}
