package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
	"github.com/walnutcove/walnutcove/offload/link/linkpb"
	"github.com/walnutcove/walnutcove/peer"
	"github.com/walnutcove/walnutcove/peer/testkeys"
	"github.com/walnutcove/walnutcove/peer/tlsfiles"
)

// The benchmarks of the source run the executor in a process of its own, so that getrusage and
// /proc/self/io show the source's part alone. Example:
//
//	go test -run xx -bench Source -benchtime 2000x -cpu 1 ./offload/link
const (
	executorEnv    = "LINK_BENCH_EXECUTOR" // the executor's gather time
	keysEnv        = "LINK_BENCH_KEYS"     // directory of the keys for TLS; empty: no TLS
	benchRequest   = 1500                  // bytes
	benchEvent     = 120                   // bytes
	benchEvents    = 30
	benchStep      = 7 * time.Millisecond // time between events
	benchFlush     = 100 * time.Millisecond
	benchAllowance = 1 << 20
	benchOpen      = 4096
)

func TestMain(m *testing.M) {
	if gather := os.Getenv(executorEnv); gather != "" {
		if err := runExecutor(gather); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m)
}

// runExecutor serves links until its standard input is closed: a listener for bare TCP and a mesh
// that offers a channel.
func runExecutor(gather string) error {
	interval, err := time.ParseDuration(gather)
	if err != nil {
		return err
	}
	serve := func(conn net.Conn) {
		e := NewExecutor("source", conn, serveBench, Options{Log: discardLog(), GatherTime: interval})
		e.SetAllowance(benchAllowance, benchOpen)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn)
		}
	}()
	options, err := meshOptions("executor", os.Getenv(keysEnv))
	if err != nil {
		return err
	}
	options.Channels = map[string]peer.ServeChannel{
		ChannelName: func(_ control.NodeID, _ control.Incarnation, _ string, conn net.Conn) { serve(conn) },
	}
	mesh, err := peer.New(options, noMessages{})
	if err != nil {
		return err
	}
	defer mesh.Close()
	fmt.Println(listener.Addr(), mesh.Address())
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// serveBench serves the response that the request asks for.
func serveBench(_ context.Context, _ control.NodeID, request offload.Request, conn net.Conn) error {
	event := []byte(strings.Repeat("e", benchEvent))
	shape, _, _ := strings.Cut(string(request.Raw[:16]), " ")
	switch shape {
	case "short":
		_, err := conn.Write(event)
		return err
	case "apart":
		for range benchEvents {
			if _, err := conn.Write(event); err != nil {
				return err
			}
			time.Sleep(benchStep)
		}
		return nil
	case "batched":
		// The first event at once, then what comes within benchFlush.
		parts := []int{1, int(benchFlush / benchStep)}
		for _, events := range append(parts, benchEvents-parts[0]-parts[1]) {
			if _, err := conn.Write([]byte(strings.Repeat(string(event), events))); err != nil {
				return err
			}
			time.Sleep(benchFlush)
		}
		return nil
	}
	return errors.New("unknown shape")
}

type noMessages struct{}

func (noMessages) Received(control.NodeID, control.Incarnation, []control.Message) {}
func (noMessages) StateChanged(control.NodeID, bool)                               {}
func (noMessages) HandleCall(context.Context, control.NodeID, string, []byte) ([]byte, error) {
	return nil, errors.New("no calls")
}

func meshOptions(name control.NodeID, keys string) (options peer.Options, err error) {
	options = peer.Options{
		Node: name, Incarnation: 1, ListenAddress: "127.0.0.1:0", Logger: discardLog(), Metrics: metrics.NewSet(),
	}
	if keys != "" {
		files := testkeys.FilesOf(keys, string(name))
		options.TLS, err = tlsfiles.Load(files.CertFile, files.KeyFile, files.CAFile)
	}
	return options, err
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// startExecutor starts the executor's process and returns a connection to it.
func startExecutor(b testing.TB, transport string, gather time.Duration) (net.Conn, *os.Process) {
	b.Helper()
	keys := ""
	if transport == "tls" {
		keys = b.TempDir()
		if err := testkeys.Make(keys, 0, "source", "executor"); err != nil {
			b.Fatal(err)
		}
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), executorEnv+"="+gather.String(), keysEnv+"="+keys)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		input.Close()
		_ = command.Wait()
	})
	var tcp, channel string
	if _, err := fmt.Fscan(bufio.NewReader(output), &tcp, &channel); err != nil {
		b.Fatal(err)
	}
	if transport == "tcp" {
		conn, err := net.Dial("tcp", tcp)
		if err != nil {
			b.Fatal(err)
		}
		return conn, command.Process
	}
	options, err := meshOptions("source", keys)
	if err != nil {
		b.Fatal(err)
	}
	mesh, err := peer.New(options, noMessages{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { mesh.Close() })
	mesh.SetPeers(map[control.NodeID]string{"executor": channel})
	conn, err := mesh.OpenChannel(context.Background(), "executor", ChannelName)
	if err != nil {
		b.Fatal(err)
	}
	return conn, command.Process
}

