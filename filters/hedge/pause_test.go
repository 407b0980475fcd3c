package hedge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/targets"
)

// pausedEnv holds the address of the target in the process that is paused.
const pausedEnv = "HEDGE_TEST_TARGET"

const (
	// pausedStreams is the number of streams of the paused process.
	pausedStreams = 50
	// pausedLimit is its limit on a target's silence, and pausedFor for how long it stands still.
	pausedLimit = 300 * time.Millisecond
	pausedFor   = 1500 * time.Millisecond
)

// TestPausedProcessAsksForNoTarget guards against a process that takes its own pause for the silence of
// all of its targets, although their bytes have arrived meanwhile.
func TestPausedProcessAsksForNoTarget(t *testing.T) {
	if address := os.Getenv(pausedEnv); address != "" {
		watchStreams(t, address)
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for {
					if _, err := conn.Write([]byte("data: x\n\n")); err != nil {
						return
					}
					time.Sleep(pausedLimit / 10)
				}
			}()
		}
	}()
	paused := exec.Command(os.Args[0], "-test.run=^TestPausedProcessAsksForNoTarget$", "-test.v")
	paused.Env = append(os.Environ(), pausedEnv+"="+listener.Addr().String())
	out, err := paused.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := paused.Start(); err != nil {
		t.Fatal(err)
	}
	defer paused.Process.Kill()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "ready":
			time.Sleep(2 * pausedLimit)
			_ = paused.Process.Signal(syscall.SIGSTOP)
			time.Sleep(pausedFor)
			_ = paused.Process.Signal(syscall.SIGCONT)
		case strings.HasPrefix(line, "silent "):
			if line != "silent 0, asked 0" {
				t.Errorf("%s, of %d streams whose targets sent all the time", line, pausedStreams)
			}
		}
	}
	_ = paused.Wait()
}

// watchStreams watches streams for the time of a pause and twice its limit, and prints how many silences
// were reported and how many other targets were asked for.
func watchStreams(t *testing.T, address string) {
	var asked atomic.Int32
	run := &countedRun{}
	var streams sync.WaitGroup
	end := time.Now().Add(4*pausedLimit + pausedFor)
	for range pausedStreams {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		ex := &pipeline.Exchange{Run: run, Target: "engine-1", Route: &config.NamedRoute{}, Deadline: end.Add(time.Hour)}
		watch := New(context.Background(), ex, Options{
			Limit: func() time.Duration { return pausedLimit },
			Log:   slog.New(slog.DiscardHandler),
			Open: func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
				asked.Add(1)
				return refusing(ctx, attempt)
			},
		})
		streams.Go(func() {
			defer conn.Close()
			defer watch.Stop()
			buffer := make([]byte, 1<<10)
			for time.Now().Before(end) {
				watch.Begin(func() {})
				_, err := conn.Read(buffer)
				watch.End(err != nil && err != io.EOF)
			}
		})
	}
	fmt.Println("ready")
	streams.Wait()
	fmt.Printf("silent %d, asked %d\n", run.silences.Load(), asked.Load())
}
