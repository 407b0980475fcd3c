package managedtest

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// maxUselessBytes is how many bytes that are no answer a connection may take from a replica,
	// those in the buffers of the sockets included.
	maxUselessBytes = 8 << 20
	// maxHoldUp is how long they may hold up a request.
	maxHoldUp = 5 * time.Second
)

// endlessReplica answers each request with a head and then the same bytes without end, until its
// connection is closed. A head holds "ID" where the request's id belongs, and "CHUNK" where a whole
// stream does.
type endlessReplica struct {
	head, part string
	pause      time.Duration
	// slowBytes is the least number of bytes that it sends at a time if it pauses; zero: 64.
	slowBytes int
	// maxSent is the largest number of bytes that a connection took, and open the number of
	// connections on which it writes.
	maxSent, requests atomic.Int64
	open              atomic.Int32
}

// startEndlessReplica registers a replica of a service that sends bytes without end.
func (f *fleet) startEndlessReplica(service string, r *endlessReplica) {
	f.t.Helper()
	f.startNamedEndlessReplica("endless-"+service, service, r)
}

// startNamedEndlessReplica is like startEndlessReplica for a replica with an id.
func (f *fleet) startNamedEndlessReplica(replica, service string, r *endlessReplica) {
	f.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	f.register(replica, service, listener.Addr().String())
}

// register enters a replica in the store that is not one of the stand-in's.
func (f *fleet) register(replica, service, address string) {
	f.store.Put(wire.TableReplicas, replica, wire.Replica{
		Service: service, Address: address, Zone: managed.DefaultZone, Software: managed.DefaultSoftware,
		Slots: 8, State: wire.StateReady, StartedAt: time.Now().UnixMilli(),
	})
}

func (r *endlessReplica) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10) // or megabytes that nobody reads would count
	r.requests.Add(1)
	r.open.Add(1)
	defer r.open.Add(-1)
	size := 64 << 10
	if r.pause > 0 {
		size = cmp.Or(r.slowBytes, 64)
	}
	part := strings.Repeat(r.part, (size+len(r.part)-1)/len(r.part))
	id := request.Header.Get(wire.HeaderRequestID)
	stream := expectedStream(id)
	head := strings.NewReplacer("ID", id, "CHUNK", fmt.Sprintf("%x\r\n%s\r\n", len(stream), stream)).Replace(r.head)
	sent := int64(0)
	for text := head; sent < 8*maxUselessBytes; text = part {
		n, err := io.WriteString(conn, text)
		sent += int64(n)
		for before := r.maxSent.Load(); sent > before && !r.maxSent.CompareAndSwap(before, sent); before = r.maxSent.Load() {
		}
		if err != nil {
			return
		}
		time.Sleep(r.pause)
	}
}

// TestBytesWithoutEndDoNotHoldUpCallers guards against a target that takes a router's processor, and its
// callers' time, with bytes that are no answer.
func TestBytesWithoutEndDoNotHoldUpCallers(t *testing.T) {
	const (
		success = "HTTP/1.1 200 OK\r\n" + wire.HeaderSeal + ": endless\r\n" + wire.HeaderRequestID + ": ID\r\n"
		stream  = success + "Content-Type: text/event-stream\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	cases := map[string]*endlessReplica{
		"interim answers":      {part: "HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n"},
		"status line":          {part: "HTTP/1.1 200 OK OK OK "},
		"no head":              {part: "hello there\r\n"},
		"headers":              {head: success, part: "X-More: of it\r\n"},
		"trailers":             {head: stream + chunked + "CHUNK0\r\n", part: "X-More: of it\r\n"},
		"stream, one line":     {head: stream + "\r\n", part: "xxxxxxxxxxxxxxxx"},
		"stream, one event":    {head: stream + "\r\n", part: "data: x\n"},
		"stream, no lines":     {head: stream + "\r\n", part: "\x00\x01\x02\xff"},
		"stream, comments":     {head: stream + "\r\n", part: ": ping\n\n"},
		"stream, chunk sizes":  {head: stream + chunked, part: "1111"},
		"stream, chunks":       {head: stream + chunked, part: "8\r\ndata: x\n\r\n"},
		"stream, interim part": {head: stream + "\r\n", part: "HTTP/1.1 103 Early Hints\r\n"},
	}
	for name, replica := range cases {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, pause %s", name, pause), func(t *testing.T) {
				t.Parallel()
				f := startSettledFleet(t, unlimitedSlack, 1, opsReplica("sound-ops"), genReplica("sound-gen"))
				r := &endlessReplica{head: replica.head, part: replica.part, pause: pause}
				f.startEndlessReplica("gen", r)
				paths := []string{pathStream}
				if !strings.HasPrefix(name, "stream") && name != "trailers" {
					f.startEndlessReplica("ops", r)
					paths = append(paths, pathIdempotent, pathNonIdempotent)
				}
				f.eventually(testTimeout, "the replica is known", func() bool {
					_, known := f.routers[0].InForce().Declarations.Targets["endless-gen"]
					return known
				})
				f.sendBesideEndless(paths, r)
			})
		}
	}
}

// TestVerySlowHeadDoesNotHoldUpCallers guards against requests that last until their callers'
// deadlines because a target sends a few bytes of a head at a time, without end.
func TestVerySlowHeadDoesNotHoldUpCallers(t *testing.T) {
	const success = "HTTP/1.1 200 OK\r\n" + wire.HeaderSeal + ": endless\r\n" + wire.HeaderRequestID + ": ID\r\n"
	f := startSettledFleet(t, unlimitedSlack, 1, opsReplica("sound-ops"), genReplica("sound-gen"))
	r := &endlessReplica{head: success, part: "X-More: of it\r\n", pause: 10 * time.Millisecond, slowBytes: 1}
	f.startEndlessReplica("gen", r)
	f.startEndlessReplica("ops", r)
	f.eventually(testTimeout, "the replica is known", func() bool {
		_, known := f.routers[0].InForce().Declarations.Targets["endless-gen"]
		return known
	})
	f.sendBesideEndless([]string{pathStream, pathIdempotent, pathNonIdempotent}, r)
}

// sendBesideEndless sends requests and checks how they end.
func (f *fleet) sendBesideEndless(paths []string, r *endlessReplica) {
	t := f.t
	var callers sync.WaitGroup
	for n := range 24 {
		callers.Go(func() {
			path := paths[n%len(paths)]
			start := time.Now()
			got := f.send(f.routers[0], path)
			took := time.Since(start)
			want := managed.ExpectedAnswer(got.ID)
			if path == pathStream {
				want = expectedStream(got.ID)
			}
			isServed := got.Status == http.StatusOK && got.Complete && got.Body == want
			isRefused := path == pathNonIdempotent && got.Status == http.StatusBadGateway
			if !isServed && !isRefused || took > maxHoldUp {
				t.Errorf("%s: status %d after %s, complete %v, %d bytes", path, got.Status, took, got.Complete, len(got.Body))
			}
		})
		if n%4 == 3 {
			callers.Wait()
		}
	}
	callers.Wait()
	if r.requests.Load() == 0 {
		t.Error("no request reached the replica")
	}
	f.eventually(testTimeout, "all connections are closed", func() bool { return r.open.Load() == 0 })
	if got := r.maxSent.Load(); got > maxUselessBytes {
		t.Errorf("a connection took %d bytes", got)
	}
}
