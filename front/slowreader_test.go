package front

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/filters/events"
	"github.com/walnutcove/walnutcove/filters/relay"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/targets"
)

// noRun is a run of which nothing is recorded.
type noRun struct{}

func (noRun) Begin()                {}
func (noRun) SetLoad(speed.Reading) {}
func (noRun) Overdue()              {}
func (noRun) Silent()               {}
func (noRun) End(control.Outcome)   {}

// relayed returns a pipeline that relays answers of the given size: one with a length, or a
// stream of events of eventBytes each. served counts those that have begun.
func relayed(bytes, eventBytes int, served *atomic.Int64) pipeline.Handler {
	whole := &relay.Relay{Log: slog.New(slog.DiscardHandler)}
	stream := &events.Relay{Log: slog.New(slog.DiscardHandler), Reopen: func(context.Context, *pipeline.Exchange) (*targets.Response, error) {
		return nil, io.ErrUnexpectedEOF
	}}
	text := strings.Repeat("x", max(3, eventBytes)-2) + "\n\n"
	return func(ctx context.Context, ex *pipeline.Exchange) error {
		defer served.Add(1)
		ex.Run = noRun{}
		ex.Route = &config.NamedRoute{Route: config.Route{Resumes: true}}
		ex.WorkspaceName = ex.Header["Workspace"]
		body := io.LimitReader(&repeated{text: text}, int64(bytes))
		answer := &targets.Response{Status: http.StatusOK, Body: io.NopCloser(body)}
		if eventBytes > 0 {
			return stream.Answer(ctx, ex, answer)
		}
		return whole.Answer(ctx, ex, answer)
	}
}

// repeated returns a text again and again.
type repeated struct {
	text string
	at   int
}

func (r *repeated) Read(p []byte) (n int, err error) {
	for n < len(p) {
		k := copy(p[n:], r.text[r.at:])
		n += k
		r.at = (r.at + k) % len(r.text)
	}
	return n, nil
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // pooled buffers are freed by the second collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// smallRouter are the options of a router of 144 MiB that holds 32 MiB of bodies.
func smallRouter() Options {
	return FromLimits(settings.Limits{MemoryMiB: 144, MaxHeldBytes: 32 << 20})
}

// stopReading sends requests of callers with a receive buffer of readBuffer bytes that do not read, and waits until their answers have begun.
func (f *fixture) stopReading(callers, readBuffer int, request string, served *atomic.Int64) []net.Conn {
	conns := make([]net.Conn, callers)
	want := served.Load() + int64(callers)
	for i := range conns {
		conns[i] = f.dial()
		_ = conns[i].(*net.TCPConn).SetReadBuffer(readBuffer)
		_, _ = io.WriteString(conns[i], request)
	}
	for deadline := time.Now().Add(eventTimeout); served.Load() < want && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // until the writes block
	return conns
}

// TestSlowReadersFitSmallRouter guards against callers that stop reading and exhaust the memory of
// the smallest router: the heap of 0.7 of 144 MiB must have room for 32 MiB of bodies beside them.
// A caller that reads late gets its whole answer.
func TestSlowReadersFitSmallRouter(t *testing.T) {
	const maxHeap = int64(144*7<<20/10 - 32<<20)
	for _, c := range []struct {
		name                       string
		callers, bytes, eventBytes int
	}{
		{"500 answers of 300 kB", 500, 300 << 10, 0},
		{"500 answers of 3 MB", 500, 3 << 20, 0},
		{"500 answers of 6 MB", 500, 6 << 20, 0},
		{"500 streams of events of 200 B", 500, 2 << 20, 200},
		{"500 streams of events of 900 kB", 500, 2 << 20, 900 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			var served atomic.Int64
			f := start(t, smallRouter(), relayed(c.bytes, c.eventBytes, &served))
			before := heapInUse()
			conns := f.stopReading(c.callers, 64<<10, "GET /x HTTP/1.1\r\nHost: a\r\nWorkspace: w\r\n\r\n", &served)
			heap := heapInUse()
			t.Logf("%d open, %d MiB of heap, %d KiB for each open answer, %d MiB counted",
				f.Active(), heap>>20, (heap-before)/int64(c.callers)>>10, f.BufferedAnswerBytes()>>20)
			if heap > maxHeap || f.BufferedAnswerBytes() > 18<<20 || f.Active() < c.callers {
				t.Errorf("%d MiB of heap, want at most %d", heap>>20, maxHeap>>20)
			}
			body, err := io.ReadAll(f.answer(bufio.NewReader(conns[0])).Body)
			if len(body) != c.bytes || err != nil {
				t.Errorf("the late reader got %d bytes, %v", len(body), err)
			}
			for _, conn := range conns {
				conn.Close()
			}
			for range conns {
				_ = f.end()
			}
			if f.BufferedAnswerBytes() != 0 {
				t.Errorf("%d bytes counted after the end", f.BufferedAnswerBytes())
			}
		})
	}
}

