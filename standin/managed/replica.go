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
	// ID is the replica's id, Service the name of the service that it belongs to.
	ID, Service string
	// Zone is the zone that the replica registers. Default: DefaultZone.
	Zone string
	// Software is the version of its software that the replica registers. Default:
	// DefaultSoftware.
	Software string
	// ColdTime is how long after its start the replica reports itself as cold.
	ColdTime time.Duration
	// Slots is how many requests run at once; further ones are refused.
	Slots int
	// Events is the number of events of a stream, and Pause the time before each.
	// If Events is zero, answers are not streams but sent at once, after Pause.
	Events int
	Pause  time.Duration
	// Advertise, if set, returns the address to register, given the one that the
	// replica listens on. Default: the replica registers the latter.
	Advertise func(listenAddress string) (string, error)
	// CrashOnPart is the id of a prompt part, as callers send it, that crashes the replica
	// shortly after it begins a stream on it, unless it is the last part of the prompt.
	// Empty: none.
	CrashOnPart string
	// Slowness, if set, returns how long work takes at a time since the start, in percent of
	// Pause. The replica then reports its load with each answer; see wire.HeaderLoad.
	Slowness func(sinceStart time.Duration) int
	// OnCrash is called when the replica has crashed; may be nil. Its entry stays.
	OnCrash func(*Replica)
	ReplicaFaults
}

// ReplicaFaults are the faults that a replica injects. The zero value injects none.
type ReplicaFaults struct {
	// LoseAnswers runs requests but closes the connection instead of sending the
	// answer. Streams are not affected.
	LoseAnswers bool
	// Unsealed omits the header wire.HeaderSeal from answers.
	Unsealed bool
	// BreakAfterEvents closes the connection of a stream after this many events, in
	// the middle of the next one. It affects streams from their first event on, not
	// resumed ones. Zero means never.
	BreakAfterEvents int
	// BreakResumed closes the connection of a resumed stream before its first event.
	BreakResumed bool
	// BreakByReset resets the connection where BreakAfterEvents and BreakResumed close it.
	BreakByReset bool
	// Unframed sends answers with neither a length nor chunked encoding. They end with
	// their connection.
	Unframed bool
	// Refuse refuses every request without running it. RefuseEvery refuses one in
	// this many requests; zero means none.
	Refuse      bool
	RefuseEvery int
	// RetryAfter is the delay that refusals ask for. Zero means that they ask for
	// none.
	RetryAfter time.Duration
	// ExtraPause is added to each ReplicaOptions.Pause.
	ExtraPause time.Duration
	// MidAnswerPause is how long an answer that is not a stream pauses after its
	// header and half of its body.
	MidAnswerPause time.Duration
}

// DefaultZone is the zone of replicas whose options do not set one.
const DefaultZone = "dc"

// DefaultSoftware is the software version of replicas whose options do not set one.
const DefaultSoftware = "v1"

// Replica is a stand-in for a replica of a service. Create it with StartReplica.
type Replica struct {
	options  ReplicaOptions
	journal  *Journal
	store    *Store
	listener net.Listener
	// address is the address that it registers.
	address string
	// startedAt is registered too, to distinguish this start from others under the
	// same id.
	startedAt time.Time
	http      *fasthttp.Server

	mu           sync.Mutex
	faults       ReplicaFaults
	running      int
	leavingSince time.Time
	// silentUntil is the time until which the replica sends nothing.
	silentUntil time.Time
	// announcesLeaving adds the header wire.HeaderLeaving to its answers.
	announcesLeaving bool
	// requests counts the requests received, for RefuseEvery.
	requests int
	// conns holds the open connections, and crashed reports that new ones are reset.
	conns   map[net.Conn]bool
	crashed bool
	// cachedParts are the prompt parts of the requests that it ran, in the form
	// "id:tokens" that callers send.
	cachedParts []string
}

// StartReplica starts a replica on loopback and registers it in the store as ready.
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
		conns:     make(map[net.Conn]bool),
	}
	if options.Advertise != nil {
		if r.address, err = options.Advertise(r.address); err != nil {
			_ = listener.Close()
			return nil, err
		}
	}
	r.http = &fasthttp.Server{Handler: r.serve, NoDefaultServerHeader: true, Logger: discardLogger{}, ConnState: r.trackConn, MaxRequestBodySize: maxRequestBytes}
	go func() { _ = r.http.Serve(listener) }() // ends with Close
	r.register(wire.StateReady)
	return r, nil
}

// maxRequestBytes bounds the body of a request; it is more than routers accept by default.
const maxRequestBytes = 16 << 20

