package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"github.com/walnutcove/walnutcove/control"
)

// TestMain fails if goroutines are leaked.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait for a condition.
const testTimeout = 20 * time.Second

// recorder is a Handler that records messages and state changes.
type recorder struct {
	mu       sync.Mutex
	messages map[control.NodeID][]control.Message
	states   []stateChange
	answer   func(ctx context.Context, method string, payload []byte) ([]byte, error)
}

type stateChange struct {
	node      control.NodeID
	connected bool
}

func (r *recorder) Received(from control.NodeID, _ control.Incarnation, messages []control.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.messages == nil {
		r.messages = make(map[control.NodeID][]control.Message)
	}
	r.messages[from] = append(r.messages[from], messages...)
}

func (r *recorder) StateChanged(node control.NodeID, connected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = append(r.states, stateChange{node, connected})
}

func (r *recorder) HandleCall(ctx context.Context, _ control.NodeID, method string, payload []byte) ([]byte, error) {
	if r.answer == nil {
		return append([]byte(method+" "), payload...), nil
	}
	return r.answer(ctx, method, payload)
}

func (r *recorder) received(from control.NodeID) []control.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]control.Message(nil), r.messages[from]...)
}

func (r *recorder) changes() []stateChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]stateChange(nil), r.states...)
}

// node is a Mesh with its handler.
type node struct {
	*Mesh
	*recorder
}

// start starts a node on loopback, with its options changed by the functions given.
func start(t testing.TB, name control.NodeID, incarnation control.Incarnation, change ...func(*Options)) node {
	t.Helper()
	r := &recorder{}
	n := startWith(t, r, name, incarnation, change...)
	n.recorder = r
	return n
}

// startWith is start with the given handler. It leaves the node's recorder unset.
func startWith(t testing.TB, handler Handler, name control.NodeID, incarnation control.Incarnation, change ...func(*Options)) node {
	t.Helper()
	options := Options{
		Node:          name,
		Incarnation:   incarnation,
		ListenAddress: "127.0.0.1:0",
		Logger:        slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics:       metrics.NewSet(),
	}
	for _, f := range change {
		f(&options)
	}
	mesh, err := New(options, handler)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	t.Cleanup(func() { mesh.Close() })
	return node{Mesh: mesh}
}

// setAllPeers sets the addresses of all nodes as the peers of each.
func setAllPeers(nodes ...node) {
	addresses := make(map[control.NodeID]string)
	for _, n := range nodes {
		addresses[n.self.Node] = n.Address()
	}
	for _, n := range nodes {
		n.SetPeers(addresses)
	}
}

// eventually waits for a condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func heartbeat(version uint64) control.Message {
	return control.Heartbeat{Incarnation: 1, ConfigVersion: version}
}

func TestSendKeepsOrder(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 2)
	setAllPeers(a, b)
	const count = 2000
	for i := range uint64(count) {
		a.Send("b", heartbeat(i))
	}
	eventually(t, "all messages", func() bool { return len(b.received("a")) == count })
	for i, message := range b.received("a") {
		if message != heartbeat(uint64(i)) {
			t.Fatalf("message %d is %v", i, message)
		}
	}
}

func TestBothSendAtOnce(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 2)
	setAllPeers(a, b)
	a.Send("b", heartbeat(1))
	b.Send("a", heartbeat(2))
	eventually(t, "both messages", func() bool { return len(b.received("a")) == 1 && len(a.received("b")) == 1 })
	if a.sessionCount() != 1 || b.sessionCount() != 1 {
		t.Fatalf("sessions: %d and %d", a.sessionCount(), b.sessionCount())
	}
}

func TestCall(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 2)
	setAllPeers(a, b)
	answer, err := a.Call(context.Background(), "b", "echo", []byte("hello"))
	if err != nil || string(answer) != "echo hello" {
		t.Fatalf("answer %q, error %v", answer, err)
	}
	if _, err := a.Call(context.Background(), "c", "echo", nil); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("call to an unknown node: %v", err)
	}
}

// counterValue returns the value of a counter.
func (n node) counterValue(name string) int {
	return int(n.options.Metrics.GetOrCreateCounter(name).Get())
}