// TestSlowReadersLeaveRoomForOtherWorkspaces guards against a workspace whose callers do not read
// and whose answers take all the memory: another one's answers are still held whole. A caller of
// HTTP/1.0, to whom no answer can be streamed, is refused.
func TestSlowReadersLeaveRoomForOtherWorkspaces(t *testing.T) {
	var served atomic.Int64
	f := start(t, smallRouter(), relayed(1<<20, 0, &served))
	f.stopReading(30, 64<<10, "GET /x HTTP/1.1\r\nHost: a\r\nWorkspace: flood\r\n\r\n", &served)
	for workspace, whole := range map[string]bool{"flood": false, "other": true} {
		_, r := f.send("GET /x HTTP/1.1\r\nHost: a\r\nWorkspace: " + workspace + "\r\n\r\n")
		response := f.answer(r)
		body, err := io.ReadAll(response.Body)
		if (response.ContentLength == 1<<20) != whole || len(body) != 1<<20 || err != nil {
			t.Errorf("%s: content length %d, %d bytes, %v", workspace, response.ContentLength, len(body), err)
		}
	}
	_, r := f.send("GET /x HTTP/1.0\r\nWorkspace: flood\r\n\r\n")
	if response := f.answer(r); response.Header.Get(headerCode) != "804" || response.StatusCode != http.StatusBadGateway {
		t.Errorf("HTTP/1.0: %v", response)
	}
}

// TestCallerThatReadsSlowly guards against an answer that is cut off although its caller reads: the
// write timeout is for callers that read nothing. The caller's receive buffer is small, as on loopback
// its system reports what was read only when half of that is free.
func TestCallerThatReadsSlowly(t *testing.T) {
	const size, timeout, pause = 512 << 10, 200 * time.Millisecond, 20 * time.Millisecond
	options := smallRouter()
	options.WriteTimeout = timeout
	var served atomic.Int64
	f := start(t, options, relayed(size, 0, &served))
	conn := f.stopReading(1, 16<<10, get, &served)[0]
	body := f.answer(bufio.NewReaderSize(conn, 4<<10)).Body
	got := 0
	for buffer := make([]byte, 8<<10); ; time.Sleep(pause) {
		n, err := body.Read(buffer)
		if got += n; err != nil {
			break
		}
	}
	if err := f.end(); got != size || err != nil {
		t.Errorf("%d bytes, ended with %v", got, err)
	}
}

// blockedConn is a connection whose writes time out, as its send buffer does not get free enough.
// Meanwhile its caller reads one part of it for each write, if reads is set.
type blockedConn struct {
	net.Conn
	caller  net.Conn
	reads   bool
	writes  int // that time out
	timeout time.Duration
}

func (b *blockedConn) Write(p []byte) (int, error) {
	if b.writes == 0 {
		return len(p), nil
	}
	b.writes--
	time.Sleep(b.timeout)
	if b.reads {
		_, _ = b.caller.Read(make([]byte, 1))
	}
	return 0, os.ErrDeadlineExceeded
}

// TestSlowProgressInSendBuffer guards against a caller that is cut off because it reads too slowly
// to free a third of a large send buffer within the write timeout.
func TestSlowProgressInSendBuffer(t *testing.T) {
	const timeout, parts = 40 * time.Millisecond, 3 * stallChecks
	for _, reads := range []bool{true, false} {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		var ends [2]net.Conn
		for i, fd := range fds {
			file := os.NewFile(uintptr(fd), "pair")
			if ends[i], err = net.FileConn(file); err != nil {
				t.Fatal(err)
			}
			defer ends[i].Close()
			_ = file.Close()
		}
		for range parts + 1 {
			if _, err := ends[0].Write([]byte{0}); err != nil {
				t.Fatal(err)
			}
		}
		c := newCallerConn(ends[0], New(Options{WriteTimeout: timeout}, nil))
		c.Conn = &blockedConn{Conn: ends[0], caller: ends[1], reads: reads, writes: parts, timeout: timeout / stallChecks}
		if _, err := c.Write([]byte("rest")); (err == nil) != reads {
			t.Errorf("caller that reads %t: %v", reads, err)
		}
	}
}

// TestAnswerBytesFollowMemory guards against a router whose bound does not fit its memory, and a
// change for routers that state none.
func TestAnswerBytesFollowMemory(t *testing.T) {
	for want, limits := range map[int]settings.Limits{
		DefaultMaxAnswerBytes: {}, 18 << 20: {MemoryMiB: 144}, 1000: {MemoryMiB: 144, MaxAnswerBytes: 1000},
	} {
		options := FromLimits(limits).withDefaults()
		if bounded := limits.MemoryMiB > 0; options.MaxAnswerBytes != want || (options.SendBufferBytes > 0) != bounded {
			t.Errorf("%g MiB: %d bytes, send buffer %d", limits.MemoryMiB, options.MaxAnswerBytes, options.SendBufferBytes)
		}
	}
}
