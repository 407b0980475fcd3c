package front

import (
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/walnutcove/walnutcove/offload"
)

// batchSender takes all requests and keeps them until they are answered.
type batchSender struct {
	answers []offload.Answer
}

// Available implements offload.Sender.
func (s *batchSender) Available() bool { return true }

// Send implements offload.Sender.
func (s *batchSender) Send(_ offload.Request, answer offload.Answer) offload.Sent {
	s.answers = append(s.answers, answer)
	return s
}

// Taken implements offload.Sent.
func (s *batchSender) Taken(int) {}

// Cancel implements offload.Sent.
func (s *batchSender) Cancel() {}

// Silent implements offload.Sent.
func (s *batchSender) Silent() bool { return false }

// processTime returns the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &now); err != nil {
		b.Fatal(err)
	}
	return time.Duration(now.Nano())
}

// connectAll opens connections to a listener, blocking ones without poller entries, and sends a
// request on each.
func connectAll(b *testing.B, address syscall.Sockaddr, count int, request string) []int {
	fds := make([]int, 0, count)
	for range count {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err == nil {
			err = syscall.Connect(fd, address)
		}
		if err == nil {
			_, err = syscall.Write(fd, []byte(request))
		}
		if err != nil {
			b.Fatal(err)
		}
		fds = append(fds, fd)
	}
	return fds
}

// bareSystemCalls accepts pending connections and makes the system calls of an offloaded request
// on each up to the response. It returns the descriptors of the connections.
func bareSystemCalls(b *testing.B, listener syscall.RawConn, count int) []int {
	fds := make([]int, 0, count)
	var buffer [maxFastRefusalBytes]byte
	err := listener.Control(func(fd uintptr) {
		for range count {
			conn, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == nil {
				_, err = syscall.Read(conn, buffer[:])
			}
			if err != nil {
				b.Fatal(err)
			}
			fds = append(fds, conn)
		}
	})
	if err != nil {
		b.Fatal(err)
	}
	return fds
}

// BenchmarkOffload measures the processor time of this process, without the callers' work, for a
// request on the fast path of a source that passes on a response in pieces, in comparison with a
// refusal, and with the system calls alone. With offloading on, requests that no executor takes
// cost a little more to refuse.
func BenchmarkOffload(b *testing.B) {
	const batch = 200
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Key: secret\r\nX-Deadline-Ms: 8000\r\nContent-Length: 1000\r\n\r\n%s", strings.Repeat("x", 1000))
	piece := []byte(strings.Repeat("id: 1\ndata: 0123456789\n\n", 3))
	full := newFakeSender()
	full.full.Store(true)
	taking := &batchSender{}
	for _, c := range []struct {
		name   string
		sender offload.Sender
		pieces int
		bare   bool
	}{
		{"refused, offloading is off", nil, 0, false},
		{"refused, no executor", full, 0, false},
		{"offloaded, 1 piece", taking, 1, false},
		{"offloaded, 5 pieces", taking, 5, false},
		{"offloaded, 12 pieces", taking, 12, false},
		{"system calls alone, 12 pieces", taking, 12, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			r := newRefuser(b, Options{Offload: c.sender, Log: slog.New(slog.DiscardHandler)})
			address := sockaddrOf(b, r.rawListener)
			var used time.Duration
			b.ReportAllocs()
			for n := 0; n < b.N; n += batch {
				fds := connectAll(b, address, batch, request)
				r.shedsLeft = batch
				taking.answers = taking.answers[:0]
				began := processTime(b)
				var bare []int
				if c.bare {
					bare = bareSystemCalls(b, r.rawListener, batch)
				} else {
					r.refuseWaiting()
				}
				for range c.pieces {
					for _, fd := range bare {
						_, _ = syscall.Write(fd, piece)
					}
					for _, answer := range taking.answers {
						answer.Write(piece)
					}
				}
				for _, answer := range taking.answers {
					answer.End(offload.Complete, offload.Loss{})
				}
				for _, fd := range bare {
					_ = syscall.Close(fd)
				}
				used += processTime(b) - began
				for _, fd := range fds {
					syscall.Close(fd)
				}
			}
			b.ReportMetric(float64(used.Nanoseconds())/float64((b.N+batch-1)/batch*batch), "cpu-ns/request")
		})
	}
}

// BenchmarkOffloadWatch measures one check of 1000 open offloaded requests.
func BenchmarkOffloadWatch(b *testing.B) {
	const open = 1000
	taking := &batchSender{}
	r := newRefuser(b, Options{Offload: taking, WatchEvery: time.Hour, Log: slog.New(slog.DiscardHandler)})
	for _, fd := range connectAll(b, sockaddrOf(b, r.rawListener), open, shortCall) {
		b.Cleanup(func() { syscall.Close(fd) })
	}
	r.shedsLeft = open
	r.refuseWaiting()
	now := time.Now()
	for b.Loop() {
		r.server.offloads.watch(now)
	}
}
