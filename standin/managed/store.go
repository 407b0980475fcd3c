// Package managed stands in for a managed platform: its row store, which operators
// write to and replicas register in, and its replicas. Tests switch faults on.
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

// Fault is how the store treats a caller.
type Fault int

// The faults.
const (
	// Healthy: calls are answered.
	Healthy Fault = iota
	// Refusing: calls get 503 and do nothing.
	Refusing
	// Silent: calls get no answer, also not after the silence. Feeds that wait since
	// before it go on waiting, and answer once it is over.
	Silent
	// Forgetful: feeds get 410, as their history is gone.
	Forgetful
)

// Store is the row store. Create it with StartStore.
type Store struct {
	listeners []net.Listener
	http      *fasthttp.Server
	ended     chan struct{}

	mu       sync.Mutex
	rows     map[rowKey]wire.Row
	revision uint64
	// era rises by one each time that the store comes back from a copy; see Restore.
	era     uint64
	changed chan struct{}
	// losses counts, by the address that callers call, how often their waiting feeds were
	// lost.
	losses map[string]int
	// faults holds what happens to callers by the address that they call; fault is
	// for all others.
	fault  Fault
	faults map[string]Fault
	// refused is a table that nobody can read.
	refused string
	calls   map[string]int
	// eraProbes counts reads limited to one row, which routers use to get the era.
	eraProbes int
	// writes bounds the transactions of each part; see LimitWrites.
	writes     map[string]*rate.Limiter
	writeLimit int
	// views change the rows for those who call an address.
	views map[string]View
}

// View returns a row as some callers see it.
type View func(wire.Row) wire.Row

type rowKey struct{ table, part, key string }

// StartStore starts a store. It listens where Listen is called.
func StartStore() *Store {
	s := &Store{
		ended:   make(chan struct{}),
		rows:    make(map[rowKey]wire.Row),
		era:     1,
		changed: make(chan struct{}),
		losses:  make(map[string]int),
		faults:  make(map[string]Fault),
		calls:   make(map[string]int),
		writes:  make(map[string]*rate.Limiter),
		views:   make(map[string]View),
	}
	s.http = &fasthttp.Server{Handler: s.serve, CloseOnShutdown: true, Logger: silent{}}
	return s
}

// Listen opens one more "ip:port" on loopback, so that callers may be given
// addresses, and faults, of their own.
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

// Close ends the store.
func (s *Store) Close() {
	close(s.ended)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
}

// SetFault sets what happens to all callers without a fault of their own.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

// SetFaultAt sets what happens to those who call an address.
func (s *Store) SetFaultAt(address string, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[address] = fault
	s.wake()
}

// LimitWrites bounds the transactions a second of each part. Those beyond wait for their
// turn, and are refused once a second's worth of them is waiting; zero: there is no bound.
func (s *Store) LimitWrites(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimit = perSecond
	clear(s.writes)
}

// longestQueue is how long the transactions of a part may wait for their turn.
const longestQueue = time.Second

// turnOf says how long a transaction waits for the parts that it writes to; false if it is
// refused.
func (s *Store) turnOf(change wire.Transaction) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeLimit == 0 {
		return 0, true
	}
	for _, row := range slices.Concat(change.Writes, change.Removals) {
		if s.writes[row.Part] == nil {
			s.writes[row.Part] = rate.NewLimiter(rate.Limit(s.writeLimit), 1)
		}
		turn := s.writes[row.Part].Reserve()
		if turn.Delay() > longestQueue {
			turn.Cancel()
			return 0, false
		}
		wait = max(wait, turn.Delay())
	}
	return wait, true
}

// LoseWaiting never answers the feeds that wait now for those who call an address,
// whatever changes, as a store that starts anew behind connections that live on.
func (s *Store) LoseWaiting(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses[address]++
	s.wake()
}

func (s *Store) lossesOf(ctx *fasthttp.RequestCtx) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losses[ctx.LocalAddr().String()]
}

// SetView sets how those who call an address see the rows.
func (s *Store) SetView(address string, view View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views[address] = view
}

// seen returns the answer as the caller sees it.
func (s *Store) seen(ctx *fasthttp.RequestCtx, answer wire.RowsAnswer) wire.RowsAnswer {
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

// RefuseReads refuses the reading of a table; "" ends that.
func (s *Store) RefuseReads(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = table
}

// Calls returns how often a call was made.
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

// CallsBesideProbes returns how many calls were made, other than era probes.
func (s *Store) CallsBesideProbes() int {
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
	s.put(wire.Row{Table: table, Key: key, Data: data})
	s.wake()
}

// Drop removes a row.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(wire.Row{Table: table, Key: key, Removed: true})
	s.wake()
}

