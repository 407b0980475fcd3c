// Package managed is a stand-in for a managed platform: for its row store, which
// operators write to and in which replicas register, and for its replicas. Tests can
// inject faults into both.
package managed

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// Fault is the way in which the store treats calls.
type Fault int

// The faults.
const (
	// Healthy: there is no fault, and calls are answered.
	Healthy Fault = iota
	// Refusing: calls are answered with 503 and have no effect.
	Refusing
	// Unresponsive: calls get no answer, not even after the fault has ended. Feeds
	// that were waiting when it began keep waiting, and are answered once it has
	// ended.
	Unresponsive
	// HistoryLost: feeds are answered with 410, because the history that they ask
	// for is gone. Feeds that were waiting when the fault began get 503.
	HistoryLost
)

// Store is a stand-in for the row store. Create it with StartStore.
type Store struct {
	listeners []net.Listener
	http      *fasthttp.Server
	closed    chan struct{}

	mu       sync.Mutex
	rows     map[rowKey]wire.Row
	revision uint64
	// era rises by one with each Restore.
	era     uint64
	changed chan struct{}
	// feedLosses counts, by the address that callers call, how often
	// LoseWaitingFeeds was called.
	feedLosses map[string]int
	// faults holds faults by the address that callers call; fault is for callers of
	// all other addresses.
	fault  Fault
	faults map[string]Fault
	// refusedTable is the table whose reads are refused; empty if there is none.
	refusedTable string
	calls        map[string]int // by path
	// eraProbes counts reads limited to one row, which routers send to learn the era.
	eraProbes int
	// writeLimiters limit the transactions that write to each part; see LimitWrites.
	writeLimiters   map[string]*rate.Limiter
	writesPerSecond int
	// views holds the views by the address that callers call; see SetView.
	views map[string]View
}

// View returns a row as the callers of an address are to see it.
type View func(wire.Row) wire.Row

type rowKey struct{ table, part, key string }

// StartStore starts a store. It does not listen before Listen is called.
func StartStore() *Store {
	s := &Store{
		closed:        make(chan struct{}),
		rows:          make(map[rowKey]wire.Row),
		era:           1,
		changed:       make(chan struct{}),
		feedLosses:    make(map[string]int),
		faults:        make(map[string]Fault),
		calls:         make(map[string]int),
		writeLimiters: make(map[string]*rate.Limiter),
		views:         make(map[string]View),
	}
	s.http = &fasthttp.Server{Handler: s.serve, CloseOnShutdown: true, Logger: discardLogger{}}
	return s
}

// Listen opens one more "ip:port" on loopback. Callers that use an address of their
// own can be given faults of their own.
func (s *Store) Listen() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	go func() { _ = s.http.Serve(listener) }() // ends with Close
	return listener.Addr().String(), nil
}

// Close stops the store.
func (s *Store) Close() {
	close(s.closed)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
}

// SetFault sets the fault for the callers of all addresses without a fault of their
// own.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.notifyChange()
}

// SetFaultAt sets the fault for the callers of an address.
func (s *Store) SetFaultAt(address string, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[address] = fault
	s.notifyChange()
}

// LimitWrites limits the transactions per second that write to each part. Transactions
// over the limit wait, and are refused once a second's worth of them is waiting. Zero
// means no limit.
func (s *Store) LimitWrites(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writesPerSecond = perSecond
	clear(s.writeLimiters)
}

// maxWriteWait is how long a transaction may wait because of LimitWrites.
const maxWriteWait = time.Second

// reserveWrite returns how long a transaction must wait for the limits of all parts
// that it writes to. ok is false if it is to be refused.
func (s *Store) reserveWrite(transaction wire.Transaction) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writesPerSecond == 0 {
		return 0, true
	}
	for _, row := range slices.Concat(transaction.Writes, transaction.Removals) {
		if s.writeLimiters[row.Part] == nil {
			s.writeLimiters[row.Part] = rate.NewLimiter(rate.Limit(s.writesPerSecond), 1)
		}
		reservation := s.writeLimiters[row.Part].Reserve()
		if reservation.Delay() > maxWriteWait {
			reservation.Cancel()
			return 0, false
		}
		wait = max(wait, reservation.Delay())
	}
	return wait, true
}

// LoseWaitingFeeds makes the store never answer the feeds that wait at an address at
// present, whatever changes. This is what callers see of a store that restarts behind
// a proxy that keeps their connections open.
func (s *Store) LoseWaitingFeeds(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feedLosses[address]++
	s.notifyChange()
}

func (s *Store) feedLossesAt(ctx *fasthttp.RequestCtx) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feedLosses[ctx.LocalAddr().String()]
}

// SetView sets how the callers of an address see the rows.
func (s *Store) SetView(address string, view View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views[address] = view
}

// applyView returns the answer with its rows as the caller is to see them.
func (s *Store) applyView(ctx *fasthttp.RequestCtx, answer wire.RowsAnswer) wire.RowsAnswer {
	s.mu.Lock()
	view := s.views[ctx.LocalAddr().String()]
	s.mu.Unlock()
	if view == nil {
		return answer
	}
	for n, row := range answer.Rows {
		answer.Rows[n] = view(row)
	}
	return answer
}

// RefuseReads refuses reads of a table, for callers without a fault of their own. ""
// ends that.
func (s *Store) RefuseReads(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedTable = table
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// EraProbes returns the number of calls to wire.PathRead that were limited to one row.
func (s *Store) EraProbes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eraProbes
}

// CallsExceptEraProbes returns the number of all calls other than era probes.
func (s *Store) CallsExceptEraProbes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, count := range s.calls {
		total += count
	}
	return total - s.eraProbes
}

