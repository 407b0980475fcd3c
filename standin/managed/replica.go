package managed

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// ReplicaOptions configure a replica.
type ReplicaOptions struct {
	// ID and Service name it.
	ID, Service string
	// Zone is the zone that it registers; empty: DefaultZone.
	Zone string
	// ColdTime is how long after its start the replica reports itself as cold.
	ColdTime time.Duration
	// Slots is how many requests run at once; more are refused.
	Slots int
	// Events is how many events a stream has, and Pause the time between two. Zero
	// events: answers are whole, after Pause.
	Events int
	Pause  time.Duration
	// Advertise returns the address to register, given the one that the replica
	// listens on; nil: that one.
	Advertise func(listens string) (string, error)
	ReplicaFaults
}

// ReplicaFaults are what a replica does wrong.
type ReplicaFaults struct {
	// LoseAnswers closes the connection in place of each whole answer, after the run.
	LoseAnswers bool
	// Unsealed sends answers without a seal.
	Unsealed bool
	// BreakAfter breaks each connection off after so many events of a stream that
	// begins at its first event, in the middle of the next one; zero: never.
	BreakAfter int
	// Refuse refuses every request as not run, and RefuseEvery one in so many; zero: none.
	Refuse      bool
	RefuseEvery int
	// RetryAfter is what refusals ask for; zero: nothing.
	RetryAfter time.Duration
	// Slower is added to each pause.
	Slower time.Duration
	// HangsMidway is how long a whole answer stops after its head and half of its body.
	HangsMidway time.Duration
}

// DefaultZone is the zone of replicas whose options name none.
const DefaultZone = "dc"

// Replica answers requests. Create it with StartReplica.
type Replica struct {
	options  ReplicaOptions
	journal  *Journal
	store    *Store
	listener net.Listener
	// address is what it registers.
	address string
	// startedAt is told as what tells this start from others under the same id.
	startedAt time.Time
	http      *fasthttp.Server

	mu      sync.Mutex
	faults  ReplicaFaults
	running int
	leftAt  time.Time
	// saysLeaving has its answers say that it leaves.
	saysLeaving bool
	// asked counts the requests, for RefuseEvery.
	asked int
	// kept are the parts that it ran, as callers name them.
	kept []string
}

// StartReplica starts a replica on loopback and registers it in the store.
func StartReplica(store *Store, journal *Journal, options ReplicaOptions) (*Replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options:   options,
		journal:   journal,
		store:     store,
		listener:  listener,
		address:   listener.Addr().String(),
		startedAt: time.Now(),
		faults:    options.ReplicaFaults,
	}
	if options.Advertise != nil {
		if r.address, err = options.Advertise(r.address); err != nil {
			_ = listener.Close()
			return nil, err
		}
	}
	r.http = &fasthttp.Server{Handler: r.serve, NoDefaultServerHeader: true, Logger: silent{}}
	go func() { _ = r.http.Serve(listener) }() // ends with Close
	r.register(wire.StateReady)
	return r, nil
}

// silent drops what the server says of broken connections: tests break them.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

func (r *Replica) register(state string) {
	r.store.Put(wire.TableReplicas, r.options.ID, wire.Replica{
		Service:      r.options.Service,
		Address:      r.address,
		Zone:         cmp.Or(r.options.Zone, DefaultZone),
		Software:     "v1",
		Slots:        r.options.Slots,
		State:        state,
		WarmUpMillis: float64(max(0, time.Until(r.startedAt.Add(r.options.ColdTime))).Milliseconds()),
		StartedAt:    r.startedAt.UnixMilli(),
	})
}

// SetFaults replaces what the replica does wrong.
func (r *Replica) SetFaults(faults ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// doesWrong returns what the replica does wrong now.
func (r *Replica) doesWrong() ReplicaFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Leave tells that the replica leaves, in its entry and in its answers. It goes on serving.
func (r *Replica) Leave() {
	r.mu.Lock()
	r.leftAt = time.Now()
	r.saysLeaving = true
	r.mu.Unlock()
	r.register(wire.StateDraining)
}

// SayLeaving has the replica's answers say that it leaves. Its entry stays as it is, as while
// the store takes no writes.
func (r *Replica) SayLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saysLeaving = true
}

// isLeaving says whether its answers say that it leaves.
func (r *Replica) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.saysLeaving
}

// Renew writes the replica's entry again, as replicas do all the time.
func (r *Replica) Renew() {
	r.mu.Lock()
	state := wire.StateReady
	if !r.leftAt.IsZero() {
		state = wire.StateDraining
	}
	r.mu.Unlock()
	r.register(state)
}

// ID returns the id that the replica registers under.
func (r *Replica) ID() string { return r.options.ID }

// Close ends the replica and takes it off the list.
func (r *Replica) Close() {
	r.store.Drop(wire.TableReplicas, r.options.ID)
	_ = r.listener.Close()
}