// put needs s.mu.
func (s *Store) put(row wire.Row) {
	row.Revision = s.revision
	s.rows[rowKey{row.Table, row.Part, row.Key}] = row
}

// wake needs s.mu.
func (s *Store) wake() {
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
	case Silent:
		<-s.ended
		return
	case Forgetful:
		if path == wire.PathChanges {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
	}
	switch path {
	case wire.PathRead:
		s.answer(ctx, s.seen(ctx, s.page(ctx.QueryArgs())))
	case wire.PathChanges:
		s.follow(ctx)
	case wire.PathTransact:
		s.transact(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// faultFor counts a call and returns its caller's fault.
func (s *Store) faultFor(ctx *fasthttp.RequestCtx, path string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[path]++
	if path == wire.PathRead && string(ctx.QueryArgs().Peek(wire.ParamLimit)) == "1" {
		s.eraProbes++
	}
	_, own := s.faults[ctx.LocalAddr().String()]
	if !own && path == wire.PathRead && s.refused != "" && string(ctx.QueryArgs().Peek(wire.ParamTable)) == s.refused {
		return Refusing
	}
	return s.callerFault(ctx)
}

// faultNow returns the fault of a caller whose call waits.
func (s *Store) faultNow(ctx *fasthttp.RequestCtx) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callerFault(ctx)
}

// callerFault needs s.mu.
func (s *Store) callerFault(ctx *fasthttp.RequestCtx) Fault {
	if fault, own := s.faults[ctx.LocalAddr().String()]; own {
		return fault
	}
	return s.fault
}

func (s *Store) answer(ctx *fasthttp.RequestCtx, content any) {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(err) // the stand-in's own types always encode
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// read returns the rows of a table changed after a revision; with revision zero
// those that exist.
func (s *Store) read(table string, after uint64) wire.RowsAnswer {
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

// standardPage is how many rows an answer has where the caller sets no limit.
const standardPage = 50

// page returns the rows of one part of a table from a key on, in order of key.
func (s *Store) page(query *fasthttp.Args) wire.RowsAnswer {
	answer := s.read(string(query.Peek(wire.ParamTable)), 0)
	part, from := string(query.Peek(wire.ParamPart)), string(query.Peek(wire.ParamFrom))
	answer.Rows = slices.DeleteFunc(answer.Rows, func(r wire.Row) bool { return r.Part != part || r.Key < from })
	limit, err := query.GetUint(wire.ParamLimit)
	if err != nil {
		limit = standardPage
	}
	if limit = min(limit, wire.MaxRows); len(answer.Rows) > limit {
		answer.Rows, answer.More = answer.Rows[:limit], true
	}
	return answer
}

// follow answers as soon as there is a change, or when the wait is over.
func (s *Store) follow(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	table := string(query.Peek(wire.ParamTable))
	after, err := strconv.ParseUint(string(query.Peek(wire.ParamAfter)), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait := time.NewTimer(time.Duration(query.GetUintOrZero(wire.ParamWait)) * time.Millisecond)
	defer wait.Stop()
	over := false
	losses := s.lossesOf(ctx)
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if s.lossesOf(ctx) > losses {
			<-s.ended
			return
		}
		// Revision zero would read what exists; nothing is older than revision 1.
		answer := s.read(table, max(after, 1))
		switch fault := s.faultNow(ctx); {
		case fault == Silent:
		case after > answer.Revision && fault == Healthy:
			ctx.SetStatusCode(fasthttp.StatusGone) // a revision that this copy does not have
			return
		case fault != Healthy:
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		case over || len(answer.Rows) > 0:
			s.answer(ctx, s.seen(ctx, answer))
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			over = true
		case <-s.ended:
			return
		}
	}
}

func (s *Store) transact(ctx *fasthttp.RequestCtx) {
	var change wire.Transaction
	if err := json.Unmarshal(ctx.PostBody(), &change); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait, ok := s.turnOf(change)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range change.Conditions {
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
	for _, row := range change.Writes {
		s.put(row)
	}
	for _, row := range change.Removals {
		row.Removed = true
		s.put(row)
	}
	s.wake()
	s.answer(ctx, wire.RowsAnswer{Revision: s.revision})
}
