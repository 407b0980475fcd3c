// Package world holds what the review's cases have in common: a small deployment with real walnutd
// processes on loopback, the platform's store, replicas that a case scripts, and a record of what
// was sent, answered and run.
package world

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// Names and figures of the small deployment. The figures are those of the sheet of the Lagos site.
const (
	Host    = "ficu95.example"
	Key     = "asnmgkcuyj8pjbvk9m68"
	Tenant  = "hule930"
	Service = "site-ops"
	Engine  = "walnut-gen"
	Zone    = "ikeja"
	// HookPath and PurgePath lead to the plain service: by a route that is not idempotent, and by
	// one that is.
	HookPath  = "/puxa403/2f"
	PurgePath = "/cufi504/2f"
	// StreamPath leads to the engines, by a route whose streams may be resumed.
	StreamPath = "/lohu930/2f"
	// RouteTimeout is the timeout_ms of the routes to the plain service.
	RouteTimeout = time.Second

	startTimeout = 20 * time.Second
	stopTimeout  = 12 * time.Second
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// World is one deployment. Create it with New and end it with Close.
type World struct {
	Store   *managed.Store
	Routers []*Router
	Config  wire.Config

	dir     string
	started time.Time
	// onStore, if set, is called with the address at which a router reaches the store.
	onStore func(router, storeAddress string)

	mu     sync.Mutex
	record *os.File
	stops  []func()
}

// New starts the store and opens the record. Case is the folder of the case.
func New(caseDir string) (*World, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "walnutcove-review-")
	if err != nil {
		return nil, err
	}
	w := &World{Store: managed.StartStore(), dir: dir, started: time.Now(), record: record, Config: config()}
	w.PutConfig()
	return w, nil
}

// Main runs a case in the folder that the first argument names, and returns its exit code.
func Main(run func(w *World) (int, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return CannotRun
	}
	w, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		w.Close()
		os.Exit(CannotRun)
	}()
	code, err := run(w)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		w.Notef("cannot run: %v", err)
		for _, r := range w.Routers {
			w.Notef("log of %s:\n%s", r.Name, r.Log())
		}
		code = CannotRun
	}
	w.Close()
	return code
}

// HasTrouble reports whether the disruption is to be brought about.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// config returns the first configuration.
func config() wire.Config {
	route := func(name, prefix, kind, service string, attempts int) wire.Route {
		return wire.Route{
			Name: name, Host: Host, Prefix: prefix, Kind: kind, Service: service, Attempts: attempts,
			Timeout: float64(RouteTimeout.Milliseconds()), Objective: 100, Priority: 2,
		}
	}
	stream := route("r-stream", "/lohu930/", wire.Stream, Engine, 2)
	stream.Timeout, stream.Objective, stream.EventPause, stream.Resumable, stream.Priority = 12000, 600, 250, true, 1
	return wire.Config{
		Version: 7,
		Routes: []wire.Route{
			route("r-hook", "/puxa403/", wire.NonIdempotent, Service, 1),
			route("r-purge", "/cufi504/", wire.Idempotent, Service, 2),
			stream,
		},
		Services: []wire.Service{
			{Name: Service},
			{Name: Engine, Engine: &wire.Engine{Slots: 64, MemoryTokens: 774753, EventTokens: 6, TokenBytes: 327680, LinkMegabits: 1100000}},
		},
		Limits:  wire.Limits{TokensPerSecond: 360000, IdleTimeout: 15000},
		Tenants: []wire.Tenant{{Name: Tenant, Keys: []string{Key}}},
	}
}

// PutConfig writes the configuration as the operator does.
func (w *World) PutConfig() { w.Store.Put(wire.TableOperator, wire.KeyConfig, w.Config) }

// Notef writes a line to the record.
func (w *World) Notef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// OnClose adds a function that Close calls.
func (w *World) OnClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, f)
}