// discardLogger drops fasthttp's log messages about broken connections, because
// tests break connections on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (r *Replica) register(state string) {
	r.mu.Lock()
	startedAt := r.startedAt
	r.mu.Unlock()
	r.store.Put(wire.TableReplicas, r.options.ID, wire.Replica{
		Service:      r.options.Service,
		Address:      r.address,
		Zone:         cmp.Or(r.options.Zone, DefaultZone),
		Software:     cmp.Or(r.options.Software, DefaultSoftware),
		Slots:        r.options.Slots,
		State:        state,
		WarmUpMillis: float64(max(0, time.Until(startedAt.Add(r.options.ColdTime))).Milliseconds()),
		StartedAt:    startedAt.UnixMilli(),
	})
}

// SetFaults replaces the faults that the replica injects.
func (r *Replica) SetFaults(faults ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// currentFaults returns the faults that the replica injects at present.
func (r *Replica) currentFaults() ReplicaFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// StartLeaving announces, in the replica's entry and in its answers, that the replica
// is leaving. It continues to serve requests.
func (r *Replica) StartLeaving() {
	r.mu.Lock()
	r.leavingSince = time.Now()
	r.announcesLeaving = true
	r.mu.Unlock()
	r.register(wire.StateDraining)
}

// AnnounceLeaving announces only in answers that the replica is leaving. Its entry
// stays unchanged, as happens while the store accepts no writes.
func (r *Replica) AnnounceLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announcesLeaving = true
}

// isLeaving reports whether answers announce that the replica is leaving.
func (r *Replica) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announcesLeaving
}

// Renew writes the replica's entry again, as replicas do periodically.
func (r *Replica) Renew() {
	r.mu.Lock()
	state := wire.StateReady
	if !r.leavingSince.IsZero() {
		state = wire.StateDraining
	}
	r.mu.Unlock()
	r.register(state)
}

// ID returns the id that the replica registers under.
func (r *Replica) ID() string { return r.options.ID }

// Close stops the replica and removes its entry from the store.
func (r *Replica) Close() {
	r.store.Delete(wire.TableReplicas, r.options.ID)
	_ = r.listener.Close()
}