// counter is an Answer that reports bytes as taken at once.
type counter struct {
	sent atomic.Pointer[offload.Sent]
	left *atomic.Int64
	lost *atomic.Int64
}

func (c *counter) Write(p []byte) {
	if sent := c.sent.Load(); sent != nil {
		(*sent).Taken(len(p))
	}
}

func (c *counter) End(outcome offload.Outcome, _ offload.Loss) {
	if outcome != offload.Complete {
		c.lost.Add(1)
	}
	c.left.Add(-1)
}

// usage is what the process has used.
type usage struct {
	processor     time.Duration
	reads, writes int
}

func currentUsage(b *testing.B) usage {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Fatal(err)
	}
	u := usage{processor: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	var ignored int
	if _, err := fmt.Sscanf(string(text), "rchar: %d\nwchar: %d\nsyscr: %d\nsyscw: %d", &ignored, &ignored, &u.reads, &u.writes); err != nil {
		b.Fatal(err)
	}
	return u
}

// pace calls send count times at a rate, some of them together every millisecond.
func pace(count, perSecond int, send func()) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	started := time.Now()
	for done := 0; done < count; {
		<-ticker.C
		due := min(count, int(time.Since(started).Seconds()*float64(perSecond)))
		for ; done < due; done++ {
			send()
		}
	}
}

// BenchmarkSource measures the source's part of requests at a steady rate. "none" is the pacing of
// the benchmark alone, which is in the other figures too; "tls" is yamux over TLS.
func BenchmarkSource(b *testing.B) {
	for _, perSecond := range []int{500, 1500} {
		b.Run(fmt.Sprintf("%d-none", perSecond), func(b *testing.B) {
			before := currentUsage(b)
			pace(b.N, perSecond, func() {})
			report(b, before)
		})
		for _, transport := range []string{"yamux", "tls", "tcp"} {
			for _, gather := range []time.Duration{1, time.Millisecond, 5 * time.Millisecond} {
				for _, shape := range []string{"batched", "apart", "short"} {
					b.Run(fmt.Sprintf("%d-%s-%s-%s", perSecond, transport, gather, shape), func(b *testing.B) {
						conn, _ := startExecutor(b, transport, gather)
						benchSource(b, conn, gather, shape, perSecond)
					})
				}
			}
		}
	}
}

func benchSource(b *testing.B, conn net.Conn, gather time.Duration, shape string, perSecond int) {
	source := NewSource(conn, Options{Log: discardLog(), GatherTime: gather})
	defer func() {
		source.Close()
		<-source.Done()
	}()
	eventually(b, "allowance", func() bool { return source.Allowance() > 0 })
	raw := []byte(shape + " " + strings.Repeat("r", benchRequest))
	var left, lost atomic.Int64
	left.Store(int64(b.N))
	before := currentUsage(b)
	pace(b.N, perSecond, func() {
		answer := &counter{left: &left, lost: &lost}
		sent := source.Send(offload.Request{ID: "request", Raw: raw}, answer)
		if sent == nil {
			answer.End(offload.Declined, offload.Loss{})
			return
		}
		answer.sent.Store(&sent)
	})
	for left.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	report(b, before)
	b.ReportMetric(float64(lost.Load()), "lost")
}

func report(b *testing.B, before usage) {
	after := currentUsage(b)
	count := float64(b.N)
	b.ReportMetric((after.processor-before.processor).Seconds()*1e6/count, "cpu-µs/request")
	b.ReportMetric(float64(after.reads-before.reads)/count, "reads/request")
	b.ReportMetric(float64(after.writes-before.writes)/count, "writes/request")
}

// BenchmarkFrames compares the encoding by hand with the generated code: one Answer with an event
// is encoded and decoded.
func BenchmarkFrames(b *testing.B) {
	event := []byte(strings.Repeat("e", benchEvent))
	b.Run("by-hand", func(b *testing.B) {
		b.ReportAllocs()
		var buffer []byte
		for b.Loop() {
			buffer = appendAnswer(buffer[:0], 77, event, linkpb.End_END_NONE)
			message, _, _, _ := nextFrame(buffer)
			if f, err := decodeFrame(message); err != nil || f.number != 77 {
				b.Fatal(err)
			}
		}
	})
	b.Run("generated", func(b *testing.B) {
		b.ReportAllocs()
		var buffer []byte
		for b.Loop() {
			f := &linkpb.Frame{Kind: &linkpb.Frame_Answer{Answer: &linkpb.Answer{Number: 77, Bytes: event}}}
			buffer, _ = proto.MarshalOptions{}.MarshalAppend(buffer[:0], f)
			decoded := &linkpb.Frame{}
			if err := proto.Unmarshal(buffer, decoded); err != nil || decoded.GetAnswer().GetNumber() != 77 {
				b.Fatal(err)
			}
		}
	})
}
