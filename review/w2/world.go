// Command review-2 plays the script cases of this review: it starts routers as separate
// processes with the command of the deploy file, and stands in for the platform's store,
// the replicas and the clients in this process.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// Names on the wire of the small deployment.
const (
	host    = "cove.example"
	key     = "key-of-tenant-a"
	tenant  = "tenant-a"
	engine  = "walnut-gen"
	service = "site-ops"

	pathStream = "/blurb/"   // streaming, may not be resumed
	pathResume = "/rewrite/" // streaming, may be resumed
	pathUnsafe = "/deploy/"  // non_idempotent
	pathSafe   = "/purge/"   // idempotent
)

// zones are the zones of the deployment.
var zones = []string{"ikeja", "lekki", "yaba"}

// world is a small deployment: a store, replicas and routers.
type world struct {
	dir     string
	store   *managed.Store
	started time.Time
	version uint64

	mu      sync.Mutex
	record  *os.File
	routers []*router
	reps    map[string]*replica
	runs    []run
}

// run is one run of a request at a replica.
type run struct {
	id, replica string
	at          time.Time
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "walnut-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: managed.StartStore(), started: time.Now(), record: record, reps: make(map[string]*replica)}
	w.putConfig(nil)
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
	}
	for _, r := range w.reps {
		r.stop()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// logf writes a line to the record, with the time since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// putConfig writes a new version of the configuration, changed by change.
func (w *world) putConfig(change func(*wire.Config)) {
	w.version += 3
	route := func(name, prefix, kind, svc string, timeout float64, attempts int, resumable bool) wire.Route {
		return wire.Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Service: svc, Timeout: timeout,
			Objective: 400, EventPause: 400, Attempts: attempts, Priority: 1, Resumable: resumable}
	}
	c := wire.Config{
		Version: w.version,
		Routes: []wire.Route{
			route("r-stream", pathStream, wire.Stream, engine, 12_000, 1, false),
			route("r-resume", pathResume, wire.Stream, engine, 12_000, 2, true),
			route("r-unsafe", pathUnsafe, wire.NonIdempotent, service, 1000, 1, false),
			route("r-safe", pathSafe, wire.Idempotent, service, 1000, 2, false),
		},
		Services: []wire.Service{{Name: engine, Engine: &wire.Engine{Slots: 64, MemoryTokens: 774_753, EventTokens: 6}}, {Name: service}},
		Limits:   wire.Limits{IdleTimeout: 15_000, TokensPerSecond: 1_000_000},
		Tenants:  []wire.Tenant{{Name: tenant, Keys: []string{key}}},
	}
	if change != nil {
		change(&c)
	}
	w.store.Put(wire.TableOperator, wire.KeyConfig, c)
}

// replica is a stand-in for a replica.
type replica struct {
	w       *world
	id      string
	svc     string
	address string
	slots   int
	born    int64
	version string
	server  *http.Server
	// serve answers a request that runs.
	serve func(rw http.ResponseWriter, req *http.Request, id string)
}

// startReplica starts a replica and registers it.
func (w *world) startReplica(id, svc string, slots int, serve func(http.ResponseWriter, *http.Request, string)) (*replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{w: w, id: id, svc: svc, address: listener.Addr().String(), slots: slots, born: time.Now().UnixMilli(), version: "v1", serve: serve}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }() // ends with stop
	w.mu.Lock()
	w.reps[id] = r
	w.mu.Unlock()
	r.register(wire.StateReady)
	return r, nil
}

func (r *replica) register(state string) {
	r.w.store.Put(wire.TableReplicas, r.id, wire.Replica{Service: r.svc, Address: r.address, Zone: zones[0], Software: r.version,
		Slots: r.slots, State: state, Heartbeats: 1, StartedAt: r.born})
}

