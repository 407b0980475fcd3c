// Case 2: an answer whose body has no end is passed on without end on a route that is not idempotent,
// past the route's time limit.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutcove/walnutcove/review/world"
)

const (
	routers  = 3
	replicas = 3
	slots    = 6
	// work is how long a request takes at a replica.
	work = 15 * time.Millisecond

	callers = 12
	pause   = 320 * time.Millisecond
	// deadline is for how long clients wait. It is longer than the time-out of their route.
	deadline = 3 * time.Second
	// lateAfter is how long after the route's time-out a request must have its final answer, and
	// minLate how many have to miss that for the rule to be broken.
	lateAfter = 500 * time.Millisecond
	minLate   = 8
	// hookShare is the part of requests that go to the route that is not idempotent, by the sheet.
	hookShare = 0.72

	// The disruption: windows in which spoiltShare of the answers of faulty replicas have no end, each
	// time of others. The pages have a share of 0.5, 0.05 of the answers, 5 s.
	faulty     = 4
	windows    = 5
	windowTime = 5 * time.Second
	calm       = 2 * time.Second
	// afterwards is how long clients go on when all replicas are sound.
	afterwards  = 10 * time.Second
	spoiltShare = 0.05

	// An endless body comes in pieces, about 16 MB a second.
	pieceBytes = 64 << 10
	piecePause = 4 * time.Millisecond
)

// faults decides which answers of the faulty replica have no end, and counts what became of them.
type faults struct {
	mu       sync.Mutex
	open     bool
	answered int
	spoilt   int

	writing atomic.Int64
	sent    atomic.Int64
}

func (f *faults) set(open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = open
}

// take counts an answer and reports whether it is to have no end.
func (f *faults) take() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered++
	isSpoilt := f.open && rand.Float64() < spoiltShare
	if isSpoilt {
		f.spoilt++
	}
	return isSpoilt
}

// writeWithoutEnd sends the head of a success and then bytes, until the other side closes.
func (f *faults) writeWithoutEnd(w *world.World, r *world.Replica, c *world.Conn, id string) {
	f.writing.Add(1)
	defer f.writing.Add(-1)
	w.Notef("%s: an answer without end to %s", r.ID, id)
	start, sent := time.Now(), int64(0)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	piece := []byte(fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, bytes.Repeat([]byte{'?'}, pieceBytes)))
	for {
		n, err := c.Write(piece)
		sent += int64(n)
		f.sent.Add(int64(n))
		if err != nil {
			w.Notef("%s: connection of %s was closed after %.1f s and %d bytes", r.ID, id, time.Since(start).Seconds(), sent)
			return
		}
		time.Sleep(piecePause)
	}
}

// serve serves a connection at a replica.
func serve(w *world.World, f *faults, busy chan struct{}, r *world.Replica, c *world.Conn) {
	for {
		request, err := c.ReadHead()
		if err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		select {
		case busy <- struct{}{}:
		default:
			w.Notef("%s: full, refused %s", r.ID, id)
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		time.Sleep(work)
		w.Notef("%s: ran %s", r.ID, id)
		if f.take() {
			f.writeWithoutEnd(w, r, c, id)
			<-busy
			return
		}
		<-busy
		body := "done " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body); err != nil {
			return
		}
	}
}

// counts are those of all requests.
type counts struct {
	mu sync.Mutex
	// sent and served are all requests and those with a success in time, long those that lasted longer
	// than their route's time-out, and late those of them without a final answer lateAfter later.
	sent, served, long, late int
}

func (n *counts) add(w *world.World, path string, a world.Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if a.Err == nil && a.Status == 200 {
		n.served++
	}
	if a.Took > world.RouteTimeout {
		n.long++
	}
	if a.Took > world.RouteTimeout+lateAfter {
		n.late++
		w.Notef("CONFIG: %s on %s has no final answer after %.2f s: status %d, %v", a.ID, path, a.Took.Seconds(), a.Status, a.Err)
	}
}

// sum returns the bytes sent without end, and how many answers without end go on.
func sum(all []*faults) (sent, writing int64) {
	for _, f := range all {
		sent += f.sent.Load()
		writing += f.writing.Load()
	}
	return sent, writing
}

func run(w *world.World) (int, error) {
	all := make([]*faults, replicas)
	for n := range all {
		all[n] = &faults{}
	}
	for n := range replicas {
		own := all[n]
		busy := make(chan struct{}, slots)
		serveConn := func(r *world.Replica, c *world.Conn) { serve(w, own, busy, r, c) }
		if _, err := w.StartReplica(fmt.Sprintf("i-ops-%d", n+1), world.Service, slots, serveConn); err != nil {
			return 0, err
		}
	}
	if err := w.StartRouters(routers); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	var total counts
	for n := range callers {
		sending.Go(func() {
			client := world.NewClient(fmt.Sprintf("c%d", n))
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				path := world.PurgePath
				if rand.Float64() < hookShare {
					path = world.HookPath
				}
				// A caller that waits does not keep others from sending.
				sending.Go(func() {
					a := client.Post(w.Routers[n%routers], path, []byte("body"), deadline, deadline)
					if a.Err != nil && !errors.Is(a.Err, context.DeadlineExceeded) {
						w.Notef("%s on %s: broken off after %.2f s: %v", a.ID, path, a.Took.Seconds(), a.Err)
					}
					total.add(w, path, a)
				})
			}
		})
	}
	time.Sleep(calm)
	total.mu.Lock()
	calmSent, calmServed := total.sent, total.served
	total.mu.Unlock()
	if calmServed < calmSent/2 {
		return 0, fmt.Errorf("only %d of %d requests were served before the disruption", calmServed, calmSent)
	}
	for k := range windows {
		for n := range faulty {
			all[(k*faulty+n)%replicas].set(world.HasTrouble())
		}
		time.Sleep(windowTime)
		for _, f := range all {
			f.set(false)
		}
		time.Sleep(calm)
	}
	total.mu.Lock()
	calmSent, calmServed = total.sent, total.served
	total.mu.Unlock()
	time.Sleep(afterwards)
	close(stop)
	sending.Wait()
	before, _ := sum(all)
	time.Sleep(2 * time.Second)
	after, writing := sum(all)
	summary := fmt.Sprintf("%d sent, %d served, %d longer than the route's time-out, %d of them without a final answer 0.5 s later; "+
		"%d endless answers are still taken after all clients have gone, %.1f MB a second; after the last window %d were sent and %d served",
		total.sent, total.served, total.long, total.late, writing, float64(after-before)/2e6, total.sent-calmSent, total.served-calmServed)
	w.Notef("%s", summary)
	fmt.Println(summary)
	if total.late >= minLate && 4*total.late > total.long {
		return world.Broken, nil
	}
	return world.Held, nil
}

func main() { os.Exit(world.Main(run)) }
