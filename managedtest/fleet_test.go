// Package managedtest runs routers against the stand-in of a managed platform and
// checks what callers and replicas see. Everything speaks over real sockets.
package managedtest

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/devfleet"
	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// What the fleet serves.
const (
	key      = managed.DemoKey
	pathOps  = managed.DemoNonIdempotentPrefix + "deploy"
	pathSafe = managed.DemoIdempotentPrefix + "purge"
	pathGen  = managed.DemoStreamPrefix + "page"
	events   = 8

	// deadline is the requests' own.
	deadline = 8 * time.Second
	// testTimeout bounds every wait for something that must come.
	testTimeout = 20 * time.Second
)

// fleet is some routers, the store and replicas.
type fleet struct {
	t        *testing.T
	store    *managed.Store
	journal  *managed.Journal
	replicas []*managed.Replica
	routers  []*router.Router
	settings []settings.Settings
	logs     []*logged // of the routers, in their order
	version  uint64
	caller   *managed.Caller
}

// startFleet starts routers and the replicas that the options describe.
func startFleet(t *testing.T, routers int, replicas ...managed.ReplicaOptions) *fleet {
	t.Helper()
	f := &fleet{t: t, store: managed.StartStore(), journal: &managed.Journal{}}
	t.Cleanup(f.store.Close)
	f.caller = managed.NewCaller("request", deadline)
	t.Cleanup(f.caller.Close)
	f.configure(nil)
	for _, options := range replicas {
		f.replica(options)
	}
	for range routers {
		f.router()
	}
	for _, r := range f.routers {
		f.waitReady(r)
	}
	return f
}

func (f *fleet) replica(options managed.ReplicaOptions) *managed.Replica {
	f.t.Helper()
	r, err := managed.StartReplica(f.store, f.journal, options)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.replicas = append(f.replicas, r)
	return r
}

// router starts one more router, with an address of the store of its own.
func (f *fleet) router() *router.Router {
	f.t.Helper()
	address, err := f.store.Listen()
	if err != nil {
		f.t.Fatal(err)
	}
	s := devfleet.ManagedSettings(fmt.Sprintf("vm-%d", len(f.routers)+1), address)
	s.Node.Regions = zoneRegions
	s.Scheduling.ColdOvershoot, s.Scheduling.ColdSlack = coldOvershoot, coldSlack
	log := &logged{}
	r, err := router.Start(s, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.routers = append(f.routers, r)
	f.settings = append(f.settings, s)
	f.logs = append(f.logs, log)
	return r
}

// logged keeps what a router logs.
type logged struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logged) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logged) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// linesWith returns the lines that contain a text.
func (l *logged) linesWith(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// waitJoined waits until each router hears of all others.
func (f *fleet) waitJoined() {
	f.t.Helper()
	for n, log := range f.logs {
		f.eventually(testTimeout, "router "+strconv.Itoa(n)+" hears of all others", func() bool {
			return log.has(fmt.Sprintf(`"member: Live routers changed." node=%s count=%d `, f.settings[n].Node.Name, len(f.routers)))
		})
	}
}

func (f *fleet) waitReady(r *router.Router) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := r.WaitReady(ctx); err != nil {
		f.t.Fatal(err)
	}
}

// configure publishes the next version, after edit has changed it.
func (f *fleet) configure(edit func(*wire.Config)) {
	f.version += 3 // versions rise in uneven steps
	c := managed.DemoConfig(f.version)
	if edit != nil {
		edit(&c)
	}
	f.store.Put(wire.TableOperator, wire.KeyConfig, c)
}

// send sends a request to a router and reads its answer.
func (f *fleet) send(r *router.Router, path string) managed.Answer {
	return f.sendWith(context.Background(), r, path, key)
}

func (f *fleet) sendWith(ctx context.Context, r *router.Router, path, withKey string) managed.Answer {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	return f.caller.Send(ctx, r.CallersAddress(), path, withKey)
}

// eventually waits until a condition holds.
func (f *fleet) eventually(within time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Errorf("not within %s: %s", within, what)
}

// wholeStream is the body of a stream that lacks nothing and has nothing twice.
func wholeStream(id string) string { return managed.ExpectedStream(id, events) }