// serveKept answers the calls that tell what the replica keeps: the parts of the
// prompts that it ran, in the order in which they came.
func (r *Replica) serveKept(ctx *fasthttp.RequestCtx) {
	list := string(ctx.Path()) == wire.PathCacheList
	after := ctx.QueryArgs().GetUintOrZero(wire.ParamCacheAfter)
	if !list {
		wait, _ := strconv.Atoi(string(ctx.Request.Header.Peek(wire.HeaderWait))) // none: no wait
		time.Sleep(time.Duration(wait) * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := wire.CacheContent{Epoch: json.RawMessage("1"), Next: uint64(len(r.kept))}
	for n, part := range r.kept {
		id, tokens, _ := strings.Cut(part, ":")
		entry := []string{"\"\"", strconv.Quote(id), tokens, "\"m\""}
		switch {
		case list:
			answer.Held = append(answer.Held, rawEntry(entry))
		case n >= after:
			answer.Changes = append(answer.Changes, rawEntry(append([]string{strconv.Itoa(n), "\"+\""}, entry...)))
		}
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		panic(err) // the entries are made here
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

func rawEntry(values []string) []json.RawMessage {
	entry := make([]json.RawMessage, 0, len(values))
	for _, value := range values {
		entry = append(entry, json.RawMessage(value))
	}
	return entry
}

// keep notes the parts of a prompt.
func (r *Replica) keep(parts string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for part := range strings.SplitSeq(parts, ",") {
		if strings.Contains(part, ":") && !slices.Contains(r.kept, part) {
			r.kept = append(r.kept, part)
		}
	}
}

func (r *Replica) serve(ctx *fasthttp.RequestCtx) {
	if r.isLeaving() {
		ctx.Response.Header.Set(wire.HeaderLeaving, wire.LeavingValue)
	}
	if path := string(ctx.Path()); path == wire.PathCacheList || path == wire.PathCacheChanges {
		r.serveKept(ctx)
		return
	}
	header := &ctx.Request.Header
	id := string(header.Peek(wire.HeaderRequestID))
	ctx.Response.Header.Set(wire.HeaderRequestID, id)
	if expected := string(header.Peek(wire.HeaderTarget)); expected != "" && expected != r.options.ID {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	arrival := Arrival{ID: id, Replica: r.options.ID, At: time.Now()}
	if !r.begin() {
		arrival.Refused = true
		arrival.RetryAfter = r.refuse(ctx)
		r.journal.arrived(arrival)
		return
	}
	r.journal.arrived(arrival)
	run := &Run{
		ID:         id,
		Replica:    r.options.ID,
		Workspace:  string(header.Peek(wire.HeaderWorkspace)),
		AfterEvent: string(header.Peek(wire.HeaderAfterEvent)),
		Left:       r.left(),
		StartedAt:  time.Now(),
	}
	r.journal.add(run)
	r.keep(string(header.Peek(wire.HeaderParts)))
	if !r.doesWrong().Unsealed {
		ctx.Response.Header.Set(wire.HeaderSeal, "seal-"+r.options.ID)
	}
	if r.options.Events == 0 {
		time.Sleep(r.options.Pause + r.doesWrong().Slower)
		r.journal.noteEnd(run, ctx.Conn())
		r.end()
		if r.doesWrong().LoseAnswers {
			_ = ctx.Conn().Close()
			return
		}
		r.answerWhole(ctx, WholeAnswer(id))
		return
	}
	ctx.SetContentType("text/event-stream")
	first, _ := strconv.Atoi(run.AfterEvent) // none: from the beginning
	ctx.Response.ImmediateHeaderFlush = true
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.end()
		r.stream(w, conn, run, first)
	})
}

// answerWhole sends a body of known length, with the pause that the replica's faults ask for.
func (r *Replica) answerWhole(ctx *fasthttp.RequestCtx, body string) {
	hangs := r.doesWrong().HangsMidway
	if hangs == 0 {
		ctx.SetBodyString(body)
		return
	}
	half := len(body) / 2
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(io.MultiReader(strings.NewReader(body[:half]), &lateReader{wait: hangs, Reader: strings.NewReader(body[half:])}), len(body))
}

// lateReader waits before its first read.
type lateReader struct {
	wait time.Duration
	io.Reader
}

// Read implements io.Reader.
func (l *lateReader) Read(p []byte) (int, error) {
	time.Sleep(l.wait)
	l.wait = 0
	return l.Reader.Read(p)
}

// refuse answers that a request did not run, and returns what it asks for.
func (r *Replica) refuse(ctx *fasthttp.RequestCtx) time.Duration {
	ctx.Response.Header.Set(wire.HeaderNotRun, "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	after := r.doesWrong().RetryAfter
	if after > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	return after
}

// breakPause lets what was written go out before the connection is closed.
const breakPause = 20 * time.Millisecond

// stream writes the events behind the given one.
func (r *Replica) stream(w *bufio.Writer, conn net.Conn, run *Run, after int) {
	for n := after + 1; n <= r.options.Events; n++ {
		faults := r.doesWrong()
		time.Sleep(r.options.Pause + faults.Slower)
		if faults.BreakAfter > 0 && after == 0 && n > faults.BreakAfter {
			fmt.Fprintf(w, "id: %d\nda", n)
			_ = w.Flush()
			time.Sleep(breakPause)
			_ = conn.Close()
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, run.ID, n)
		if err := w.Flush(); err != nil {
			r.journal.mu.Lock()
			run.Cancelled = true
			r.journal.mu.Unlock()
			return
		}
	}
}

func (r *Replica) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	if r.faults.Refuse || r.faults.RefuseEvery > 0 && r.asked%r.faults.RefuseEvery == 0 || r.running >= r.options.Slots {
		return false
	}
	r.running++
	return true
}

func (r *Replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// left is how long ago the replica told that it leaves; zero if it did not.
func (r *Replica) left() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leftAt.IsZero() {
		return 0
	}
	return time.Since(r.leftAt)
}
