package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/peer/testkeys"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/settings"
)

// eventTimeout bounds the wait for an event that must happen.
const eventTimeout = 30 * time.Second

// output collects the program's output. It is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns what was written so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// waitFor waits until the output contains the text.
func (o *output) waitFor(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !strings.Contains(o.String(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %q in:\n%s", text, o)
		}
	}
}

// listen listens on a free port, so that nothing else can.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// writeSettings writes a settings file with the added lines and returns its path. Its
// listeners pick free ports unless the lines set them, and nothing listens at the platform's
// address.
func writeSettings(t *testing.T, lines string) string {
	t.Helper()
	text := `
node = { name = "vm-1", data_centre = "ikeja" }
platform = { address = "127.0.0.1:1" }
` + lines
	if !strings.Contains(lines, "listen = ") {
		text = `listen = { callers = "127.0.0.1:0", operators = "127.0.0.1:0", peers = "127.0.0.1:0" }` + text
	}
	path := filepath.Join(t.TempDir(), "walnutd.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// peerFiles returns the settings line with the given TLS files.
func peerFiles(cert, key, ca string) string {
	return fmt.Sprintf("peers = { cert_file = %q, key_file = %q, ca_file = %q }\n", cert, key, ca)
}

func TestBadSettingsStartNothing(t *testing.T) {
	keys := t.TempDir()
	if err := testkeys.Make(keys, 0, "vm-1", "vm-2"); err != nil {
		t.Fatal(err)
	}
	mine, other := testkeys.FilesOf(keys, "vm-1"), testkeys.FilesOf(keys, "vm-2")
	for _, c := range []struct{ name, lines, problem string }{
		{"unknown key", "log = { colour = true }", "log.colour: unknown key"},
		{"wrong type", "limits = { read_timeout = 10 }", "limits.read_timeout: must be a string with a unit"},
		{"host name", `listen = { callers = "localhost:80", operators = "127.0.0.1:81", peers = "127.0.0.1:82" }`, `listen.callers: is "localhost:80"; must be "ip:port"`},
		{"out of range", "limits = { max_body_bytes = 1 }", "limits.max_body_bytes: is 1; must be from 1024"},
		{"one port twice", `listen = { callers = "127.0.0.1:80", operators = "127.0.0.1:80", peers = "127.0.0.1:82" }`, "listen.operators: is 127.0.0.1:80, the same as listen.callers"},
		{"no TLS off loopback", `listen = { callers = "10.0.0.1:80", operators = "127.0.0.1:81", peers = "127.0.0.1:82" }`, "listen.callers: is 10.0.0.1:80, which is not on loopback"},
		{"syntax", "[node", "expected ']'"},
		{"key file missing", peerFiles(mine.CertFile, keys+"/none.pem", mine.CAFile), "peers: load certificate: open " + keys + "/none.pem: no such file"},
		{"key of another certificate", peerFiles(mine.CertFile, other.KeyFile, mine.CAFile), "peers: load certificate: tls: private key does not match public key"},
		{"certificate of another node", peerFiles(other.CertFile, other.KeyFile, other.CAFile), `peers: peer: certificate of node "vm-1"`},
		{"CA without a certificate", peerFiles(mine.CertFile, mine.KeyFile, mine.KeyFile), "peers: load CA " + mine.KeyFile + ": no certificate"},
		{"some key files only", fmt.Sprintf("peers = { cert_file = %q }", mine.CertFile), "peers.ca_file: is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeSettings(t, c.lines)
			for _, command := range []string{"check", "run"} {
				var out, errOut output
				if code := Main([]string{command, "-c", path}, &out, &errOut); code != ExitUsage {
					t.Errorf("%s: exit code %d", command, code)
				}
				if got := errOut.String(); !strings.HasPrefix(got, path) || !strings.Contains(got, c.problem) || out.String() != "" {
					t.Errorf("%s: got %q %q, want %s and %q", command, got, &out, path, c.problem)
				}
			}
		})
	}
}

func TestCheckOfGoodSettings(t *testing.T) {
	var out, errOut output
	path := writeSettings(t, "")
	if code := Main([]string{"check", "-c", path}, &out, &errOut); code != ExitOK || out.String() != path+": The settings are valid.\n" || errOut.String() != "" {
		t.Errorf("exit code %d, %q, %q", code, &out, &errOut)
	}
}

func TestCommandLineErrors(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.toml")
	for _, c := range []struct {
		args    []string
		problem string
	}{
		{nil, "missing flags: --config=FILE"},
		{[]string{"run"}, "missing flags: --config=FILE"},
		{[]string{"serve"}, "unexpected argument serve"},
		{[]string{"-c", "x", "--force"}, "unknown flag --force"},
		{[]string{"-c", missing}, missing + ": no such file"},
		{[]string{"check", "-c", missing}, missing + ": no such file"},
	} {
		var out, errOut output
		if code := Main(c.args, &out, &errOut); code != ExitUsage || !strings.Contains(errOut.String(), c.problem) {
			t.Errorf("%q: exit code %d, %q", c.args, code, &errOut)
		}
	}
}

func TestPortInUse(t *testing.T) {
	taken := listen(t).Addr().String()
	for n, key := range []string{"callers", "operators", "peers"} {
		addresses := []string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}
		addresses[n] = taken
		path := writeSettings(t, fmt.Sprintf("listen = { callers = %q, operators = %q, peers = %q }", addresses[0], addresses[1], addresses[2]))
		var out, errOut output
		code := Main([]string{"-c", path}, &out, &errOut)
		got := errOut.String()
		if code != ExitFailed || !strings.HasPrefix(got, path+": listen."+key+": ") || !strings.Contains(got, "address already in use") {
			t.Errorf("%s: exit code %d, %q", key, code, got)
		}
		if strings.Contains(out.String(), "router: Started.") {
			t.Errorf("%s: the router was started", key)
		}
	}
}

