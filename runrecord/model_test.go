package runrecord

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"pgregory.net/rapid"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/forward"
	"github.com/walnutcove/walnutcove/store/memory"
)

// model is a fleet of three routers that repeatedly receive the same few
// requests, over a table that refuses calls, loses replies and applies commits
// late. Each request may run at most once within its retention. A router that
// restarts leaves its open runs in the model, where they continue later, like
// those of a paused process.
type model struct {
	draw        func(n int) int // a number in [0, n)
	store       *memory.Store
	lateCommits [][]store.Op
	depth       int // nesting depth of steps within table calls
	managers    []*Manager
	sweepers    []*sweeper
	now         control.Instant
	openRuns    []*openRun
	runs        map[string]int // number of runs, by key
	// lastRunEpoch is the epoch in which the last run of a key was claimed.
	lastRunEpoch map[string]uint64
	// takeover makes the table return the claims of restarted routers as given
	// up, as a design that takes over such claims would treat them.
	takeover bool
	// useWriters sends the commits through writers; see forward_test.go.
	useWriters    bool
	forwardTables map[control.NodeID]*forward.Table
	err           error
}

type openRun struct {
	key        string
	epoch      uint64 // in force when the claim was begun
	claim      *Claim
	dispatched bool
}

func newModel(draw func(int) int, takeover, useWriters bool) *model {
	m := &model{
		draw:          draw,
		takeover:      takeover,
		useWriters:    useWriters,
		forwardTables: make(map[control.NodeID]*forward.Table),
		store:         memory.New(memory.Options{}),
		runs:          make(map[string]int),
		lastRunEpoch:  make(map[string]uint64),
	}
	m.managers = make([]*Manager, 3)
	m.sweepers = make([]*sweeper, 3)
	for i := range m.managers {
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	incarnation := control.Incarnation(1)
	if m.managers[i] != nil {
		incarnation += m.managers[i].options.Incarnation
	}
	node := control.NodeID(fmt.Sprint(i))
	m.managers[i] = newManager(Options{
		Table:       m.newTable(node),
		Node:        node,
		Incarnation: incarnation,
		OwnerAlive:  m.isAlive,
		Now:         func() control.Instant { return m.now },
		Retention:   modelRetention,
		Metrics:     metrics.NewSet(),
	})
	m.sweepers[i] = newSweeper(m.managers[i])
}

func (m *model) isAlive(node control.NodeID, incarnation control.Incarnation) bool {
	for _, manager := range m.managers {
		if manager.options.Node == node {
			return manager.options.Incarnation == incarnation
		}
	}
	return false
}

// step performs one random action. Steps are also performed within table calls.
func (m *model) step() {
	i := m.draw(len(m.managers))
	switch m.draw(14) {
	case 0, 1, 2:
		m.send(m.managers[i])
	case 3, 4:
		m.dispatch()
	case 5:
		m.end()
	case 6, 7:
		if batch := m.managers[i].nextBatch(); len(batch) > 0 && m.depth == 0 {
			m.managers[i].writeBatch(context.Background(), batch)
		}
	case 8:
		m.restart(i)
	case 9:
		m.applyLate()
	case 10:
		m.now += defaultEpochLength
	case 11, 12:
		if m.depth == 0 {
			_ = m.sweepers[i].sweep(context.Background())
		}
	case 13:
		m.changeMembers(m.managers[i].options.Node)
	}
}

// epoch returns the number of the epoch in force.
func (m *model) epoch() uint64 {
	known, _ := readEpoch(context.Background(), m.store)
	return known.number
}

func (m *model) send(manager *Manager) {
	key := fmt.Sprint(m.draw(2))
	e, _ := manager.reserve(RowKey("w", key), 1)
	if e == nil {
		return // Manager.Claim would answer from memory, or wait for the writer
	}
	epoch := m.epoch()
	decision, err := manager.acquire(context.Background(), e)
	var refusal *result.Error
	switch {
	case decision.Claim != nil:
		m.openRuns = append(m.openRuns, &openRun{key: key, epoch: epoch, claim: decision.Claim})
	case decision.Replay != nil && m.runs[key] == 0:
		m.err = fmt.Errorf("key %s: replayed, but never ran", key)
	case err != nil && !errors.As(err, &refusal):
		m.err = err
	}
}

// dispatch runs a random claimed request, unless its claim or the target refuses.
func (m *model) dispatch() {
	if len(m.openRuns) == 0 {
		return
	}
	run := m.openRuns[m.draw(len(m.openRuns))]
	if run.dispatched || run.claim.BeginDispatch() != nil || m.draw(4) == 0 {
		return
	}
	run.dispatched = true
	m.runs[run.key]++
	if m.runs[run.key] > 1 && m.epoch() <= m.lastRunEpoch[run.key]+modelRetention {
		m.err = fmt.Errorf("key %s ran twice", run.key)
	}
	m.lastRunEpoch[run.key] = run.epoch
}

func (m *model) end() {
	if len(m.openRuns) == 0 {
		return
	}
	i := m.draw(len(m.openRuns))
	run := m.openRuns[i]
	m.openRuns = append(m.openRuns[:i], m.openRuns[i+1:]...)
	switch {
	case !run.dispatched:
		run.claim.NotRun(result.NoTarget)
	case m.draw(2) == 0:
		run.claim.Unknown(result.StreamBroken)
	default:
		run.claim.Answered(Outcome{Status: 200})
	}
}

func (m *model) applyLate() {
	if len(m.lateCommits) == 0 {
		return
	}
	i := m.draw(len(m.lateCommits))
	ops := m.lateCommits[i]
	m.lateCommits = append(m.lateCommits[:i], m.lateCommits[i+1:]...)
	_ = m.store.Commit(context.Background(), ops)
}

// maybeInterleave may perform a step of another router around a table call.
func (m *model) maybeInterleave() {
	if m.depth < 2 && m.draw(3) == 0 {
		m.depth++
		m.step()
		m.depth--
	}
}

func (m *model) Get(ctx context.Context, table, key string) (store.Row, error) {
	m.maybeInterleave()
	if m.draw(8) == 0 {
		return store.Row{}, store.ErrUnavailable
	}
	row, err := m.store.Get(ctx, table, key)
	m.maybeInterleave()
	if err != nil || table != Table || !m.takeover {
		return row, err
	}
	record, err := decode(row.Value)
	if err == nil && record.State == StateClaimed && !m.isAlive(record.Owner.Node, record.Owner.Incarnation) {
		record.State = StateNotRun
		row.Value = record.encode()
	}
	return row, err
}

func (m *model) Scan(ctx context.Context, table, from string, limit int) ([]store.Row, error) {
	return m.store.Scan(ctx, table, from, limit)
}

func (m *model) Commit(ctx context.Context, ops []store.Op) error {
	_, err := m.CommitRevision(ctx, ops)
	return err
}

func (m *model) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	m.maybeInterleave()
	defer m.maybeInterleave()
	switch m.draw(8) {
	case 0:
		return 0, store.ErrUnavailable
	case 1:
		m.lateCommits = append(m.lateCommits, ops)
		return 0, store.ErrUnknown
	case 2:
		_ = m.store.Commit(ctx, ops)
		return 0, store.ErrUnknown
	}
	revision, err := m.store.CommitRevision(ctx, ops)
	if m.draw(2) == 0 {
		revision = 0 // like a table that does not report it
	}
	return revision, err
}

const (
	modelSteps     = 100
	modelRetention = 1 // epochs
)

func TestRunsAtMostOnce(t *testing.T) {
	for _, useWriters := range []bool{false, true} {
		t.Run(fmt.Sprintf("writers=%v", useWriters), rapid.MakeCheck(func(t *rapid.T) {
			m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, false, useWriters)
			for range modelSteps {
				if m.step(); m.err != nil {
					t.Fatal(m.err)
				}
			}
		}))
	}
}

// TestTakeoverWouldRunTwice checks that a design that takes over the claims of
// routers believed dead would run a request twice. It shows that the model reaches
// the critical interleavings.
func TestTakeoverWouldRunTwice(t *testing.T) {
	for _, useWriters := range []bool{false, true} {
		if !findsSecondRun(t, useWriters) {
			t.Fatalf("no request ran twice, writers %v", useWriters)
		}
	}
}

// findsSecondRun searches for an execution in which takeover runs a request twice.
func findsSecondRun(t *testing.T, useWriters bool) bool {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 0))
		m := newModel(random.IntN, true, useWriters)
		for range modelSteps {
			if m.step(); m.err != nil {
				t.Logf("writers %v, seed %d: %v", useWriters, seed, m.err)
				return true
			}
		}
	}
	return false
}
