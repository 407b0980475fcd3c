// Package host is the part that every stand-in target shares: the HTTP server,
// its crash and restart, the faults, the load report and the journal.
package host

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/targets"
)

// Paths that every stand-in serves beside its own.
const (
	PathLoad    = "/load"
	PathFault   = "/_fault"
	PathJournal = "/_journal"
)

const (
	// prefixesArg is the query argument that asks for the cached prefixes.
	prefixesArg = "prefixes"
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 64 << 20
	// readBufferBytes bounds a request's head.
	readBufferBytes = 32 << 10
	// reopenPause is the pause between tries to listen again after a crash.
	reopenPause = 10 * time.Millisecond
)

// Behaviour is what a particular stand-in adds to the host.
type Behaviour interface {
	// Serve answers a request that the host does not answer itself.
	Serve(ctx *fasthttp.RequestCtx)
	// Load returns the true load.
	Load() targets.Load
	// Crash drops every run, as a crash of the process would.
	Crash()
}

// Host serves one stand-in.
type Host struct {
	// Journal records what happens.
	Journal *journal.Journal

	behaviour Behaviour
	faults    faultState
	runs      atomic.Uint64
	startID   atomic.Uint64
	server    *fasthttp.Server

	mu       sync.Mutex
	listener *trackingListener
	address  string
	closed   bool
	stop     chan struct{}
	serving  sync.WaitGroup
}

// New returns a host that is not yet listening.
func New(name string, behaviour Behaviour) *Host {
	h := &Host{
		Journal:   journal.New(name),
		behaviour: behaviour,
		stop:      make(chan struct{}),
	}
	h.renewStartID()
	h.server = &fasthttp.Server{
		Handler:               h.handle,
		Name:                  "standin",
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        readBufferBytes,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                silentLogger{},
		NoDefaultServerHeader: true,
	}
	return h
}

// silentLogger drops fasthttp's lines: broken connections are on purpose here.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// Start listens on address ("ip:port", port 0 picks one) and returns the
// address that it listens on.
func (h *Host) Start(address string) (string, error) {
	ln, err := listen(address)
	if err != nil {
		return "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address = ln.Addr().String()
	h.serve(ln)
	return h.address, nil
}

// serve accepts on ln. h.mu is held.
func (h *Host) serve(ln *trackingListener) {
	h.listener = ln
	h.serving.Add(1)
	go func() {
		defer h.serving.Done()
		_ = h.server.Serve(ln)
	}()
}

// Address returns the address that the host listens on.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Close cuts every connection and ends every run.
func (h *Host) Close() {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.closed = true
	ln := h.listener
	h.mu.Unlock()
	close(h.stop)
	if ln != nil {
		h.drop(ln)
	}
	h.serving.Wait()
}

// drop ends every run before the connections are reset, so that no run is
// taken for one that its caller cancelled.
func (h *Host) drop(ln *trackingListener) {
	ln.refuse()
	h.behaviour.Crash()
	ln.cut()
}

// Crash cuts every connection, drops every run and refuses connections for the
// downtime, then listens on the same address again.
func (h *Host) Crash(downtime time.Duration) {
	h.mu.Lock()
	ln := h.listener
	if h.closed || ln == nil {
		h.mu.Unlock()
		return
	}
	h.listener = nil
	h.serving.Add(1)
	h.mu.Unlock()
	h.drop(ln)
	h.renewStartID()
	go func() {
		defer h.serving.Done()
		h.reopen(downtime)
	}()
}

// renewStartID begins a new start, as a restarted process would.
func (h *Host) renewStartID() { h.startID.Store(rand.Uint64() | 1) }

// reopen listens again after the downtime.
func (h *Host) reopen(downtime time.Duration) {
	pause := downtime
	for {
		select {
		case <-h.stop:
			return
		case <-time.After(pause):
		}
		ln, err := listen(h.Address())
		if err == nil {
			h.reopened(ln)
			return
		}
		pause = reopenPause
	}
}

func (h *Host) reopened(ln *trackingListener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		ln.refuse()
		return
	}
	h.serve(ln)
}

// SetFaults replaces the faults in force.
func (h *Host) SetFaults(f Faults) { h.faults.set(f) }

// Faults returns the faults in force.
func (h *Host) Faults() Faults { return h.faults.get() }

// TakeFaults returns the faults that befall one request.
func (h *Host) TakeFaults() Faults { return h.faults.take() }

// Received journals a request and returns the entry to journal its course with.
func (h *Host) Received(ctx *fasthttp.RequestCtx) journal.Entry {
	e := journal.Entry{
		Event:          journal.Received,
		Run:            h.runs.Add(1),
		RequestID:      string(ctx.Request.Header.Peek(dialect.HeaderRequestID)),
		IdempotencyKey: string(ctx.Request.Header.Peek(targets.HeaderIdempotencyKey)),
		Path:           string(ctx.Path()),
	}
	h.Journal.Add(e)
	return e
}

// RefuseNotRun answers that the request did not run and journals it.
func (h *Host) RefuseNotRun(ctx *fasthttp.RequestCtx, e journal.Entry) {
	e.Event = journal.Ended
	e.Outcome = journal.NotRun
	h.Journal.Add(e)
	ctx.Response.Header.Set(dialect.HeaderNotRun, "true")
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("refused before running\n")
}

// Abort closes the connection without an answer.
func Abort(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*trackedConn); ok {
		c.reset()
	}
}

func (h *Host) handle(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*trackedConn); ok && c.listener.isClosed() {
		c.reset()
		return
	}
	switch string(ctx.Path()) {
	case PathLoad:
		h.serveLoad(ctx)
	case PathFault:
		h.serveFault(ctx)
	case PathJournal:
		h.serveJournal(ctx)
	default:
		h.behaviour.Serve(ctx)
	}
}

func (h *Host) serveLoad(ctx *fasthttp.RequestCtx) {
	faults := h.Faults()
	load := h.behaviour.Load()
	if faults.LieLoad != nil {
		load = *faults.LieLoad
	}
	load.Leaving = load.Leaving || faults.Leaving
	load.StartID = h.startID.Load()
	if !ctx.QueryArgs().GetBool(prefixesArg) {
		load.CachedPrefixes = nil
	}
	WriteJSON(ctx, load)
}

// serveFault replaces the faults (POST), clears them (DELETE) or shows them.
func (h *Host) serveFault(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsPost():
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		h.SetFaults(f)
	case ctx.IsDelete():
		h.SetFaults(Faults{})
	}
	WriteJSON(ctx, h.Faults())
}

// serveJournal returns the entries after ?since=, or clears them (DELETE).
func (h *Host) serveJournal(ctx *fasthttp.RequestCtx) {
	if ctx.IsDelete() {
		h.Journal.Clear()
		return
	}
	since, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("since")), 10, 64)
	WriteJSON(ctx, h.Journal.Since(since))
}

// WriteJSON answers with a JSON document.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