// serveCache answers the calls that list what the replica has in its cache:
// the prompt parts that it ran, in the order in which they arrived.
func (r *Replica) serveCache(ctx *fasthttp.RequestCtx) {
	isList := string(ctx.Path()) == wire.PathCacheList
	after := ctx.QueryArgs().GetUintOrZero(wire.ParamCacheAfter)
	if !isList {
		waitMillis, _ := strconv.Atoi(string(ctx.Request.Header.Peek(wire.HeaderWait))) // zero if the header is absent
		time.Sleep(time.Duration(waitMillis) * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := wire.CacheContent{Epoch: json.RawMessage("1"), Next: uint64(len(r.cachedParts))}
	for number, part := range r.cachedParts {
		id, tokens, _ := strings.Cut(part, ":")
		entry := []string{"\"\"", strconv.Quote(id), tokens, "\"m\""}
		switch {
		case isList:
			answer.Held = append(answer.Held, jsonEntry(entry))
		case number >= after:
			answer.Changes = append(answer.Changes, jsonEntry(append([]string{strconv.Itoa(number), "\"+\""}, entry...)))
		}
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		panic(err) // the entries are valid JSON, as they are made above
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

func jsonEntry(values []string) []json.RawMessage {
	entry := make([]json.RawMessage, 0, len(values))
	for _, value := range values {
		entry = append(entry, json.RawMessage(value))
	}
	return entry
}

// cacheParts adds the parts of a prompt to cachedParts.
func (r *Replica) cacheParts(parts string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for part := range strings.SplitSeq(parts, ",") {
		if strings.Contains(part, ":") && !slices.Contains(r.cachedParts, part) {
			r.cachedParts = append(r.cachedParts, part)
		}
	}
}

func (r *Replica) serve(ctx *fasthttp.RequestCtx) {
	r.waitWhileSilent()
	if r.isLeaving() {
		ctx.Response.Header.Set(wire.HeaderLeaving, wire.LeavingValue)
	}
	r.reportLoad(ctx)
	if path := string(ctx.Path()); path == wire.PathCacheList || path == wire.PathCacheChanges {
		r.serveCache(ctx)
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
	if !r.acquireSlot() {
		arrival.Refused = true
		arrival.RetryAfter = r.refuse(ctx)
		r.journal.addArrival(arrival)
		return
	}
	r.journal.addArrival(arrival)
	run := &Run{
		ID:         id,
		Replica:    r.options.ID,
		Workspace:  string(header.Peek(wire.HeaderWorkspace)),
		AfterEvent: string(header.Peek(wire.HeaderAfterEvent)),
		Resumes:    string(header.Peek(wire.HeaderResumes)),
		Parts:      string(header.Peek(wire.HeaderParts)),
		Software:   cmp.Or(r.options.Software, DefaultSoftware),
		LeavingFor: r.leavingFor(),
		StartedAt:  time.Now(),
	}
	r.journal.addRun(run)
	end := r.journal.watch(run, ctx.Conn())
	r.cacheParts(string(header.Peek(wire.HeaderParts)))
	if !r.currentFaults().Unsealed {
		ctx.Response.Header.Set(wire.HeaderSeal, "seal-"+r.options.ID)
	}
	if r.options.Events == 0 {
		time.Sleep(r.pause())
		r.waitWhileSilent()
		r.reportLoad(ctx)
		end()
		r.journal.recordEnd(run, ctx.Conn())
		r.releaseSlot()
		if r.currentFaults().LoseAnswers {
			_ = ctx.Conn().Close()
			return
		}
		r.sendAnswer(ctx, ExpectedAnswer(id))
		return
	}
	r.crashIfCaused(string(header.Peek(wire.HeaderParts)))
	r.reportLoad(ctx)
	ctx.SetContentType("text/event-stream")
	afterEvent, _ := strconv.Atoi(run.AfterEvent) // zero if the header is absent: from the first event
	conn := ctx.Conn()
	if r.currentFaults().Unframed {
		r.sendUnframed(ctx, func(w *bufio.Writer) {
			defer r.releaseSlot()
			defer end()
			r.writeEvents(w, conn, run, afterEvent)
		})
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.releaseSlot()
		defer end()
		r.writeEvents(w, conn, run, afterEvent)
	})
}

// sendAnswer sends a body of known length, with MidAnswerPause if that fault is set.
func (r *Replica) sendAnswer(ctx *fasthttp.RequestCtx, body string) {
	if r.currentFaults().Unframed {
		r.sendUnframed(ctx, func(w *bufio.Writer) { _, _ = w.WriteString(body) })
		return
	}
	pause := r.currentFaults().MidAnswerPause
	if pause == 0 {
		ctx.SetBodyString(body)
		return
	}
	half := len(body) / 2
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(io.MultiReader(strings.NewReader(body[:half]), &delayedReader{replica: r, delay: pause, Reader: strings.NewReader(body[half:])}), len(body))
}

// delayedReader delays its first read, and while the replica is silent.
type delayedReader struct {
	replica *Replica
	delay   time.Duration
	io.Reader
}

// Read implements io.Reader.
func (d *delayedReader) Read(p []byte) (int, error) {
	time.Sleep(d.delay)
	d.delay = 0
	d.replica.waitWhileSilent()
	return d.Reader.Read(p)
}

// refuse answers that a request did not run, and returns the delay that the answer
// asks for.
func (r *Replica) refuse(ctx *fasthttp.RequestCtx) time.Duration {
	ctx.Response.Header.Set(wire.HeaderNotRun, "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	retryAfter := r.currentFaults().RetryAfter
	if retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	return retryAfter
}

// flushPause is the time for written data to be sent before the connection is closed.
const flushPause = 20 * time.Millisecond

// writeEvents writes the events after the given one, each after a pause.
func (r *Replica) writeEvents(w *bufio.Writer, conn net.Conn, run *Run, afterEvent int) {
	for event := afterEvent + 1; event <= r.options.Events; event++ {
		faults := r.currentFaults()
		time.Sleep(r.pause())
		r.waitWhileSilent()
		if faults.BreakResumed && afterEvent > 0 {
			breakConn(conn, faults.BreakByReset)
			return
		}
		if faults.BreakAfterEvents > 0 && afterEvent == 0 && event > faults.BreakAfterEvents {
			fmt.Fprintf(w, "id: %d\nda", event)
			_ = w.Flush()
			time.Sleep(flushPause)
			breakConn(conn, faults.BreakByReset)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event, run.ID, event)
		if err := w.Flush(); err != nil {
			r.journal.mu.Lock()
			run.Cancelled = true
			r.journal.mu.Unlock()
			return
		}
		r.journal.recordEvent(run)
	}
}

// breakConn closes a connection, or resets it.
func breakConn(conn net.Conn, byReset bool) {
	if tcp, ok := conn.(*net.TCPConn); ok && byReset {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// acquireSlot takes a slot for a request. It reports false if the request is to be
// refused, by a fault or because all slots are in use.
func (r *Replica) acquireSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if r.faults.Refuse || r.faults.RefuseEvery > 0 && r.requests%r.faults.RefuseEvery == 0 || r.running >= r.options.Slots {
		return false
	}
	r.running++
	return true
}

func (r *Replica) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// leavingFor returns how long ago the replica announced in its entry that it is
// leaving; zero if it did not.
func (r *Replica) leavingFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingSince.IsZero() {
		return 0
	}
	return time.Since(r.leavingSince)
}