// TestSecondSignalEndsAtOnce checks that a second signal aborts a drain that waits for an
// incomplete request.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	listener := listen(t)
	callers := listener.Addr().String()
	listener.Close()
	path := writeSettings(t, fmt.Sprintf(`listen = { callers = %q, operators = "127.0.0.1:0", peers = "127.0.0.1:0" }
limits = { read_timeout = "1h" }
log = { format = "json" }`, callers))
	var out output
	exited := make(chan int, 1)
	go func() { exited <- Main([]string{"run", "-c", path}, &out, io.Discard) }()
	out.waitFor(t, "router: Started.")
	conn, err := net.Dial("tcp4", callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	// Connections are accepted in order: once a later one is answered, the router
	// has accepted this one, and a drain waits for it.
	later, err := http.Get("http://" + callers + "/x")
	if err != nil {
		t.Fatal(err)
	}
	later.Body.Close()
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		out.waitFor(t, "router: Draining.")
	}
	select {
	case code := <-exited:
		if code != ExitFailed || !strings.Contains(out.String(), "daemon: Drain was cut short.") {
			t.Errorf("exit code %d:\n%s", code, &out)
		}
	case <-time.After(eventTimeout):
		t.Fatalf("did not end:\n%s", &out)
	}
	for line := range strings.Lines(out.String()) {
		if !json.Valid([]byte(line)) {
			t.Errorf("not JSON: %s", line)
		}
	}
}