// Close ends all processes and stand-ins.
func (w *World) Close() {
	var stopping sync.WaitGroup
	for _, r := range w.Routers {
		stopping.Go(r.Stop)
	}
	stopping.Wait()
	w.mu.Lock()
	stops := w.stops
	w.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	w.Store.Close()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// Router is one walnutd process.
type Router struct {
	Name string
	// Address is where callers connect, Ready where the platform asks for readiness.
	Address, Ready string

	config  string
	log     string
	program string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

// Ports below those that the system gives to outgoing connections, one of which could take a free port
// before a router listens on it.
const firstPort, lastPort = 15000, 30000

// freeAddress returns a free address on loopback.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		var listener net.Listener
		if listener, err = net.Listen("tcp4", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// StartRouters starts the given number of routers and waits until each one is ready.
func (w *World) StartRouters(count int) error {
	for n := range count {
		if _, err := w.StartRouter(fmt.Sprintf("edge-ikeja-%d", n+1)); err != nil {
			return err
		}
	}
	for _, r := range w.Routers {
		if err := r.AwaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// StartRouter starts a router without waiting for it.
func (w *World) StartRouter(name string) (*Router, error) {
	store, err := w.Store.Listen()
	if err != nil {
		return nil, err
	}
	if w.onStore != nil {
		w.onStore(name, store)
	}
	var addresses [4]string
	for n := range addresses {
		if addresses[n], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	program, err := filepath.Abs("target/walnutd")
	if err != nil {
		return nil, err
	}
	r := &Router{
		Name: name, Address: addresses[0], Ready: addresses[1], program: program,
		config: filepath.Join(w.dir, name+".toml"), log: filepath.Join(w.dir, name+".log"),
	}
	text := settings(name, addresses, store)
	if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.Routers = append(w.Routers, r)
	return r, r.Start()
}

// settings returns what the deploy file's template gives with the figures of the Lagos site.
func settings(name string, addresses [4]string, store string) string {
	return fmt.Sprintf(`[node]
name = %q
data_centre = %q
region = "lagos"
cores = 0.4

[node.regions]
"ikeja" = "lagos"
"lekki" = "lagos"
"yaba" = "lagos"

[listen]
callers = %q
health = %q
operators = %q
peers = %q

[platform]
kind = "managed"
address = %q
reads_per_second = 2000
writes_per_second = 400
target_heartbeat = "1200ms"

[peers]
trust_network = true

[limits]
memory_mib = 284
max_descriptors = 4100
idle_timeout = "20s"
max_body_bytes = 4194304
max_held_bytes = 33554432
read_timeout = "5s"
drain_timeout = "8s"
drain_notice = "2500ms"

[scheduling]
heartbeat_every = "250ms"
member_timeout = "1s"
local_after = "100ms"

[retries]
ratio = 0.2
slack = 52
window = "10s"

[offload]
executors = "larger"

[log]
level = "info"
format = "text"
`, name, Zone, addresses[0], addresses[1], addresses[2], addresses[3], store)
}

// Start starts the process with the command of the deploy file.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.program, "run", "--config", r.config)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.cmd, r.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// AwaitReady waits until the router reports that it is ready.
func (r *Router) AwaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", r.Name)
}

// IsReady asks the router whether it is ready, as the platform does.
func (r *Router) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(s) // an error means that it has ended
}

// Kill ends the process at once.
func (r *Router) Kill() {
	r.Signal(syscall.SIGKILL)
	<-r.Exited()
}

// Exited returns a channel that is closed when the process has ended.
func (r *Router) Exited() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exited
}

// Stop ends the process with SIGTERM, and with SIGKILL if that takes too long.
func (r *Router) Stop() {
	r.Signal(syscall.SIGCONT)
	r.Signal(syscall.SIGTERM)
	select {
	case <-r.Exited():
	case <-time.After(stopTimeout):
		r.Kill()
	}
}

// Log returns what the process has written.
func (r *Router) Log() string {
	text, err := os.ReadFile(r.log)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
