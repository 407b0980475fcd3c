// Package managedtest runs routers in process against the stand-in of a managed
// platform and checks what callers and replicas see. All connections are real
// sockets.
package managedtest

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/devfleet"
	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/settings"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// The requests that the fleet serves.
const (
	key               = managed.DemoKey
	pathNonIdempotent = managed.DemoNonIdempotentPrefix + "deploy"
	pathIdempotent    = managed.DemoIdempotentPrefix + "purge"
	pathStream        = managed.DemoStreamPrefix + "page"
	streamEvents      = 8

	// requestDeadline is the deadline that callers send with their requests.
	requestDeadline = 8 * time.Second
	// testTimeout limits every wait for an event that must come.
	testTimeout = 20 * time.Second
)

// fleet is a set of routers with the store and the replicas that they use.
type fleet struct {
	t        *testing.T
	store    *managed.Store
	journal  *managed.Journal
	replicas []*managed.Replica
	routers  []*router.Router
	settings []settings.Settings
	logs     []*logBuffer // one for each router
	version  uint64       // the newest published version
	// editSettings changes the settings of routers; may be nil.
	editSettings func(*settings.Settings)
	caller       *managed.Caller
}

// startFleet starts routers and the replicas that the options describe.
func startFleet(t *testing.T, routers int, replicas ...managed.ReplicaOptions) *fleet {
	t.Helper()
	return startFleetWith(t, nil, routers, replicas...)
}

// The slack of the fleet's retry budget: defaultSlack is a fifth of the default, as the window of
// startSettledFleet is; unlimitedSlack is more than any test needs.
const (
	defaultSlack   = 10
	unlimitedSlack = 1000
)

// startSettledFleet is like startFleet and waits until the routers have their part of the retry
// budget, which they do not use in the first window after their start.
func startSettledFleet(t *testing.T, retrySlack float64, routers int, replicas ...managed.ReplicaOptions) *fleet {
	t.Helper()
	const window = 2 * time.Second
	f := startFleetWith(t, func(s *settings.Settings) {
		s.Retries.Slack, s.Retries.Window = retrySlack, settings.Duration(window)
	}, routers, replicas...)
	time.Sleep(window)
	return f
}

// startFleetWith is like startFleet, with settings that edit changes.
func startFleetWith(t *testing.T, edit func(*settings.Settings), routers int, replicas ...managed.ReplicaOptions) *fleet {
	t.Helper()
	f := &fleet{t: t, store: managed.StartStore(), journal: &managed.Journal{}, editSettings: edit}
	t.Cleanup(f.store.Close)
	f.caller = managed.NewCaller("request", requestDeadline)
	t.Cleanup(f.caller.Close)
	f.publishConfig(nil)
	for _, options := range replicas {
		f.addReplica(options)
	}
	for range routers {
		f.addRouter()
	}
	for _, r := range f.routers {
		f.waitReady(r)
	}
	return f
}

func (f *fleet) addReplica(options managed.ReplicaOptions) *managed.Replica {
	f.t.Helper()
	r, err := managed.StartReplica(f.store, f.journal, options)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.replicas = append(f.replicas, r)
	return r
}

// addRouter starts one more router, which reaches the store at an address of its
// own.
func (f *fleet) addRouter() *router.Router {
	f.t.Helper()
	address, err := f.store.Listen()
	if err != nil {
		f.t.Fatal(err)
	}
	s := devfleet.ManagedSettings(fmt.Sprintf("vm-%d", len(f.routers)+1), address)
	s.Node.Regions = zoneRegions
	s.Scheduling.ColdOvershoot, s.Scheduling.ColdSlack = coldOvershoot, coldSlack
	if f.editSettings != nil {
		f.editSettings(&s)
	}
	log := &logBuffer{}
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

// logBuffer keeps the log of a router.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// linesWith returns the log lines that contain a text.
func (l *logBuffer) linesWith(text string) []string {
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

// waitJoined waits until each router has logged that it knows all others.
func (f *fleet) waitJoined() {
	f.t.Helper()
	for n, log := range f.logs {
		f.eventually(testTimeout, "router "+strconv.Itoa(n)+" knows all others", func() bool {
			return log.contains(fmt.Sprintf(`"member: Live routers changed." node=%s count=%d `, f.settings[n].Node.Name, len(f.routers)))
		})
	}
}

func (f *fleet) waitReady(r *router.Router) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := r.WaitReady(ctx); err != nil {
		n := slices.Index(f.routers, r)
		f.t.Fatalf("router %d is not ready: %v, its log:\n%s", n, err, strings.Join(f.logs[n].linesWith(""), "\n"))
	}
}

// publishConfig publishes the next version, after edit has changed it.
func (f *fleet) publishConfig(edit func(*wire.Config)) {
	f.version += 3 // versions need not be consecutive
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

// sendWith sends a request with a key and reads its answer.
func (f *fleet) sendWith(ctx context.Context, r *router.Router, path, withKey string) managed.Answer {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	return f.caller.Send(ctx, r.CallersAddress(), path, withKey)
}

// sendUntilRead sends a request until it is not refused unread. As the platform's callers do, it
// repeats the request after the Retry-After of such a refusal: any request may meet one while other
// processes keep the router from the processor.
func (f *fleet) sendUntilRead(r *router.Router, request managed.Request) managed.Answer {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		answer := f.caller.SendRequest(ctx, r.CallersAddress(), request)
		if answer.Header.Get(headerCode) != strconv.Itoa(int(result.Overloaded)) || ctx.Err() != nil {
			return answer
		}
		seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		if err != nil || len(f.journal.Runs(answer.ID)) > 0 {
			f.t.Errorf("%s was refused unread with %d runs and Retry-After %q", answer.ID, len(f.journal.Runs(answer.ID)), answer.Header.Get("Retry-After"))
			return answer
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

// eventually waits until a condition holds, and fails the test if that takes
// too long.
func (f *fleet) eventually(within time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Errorf("timed out after %s waiting until %s", within, what)
}

// expectedStream returns the body of a complete stream, with each event once.
func expectedStream(id string) string { return managed.ExpectedStream(id, streamEvents) }