func TestSignalDrains(t *testing.T) {
	var out output
	exited := make(chan int, 1)
	path := writeSettings(t, "")
	go func() { exited <- Main([]string{"-c", path}, &out, io.Discard) }()
	out.waitFor(t, "router: Started.")
	if err := syscall.Kill(os.Getpid(), syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	select {
	case code := <-exited:
		if code != ExitOK {
			t.Errorf("exit code %d:\n%s", code, &out)
		}
	case <-time.After(eventTimeout):
		t.Fatalf("did not end:\n%s", &out)
	}
}

// blockedRouter is a router whose shutdown does not end before release is closed.
type blockedRouter struct{ release chan struct{} }

// Shutdown implements shutdowner.
func (r blockedRouter) Shutdown(ctx context.Context) error {
	select {
	case <-r.release:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestSignalAfterOperatorsDrain(t *testing.T) {
	for _, c := range []struct{ signals, code int }{{1, ExitOK}, {2, ExitFailed}} {
		signals := make(chan os.Signal) // unbuffered: once a signal is sent, drain has received it
		r := blockedRouter{make(chan struct{})}
		exited := make(chan int, 1)
		go func() { exited <- drain(r, time.Hour, signals, 2, slog.New(slog.DiscardHandler)) }()
		for range c.signals {
			signals <- syscall.SIGTERM
		}
		if c.code == ExitOK {
			close(r.release)
		}
		if code := <-exited; code != c.code {
			t.Errorf("%d signals: exit code %d", c.signals, code)
		}
	}
}

// TestDrainLeavesTimeForRefusals guards against a drain that goes on until the platform kills the process:
// the requests that are left then end without a refusal.
func TestDrainLeavesTimeForRefusals(t *testing.T) {
	const limit = 2 * time.Second
	start := time.Now()
	code := drain(blockedRouter{make(chan struct{})}, limit, nil, 1, slog.New(slog.DiscardHandler))
	if took := time.Since(start); code != ExitFailed || took > limit-closeTime(limit)/2 {
		t.Errorf("exit code %d after %s", code, took)
	}
	if closeTime(limit) <= 0 || closeTime(8*time.Second) != maxCloseTime {
		t.Errorf("%s for %s", closeTime(limit), limit)
	}
}

func TestLogSettings(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(settings.Log{Level: "warn", Format: "json"}, &out)
	log.Info("router: Not written.")
	log.Warn("router: Written.", "request", "r-1")
	var line struct{ Level, Msg, Request string }
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line.Level != "WARN" || line.Msg != "router: Written." || line.Request != "r-1" {
		t.Errorf("%q: %+v, %v", &out, line, err)
	}
	out.Reset()
	NewLogger(settings.Log{Level: "debug", Format: "text"}, &out).Debug("router: Written.")
	if !strings.Contains(out.String(), `level=DEBUG msg="router: Written."`) {
		t.Errorf("got %q", &out)
	}
}

// TestHangUpDuringStart sends SIGHUP before the router's start has returned. The
// reload must wait for the router; the signal's default action would end the process.
func TestHangUpDuringStart(t *testing.T) {
	// Caught here too, so that a failure fails this test and does not end the process.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	defer signal.Stop(caught)
	path := writeSettings(t, "")
	loaded, err := load(path)
	if err != nil {
		t.Fatal(err)
	}
	var out output
	log := slog.New(slog.NewTextHandler(&out, nil))
	start := func() (*router.Router, error) {
		r, err := router.Start(loaded, log)
		if killErr := syscall.Kill(os.Getpid(), syscall.SIGHUP); killErr != nil {
			t.Error(killErr)
		}
		<-caught
		return r, err
	}
	exited := make(chan int, 1)
	go func() { exited <- serve(path, eventTimeout, start, io.Discard, log) }()
	out.waitFor(t, "daemon: Settings reloaded.")
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := <-exited; code != ExitOK {
		t.Errorf("exit code %d:\n%s", code, &out)
	}
}

// TestHangUpReloads changes the settings file of a running router. A change that the
// router can apply is applied, one that needs a restart is logged, and a file that is not
// valid changes nothing. The router keeps running.
func TestHangUpReloads(t *testing.T) {
	path := writeSettings(t, "")
	var out output
	exited := make(chan int, 1)
	go func() { exited <- Main([]string{"-c", path}, &out, io.Discard) }()
	out.waitFor(t, "router: Started.")
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ added, want string }{
		{"\nretries = { ratio = 0.5 }\nlimits = { read_timeout = \"9s\" }\n", `taken=[retries] need_restart=[limits]`},
		{"\nretries = { ratio = -1.0 }\n", "daemon: Settings cannot be read"},
	} {
		if err := os.WriteFile(path, append(slices.Clone(original), step.added...), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		out.waitFor(t, step.want)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case code := <-exited:
		if code != ExitOK {
			t.Errorf("exit code %d:\n%s", code, &out)
		}
	case <-time.After(eventTimeout):
		t.Fatalf("did not end:\n%s", &out)
	}
}
