// Package host is the part that all stand-in targets share: the HTTP server, its
// simulated crash and restart, injected faults, the load report and the journal.
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

// Paths that every stand-in target serves in addition to its own.
const (
	PathLoad    = "/load"
	PathFault   = "/_fault"
	PathJournal = "/_journal"
)

const (
	// prefixesParam is the query parameter that asks for the cached prefixes.
	prefixesParam = "prefixes"
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 64 << 20
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 32 << 10
	// listenRetryPause is the pause between attempts to listen again after a crash.
	listenRetryPause = 10 * time.Millisecond
)

// Target is what one kind of stand-in target implements; the host does the rest.
type Target interface {
	// Serve answers a request whose path the host does not serve itself.
	Serve(ctx *fasthttp.RequestCtx)
	// Load returns the true load.
	Load() targets.Load
	// Crash drops every run and what is held in memory only, as a crash of the
	// process would.
	Crash()
}

// Host is the HTTP server of one stand-in target.
type Host struct {
	// Journal records what happens to requests.
	Journal *journal.Journal

	target  Target
	faults  faultState
	lastRun atomic.Uint64
	startID atomic.Uint64
	server  *fasthttp.Server

	mu       sync.Mutex
	listener *trackingListener
	address  string
	closed   bool
	stop     chan struct{}
	serving  sync.WaitGroup
}

// New returns a host that is not yet listening.
func New(name string, target Target) *Host {
	h := &Host{
		Journal: journal.New(name),
		target:  target,
		stop:    make(chan struct{}),
	}
	h.renewStartID()
	h.server = &fasthttp.Server{
		Handler:               h.handle,
		Name:                  "standin",
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		NoDefaultServerHeader: true,
	}
	return h
}

// discardLogger drops fasthttp's log lines, because connections are broken on
// purpose here.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Start listens on address ("ip:port"; port 0 picks a free one) and returns the
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

// serve accepts connections on ln in a goroutine. The caller holds h.mu.
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

// Close resets every connection and ends every run.
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
		h.disconnectAll(ln)
	}
	h.serving.Wait()
}

// disconnectAll ends every run before it resets the connections, so that no run is
// recorded as cancelled by its caller.
func (h *Host) disconnectAll(ln *trackingListener) {
	ln.stopAccepting()
	h.target.Crash()
	ln.resetAll()
}

// Crash drops every run, resets every connection and refuses connections for the
// downtime; after that it listens on the same address again.
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
	h.disconnectAll(ln)
	h.renewStartID()
	go func() {
		defer h.serving.Done()
		h.listenAgain(downtime)
	}()
}

// renewStartID sets a new start ID, as a restarted process would have. It is never
// zero.
func (h *Host) renewStartID() { h.startID.Store(rand.Uint64() | 1) }

// listenAgain listens on the same address again after the downtime, and retries
// until it succeeds or the host is closed.
func (h *Host) listenAgain(downtime time.Duration) {
	pause := downtime
	for {
		select {
		case <-h.stop:
			return
		case <-time.After(pause):
		}
		ln, err := listen(h.Address())
		if err == nil {
			h.serveAgain(ln)
			return
		}
		pause = listenRetryPause
	}
}

func (h *Host) serveAgain(ln *trackingListener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		ln.stopAccepting()
		return
	}
	h.serve(ln)
}

// SetFaults replaces the faults in force.
func (h *Host) SetFaults(f Faults) { h.faults.set(f) }

// Faults returns the faults in force.
func (h *Host) Faults() Faults { return h.faults.get() }

// TakeFaults returns the faults to inject into one request and counts them
// against Faults.Times.
func (h *Host) TakeFaults() Faults { return h.faults.take() }

// RecordReceived adds a Received entry for a request to the journal. It returns the
// entry, from which the request's further entries are made.
func (h *Host) RecordReceived(ctx *fasthttp.RequestCtx) journal.Entry {
	entry := journal.Entry{
		Event:          journal.Received,
		Run:            h.lastRun.Add(1),
		RequestID:      string(ctx.Request.Header.Peek(dialect.HeaderRequestID)),
		IdempotencyKey: string(ctx.Request.Header.Peek(targets.HeaderIdempotencyKey)),
		Path:           string(ctx.Path()),
	}
	h.Journal.Add(entry)
	return entry
}

// RefuseNotRun answers that the request did not run and adds that to the journal.
func (h *Host) RefuseNotRun(ctx *fasthttp.RequestCtx, entry journal.Entry) {
	entry.Event = journal.Ended
	entry.Outcome = journal.NotRun
	h.Journal.Add(entry)
	ctx.Response.Header.Set(dialect.HeaderNotRun, "true")
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("refused before running\n")
}

// Abort resets the connection without an answer.
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
		h.target.Serve(ctx)
	}
}

func (h *Host) serveLoad(ctx *fasthttp.RequestCtx) {
	faults := h.Faults()
	load := h.target.Load()
	if faults.FalseLoad != nil {
		load = *faults.FalseLoad
	}
	load.Leaving = load.Leaving || faults.Leaving
	load.StartID = h.startID.Load()
	if !ctx.QueryArgs().GetBool(prefixesParam) {
		load.CachedPrefixes = nil
	}
	WriteJSON(ctx, load)
}

// serveFault replaces the faults in force (POST), clears them (DELETE) or shows
// them (GET).
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

// serveJournal returns the entries whose Seq is greater than ?since=, or clears the
// journal (DELETE).
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