// stop ends the replica: open connections are closed.
func (r *replica) stop() { _ = r.server.Close() }

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/report":
		fmt.Fprintf(rw, `{"phase":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"queued":0,"active":0,"kv_in_use":0,"kv_capacity_total":774753,"sessions":0,"born":%d}`, r.born)
		return
	case "/healthz":
		rw.Header().Set("X-Replica-Id", r.id)
		return
	case wire.PathCacheList:
		fmt.Fprintf(rw, `{"epoch":1,"next":0,"held":[],"born":%d}`, r.born)
		return
	case wire.PathCacheChanges:
		millis, _ := strconv.Atoi(req.Header.Get(wire.HeaderWait))
		select {
		case <-time.After(time.Duration(min(millis, 1000)) * time.Millisecond):
		case <-req.Context().Done():
		}
		fmt.Fprintf(rw, `{"epoch":1,"next":0,"lost":false,"events":[],"born":%d}`, r.born)
		return
	}
	id := req.Header.Get(wire.HeaderRequestID)
	rw.Header().Set(wire.HeaderRequestID, id)
	if want := req.Header.Get(wire.HeaderTarget); want != "" && want != r.id {
		r.w.logf("replica %s: %s was meant for %s, answered 421", r.id, id, want)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		rw.Header().Set(wire.HeaderNotRun, "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.w.mu.Lock()
	r.w.runs = append(r.w.runs, run{id: id, replica: r.id, at: time.Now()})
	r.w.mu.Unlock()
	r.w.logf("replica %s: runs %s", r.id, id)
	rw.Header().Set(wire.HeaderSeal, "seal-"+r.id+"-"+id)
	r.serve(rw, req, id)
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []run
	for _, r := range w.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// router is a walnutd process.
type router struct {
	w                     *world
	name                  string
	front, ready, ops     string
	config                string
	cmd                   *exec.Cmd
	exited                chan struct{}
	logPath               string
	storeAddress, peerAdr string
}

// routersIP is the loopback address of the routers. The system binds outgoing connections to
// 127.0.0.1, so that a port here stays free while its router is down.
const routersIP = "127.0.77.1"

// freeAddresses returns loopback addresses that nothing listens on now.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", routersIP+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startRouterAt starts a router by the template of the deploy file, which reaches the store at an address.
func (w *world) startRouterAt(name, zone, storeAddress string) (*router, error) {
	free, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	r := &router{w: w, name: name, front: free[0], ready: free[1], ops: free[2], peerAdr: free[3], storeAddress: storeAddress}
	r.config = filepath.Join(w.dir, name+".toml")
	r.logPath = filepath.Join(w.dir, name+".log")
	text, err := renderTemplate("deploy/walnutd.toml.template", map[string]string{
		"node_name": name, "zone": zone, "region": "lagos", "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100",
		"listen.frontend": r.front, "listen.ready": r.ready, "platform.address": storeAddress, "platform.reads_per_s": "2000",
		"platform.writes_per_s": "400", "heartbeat_ms": "1200", "bounds.grace_s": "8", "bounds.retry_budget_ratio": "0.2",
		"bounds.retry_slack": "52", "bounds.retry_window_s": "10",
	}, r.peerAdr, r.ops)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.routers = append(w.routers, r)
	w.mu.Unlock()
	return r, r.start()
}

func (r *router) start() error {
	out, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	r.cmd = exec.Command("target/walnutd", "run", "--config", r.config)
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WALNUTCOVE_CONFIG=" + r.config}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	if err := r.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.exited = exited
	cmd := r.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the router.
func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

func (r *router) kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGKILL)
	<-r.exited
}

// isReady asks the router as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a router did not get ready")

// awaitReady waits until all routers are ready.
func (w *world) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, r := range w.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", errNotReady, r.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// renderTemplate fills in the template of the settings as the platform does, as far as it is used.
func renderTemplate(path string, fields map[string]string, peers, operators string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text := string(raw)
	text = strings.Replace(text, `"{{ip}}:{{internal_ports.1}}"`, strconv.Quote(operators), 1)
	text = strings.Replace(text, `"{{ip}}:{{internal_ports.0}}"`, strconv.Quote(peers), 1)
	zoneSection := regexp.MustCompile(`(?s)\{\{#zones\}\}.*?\{\{/zones\}\}`)
	listed := ""
	for _, zone := range zones {
		listed += strconv.Quote(zone) + ` = "lagos"` + "\n"
	}
	text = zoneSection.ReplaceAllString(text, listed)
	section := regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/([a-z_.]+)\}\}\n?`)
	text = section.ReplaceAllStringFunc(text, func(found string) string {
		parts := section.FindStringSubmatch(found)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	value := regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
	text = value.ReplaceAllStringFunc(text, func(found string) string {
		parts := value.FindStringSubmatch(found)
		if parts[2] != "" {
			encoded, _ := json.Marshal(fields[parts[1]])
			return string(encoded)
		}
		return fields[parts[1]]
	})
	return text, nil
}

// answer is what a client got for a request.
type answer struct {
	status int
	seal   string
	body   []byte
	events int
	// complete reports that the answer was whole by its framing.
	complete bool
	closes   bool
	err      error
	sentAt   time.Time
	endedAt  time.Time
}

// client is a client's connection to a router.
type client struct {
	w      *world
	conn   net.Conn
	reader *bufio.Reader
}

func (w *world) dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{w: w, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// requestBytes returns a request as a client sends it.
func requestBytes(method, path, id string, deadlineMS int, headers map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n", method, path, host,
		wire.HeaderRequestID, id, wire.HeaderDeadline, deadlineMS, wire.HeaderKey, key)
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// send sends a request and reads its answer.
func (c *client) send(method, path, id string, deadlineMS int, headers map[string]string, body []byte) answer {
	a := answer{sentAt: time.Now()}
	defer func() { a.endedAt = time.Now() }()
	c.w.logf("client: sends %s (%s %s)", id, method, path)
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(deadlineMS)*time.Millisecond + time.Second))
	if _, err := c.conn.Write(requestBytes(method, path, id, deadlineMS, headers, body)); err != nil {
		a.err = err
		c.w.logf("client: %s could not be sent: %v", id, err)
		return a
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.w.logf("client: %s got no answer: %v", id, err)
		return a
	}
	a.status, a.seal, a.closes = response.StatusCode, response.Header.Get(wire.HeaderSeal), response.Close
	a.body, a.err = io.ReadAll(response.Body)
	a.events = bytes.Count(a.body, []byte("\n\n"))
	a.complete = a.err == nil
	a.endedAt = time.Now()
	c.w.logf("client: %s got %d, seal %q, %d bytes, %d events, complete %t, error %v (%.3f s)", id, a.status, a.seal, len(a.body), a.events, a.complete, a.err, a.endedAt.Sub(a.sentAt).Seconds())
	return a
}

// once sends a request on a connection of its own.
func (w *world) once(address, method, path, id string, deadlineMS int, headers map[string]string, body []byte) answer {
	c, err := w.dial(address)
	if err != nil {
		return answer{err: err, sentAt: time.Now(), endedAt: time.Now()}
	}
	defer c.close()
	return c.send(method, path, id, deadlineMS, headers, body)
}

// plain answers with a short body after a pause.
func (w *world) plain(pause time.Duration) func(http.ResponseWriter, *http.Request, string) {
	return func(rw http.ResponseWriter, _ *http.Request, id string) {
		time.Sleep(pause)
		_, _ = io.WriteString(rw, "answer to "+id)
	}
}
