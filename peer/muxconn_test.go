package peer

import (
	"net"
	"slices"
	"testing"
	"time"
)

// writeRecorder is a connection that keeps what each Write was given.
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
		// bodyLikeHeader is a body as long as a header.
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

func TestBackOffIsBounded(t *testing.T) {
	const least, most = 50 * time.Millisecond, 2 * time.Second
	for _, test := range []struct {
		failures  int
		low, high time.Duration
	}{
		{1, least / 2, least * 3 / 2},
		{3, least * 2, least * 6},
		{1 << 40, most / 2, most * 3 / 2},
	} {
		for range 100 {
			if wait := backOff(test.failures, least, most); wait < test.low || wait > test.high {
				t.Errorf("after %d failures: %s", test.failures, wait)
			}
		}
	}
}