// Put writes a row, as operators and replicas do.
func (s *Store) Put(table, key string, content any) {
	data, err := json.Marshal(content)
	if err != nil {
		panic(err) // the stand-in's own types always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putRow(wire.Row{Table: table, Key: key, Data: data})
	s.notifyChange()
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putRow(wire.Row{Table: table, Key: key, Removed: true})
	s.notifyChange()
}

// putRow stores a row with the current revision. The caller holds s.mu.
func (s *Store) putRow(row wire.Row) {
	row.Revision = s.revision
	s.rows[rowKey{row.Table, row.Part, row.Key}] = row
}

// notifyChange wakes the feeds that wait for a change. The caller holds s.mu.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	defer func() { ctx.Response.Header.Set(wire.HeaderEra, strconv.FormatUint(s.Era(), 10)) }()
	switch s.faultFor(ctx, path) {
	case Refusing:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case Unresponsive:
		<-s.closed
		return
	case HistoryLost:
		if path == wire.PathChanges {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
	}
	switch path {
	case wire.PathRead:
		s.sendJSON(ctx, s.applyView(ctx, s.readPage(ctx.QueryArgs())))
	case wire.PathChanges:
		s.serveChanges(ctx)
	case wire.PathTransact:
		s.serveTransaction(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// faultFor counts a call and returns the fault for it.
func (s *Store) faultFor(ctx *fasthttp.RequestCtx, path string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[path]++
	if path == wire.PathRead && string(ctx.QueryArgs().Peek(wire.ParamLimit)) == "1" {
		s.eraProbes++
	}
	_, own := s.faults[ctx.LocalAddr().String()]
	if !own && path == wire.PathRead && s.refusedTable != "" && string(ctx.QueryArgs().Peek(wire.ParamTable)) == s.refusedTable {
		return Refusing
	}
	return s.callerFault(ctx)
}

// currentFault returns the present fault for the caller of a feed that waits.
func (s *Store) currentFault(ctx *fasthttp.RequestCtx) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callerFault(ctx)
}

// callerFault returns the fault for the address that was called. The caller holds
// s.mu.
func (s *Store) callerFault(ctx *fasthttp.RequestCtx) Fault {
	if fault, own := s.faults[ctx.LocalAddr().String()]; own {
		return fault
	}
	return s.fault
}

func (s *Store) sendJSON(ctx *fasthttp.RequestCtx, content any) {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(err) // the stand-in's own types always encode
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// changedRows returns the rows of a table that changed after a revision, including
// removed ones. For revision zero it returns the rows that exist.
func (s *Store) changedRows(table string, after uint64) wire.RowsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := wire.RowsAnswer{Revision: s.revision}
	for key, row := range s.rows {
		if key.table != table || row.Revision <= after || after == 0 && row.Removed {
			continue
		}
		answer.Rows = append(answer.Rows, row)
	}
	slices.SortFunc(answer.Rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	return answer
}

// defaultPageRows is the maximum number of rows in an answer if the caller sets no
// limit.
const defaultPageRows = 50

// readPage returns the rows of one part of a table from a key on, sorted by key.
func (s *Store) readPage(query *fasthttp.Args) wire.RowsAnswer {
	answer := s.changedRows(string(query.Peek(wire.ParamTable)), 0)
	part, from := string(query.Peek(wire.ParamPart)), string(query.Peek(wire.ParamFrom))
	answer.Rows = slices.DeleteFunc(answer.Rows, func(r wire.Row) bool { return r.Part != part || r.Key < from })
	limit, err := query.GetUint(wire.ParamLimit)
	if err != nil {
		limit = defaultPageRows
	}
	if limit = min(limit, wire.MaxRows); len(answer.Rows) > limit {
		answer.Rows, answer.More = answer.Rows[:limit], true
	}
	return answer
}

// serveChanges answers a feed as soon as there is a change, or when its wait is over.
func (s *Store) serveChanges(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	table := string(query.Peek(wire.ParamTable))
	after, err := strconv.ParseUint(string(query.Peek(wire.ParamAfter)), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait := time.NewTimer(time.Duration(query.GetUintOrZero(wire.ParamWait)) * time.Millisecond)
	defer wait.Stop()
	waitOver := false
	lossesBefore := s.feedLossesAt(ctx)
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if s.feedLossesAt(ctx) > lossesBefore {
			<-s.closed
			return
		}
		// For revision zero, changedRows would return the rows that exist and omit
		// removed ones, so revision zero is treated as revision 1. No row has a
		// lower revision, but rows of revision 1 itself are then not sent.
		answer := s.changedRows(table, max(after, 1))
		switch fault := s.currentFault(ctx); {
		case fault == Unresponsive:
		case after > answer.Revision && fault == Healthy:
			ctx.SetStatusCode(fasthttp.StatusGone) // the store was restored and does not have this revision yet
			return
		case fault != Healthy:
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		case waitOver || len(answer.Rows) > 0:
			s.sendJSON(ctx, s.applyView(ctx, answer))
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			waitOver = true
		case <-s.closed:
			return
		}
	}
}

func (s *Store) serveTransaction(ctx *fasthttp.RequestCtx) {
	var transaction wire.Transaction
	if err := json.Unmarshal(ctx.PostBody(), &transaction); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait, ok := s.reserveWrite(transaction)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range transaction.Conditions {
		row := s.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if row.Removed {
			row.Revision = 0
		}
		if row.Revision != expected.Revision {
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
			return
		}
	}
	s.revision++
	for _, row := range transaction.Writes {
		s.putRow(row)
	}
	for _, row := range transaction.Removals {
		row.Removed = true
		s.putRow(row)
	}
	s.notifyChange()
	s.sendJSON(ctx, wire.RowsAnswer{Revision: s.revision})
}
