// Case 1: an extra answer that arrives late, before a replica rejects a long request early, reaches
// the caller of that long request.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/walnutcove/walnutcove/review/world"
)

const (
	routers  = 3
	replicas = 3
	slots    = 6
	// work is how long a request takes at a replica.
	work = 15 * time.Millisecond

	callers  = 12
	pause    = 100 * time.Millisecond
	deadline = time.Second
	// longBody is the size of every third body. The limit of the configuration is 4,194,304.
	longBody, shortBody = 1 << 20, 600

	// The disruption: windows in which maxSpoilt of the answers of one of the three replicas are
	// spoilt. The pages allow a share of 0.6, 0.03 of the answers, 5 s.
	windows    = 3
	windowTime = 5 * time.Second
	calm       = 2 * time.Second
	maxSpoilt  = 0.03

	// Segments and windows as on a network, rather than those of loopback.
	segment, window = 1460, 64 << 10
)

// faults decides which answers of the faulty replica are spoilt.
type faults struct {
	mu       sync.Mutex
	open     bool
	answered int
	spoilt   int
}

func (f *faults) set(open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open, f.answered, f.spoilt = open, 0, 0
}

func (f *faults) countAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered++
}

// take reports whether two more answers may be spoilt: an earlier one, which is followed by a late
// second one, and that to a long request, which is rejected early.
func (f *faults) take() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.open || float64(f.spoilt+2) > maxSpoilt*float64(f.answered) {
		return false
	}
	f.spoilt += 2
	return true
}

func answerTo(id string) string {
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// serve serves a connection at a replica. f is nil at sound ones.
func serve(w *world.World, f *faults, busy chan struct{}, r *world.Replica, c *world.Conn) {
	limitBuffers(c.Conn)
	earlier := ""
	for {
		request, err := c.ReadHead()
		if err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if expected := request.Header.Get("X-Expect-Instance"); expected != r.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
			return
		}
		if f != nil && earlier != "" && request.ContentLength >= longBody && f.take() {
			w.Notef("%s: late second answer to %s; %s rejected early", r.ID, earlier, id)
			_, _ = io.WriteString(c, answerTo(earlier))
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		busy <- struct{}{}
		time.Sleep(work)
		<-busy
		w.Notef("%s: ran %s", r.ID, id)
		if _, err := io.WriteString(c, answerTo(id)); err != nil {
			return
		}
		if f != nil {
			f.countAnswer()
		}
		earlier = id
	}
}

// limitBuffers gives a connection segments and a window like those of a network.
func limitBuffers(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetReadBuffer(window)
}

func run(w *world.World) (int, error) {
	f := &faults{}
	for n := range replicas {
		var own *faults
		if n == 0 {
			own = f
		}
		busy := make(chan struct{}, slots)
		serveConn := func(r *world.Replica, c *world.Conn) { serve(w, own, busy, r, c) }
		if _, err := w.StartReplica(fmt.Sprintf("i-ops-%d", n+1), world.Service, slots, serveConn, limitSegments); err != nil {
			return 0, err
		}
	}
	if err := w.StartRouters(routers); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	var mu sync.Mutex
	foreign, served, sent := 0, 0, 0
	for n := range callers {
		sending.Go(func() {
			client := world.NewClient(fmt.Sprintf("c%d", n))
			router := w.Routers[n%routers]
			for k := n; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				path, size := world.HookPath, shortBody
				if k%2 == 0 {
					path = world.PurgePath
				}
				if k%3 == 0 {
					size = longBody
				}
				a := client.Post(router, path, bytes.Repeat([]byte("x"), size), deadline, 3*time.Second)
				got := a.Header.Get("X-Attempt-Id")
				wrong := a.Status == 200 && a.Err == nil && (got != a.ID || a.Body != "done "+a.ID)
				w.Notef("%s: %s of %d bytes: status %d, id %q, body %q, %v", a.ID, path, size, a.Status, got, strings.TrimSpace(a.Body), a.Err)
				mu.Lock()
				sent++
				if a.Status == 200 {
					served++
				}
				if wrong {
					foreign++
					w.Notef("MIXED: %s got the answer to %q with status 200", a.ID, got)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(calm)
	for range windows {
		f.set(world.HasTrouble())
		time.Sleep(windowTime)
		f.set(false)
		time.Sleep(calm)
	}
	close(stop)
	sending.Wait()
	w.Notef("%d sent, %d served, %d foreign answers", sent, served, foreign)
	fmt.Printf("%d sent, %d served, %d foreign answers\n", sent, served, foreign)
	if served < sent/2 {
		return 0, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	if foreign > 0 {
		return world.Broken, nil
	}
	return world.Held, nil
}

// limitSegments makes the replica's connections have the segments of an Ethernet, as loopback's are
// 64 KiB.
func limitSegments(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segment)
}

func main() { os.Exit(world.Main(run)) }
