// Package processes runs walnutcove's programs as real processes on loopback,
// for process tests and benchmarks: build them, start them, wait for what they
// print, and kill, freeze and thaw them.
package processes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTimeout bounds the wait for a line that a process prints.
const startTimeout = 60 * time.Second

// Binaries are the built programs.
type Binaries struct {
	Walnutd   string
	Walnutctl string
	Walnutdev string
}

// Build builds the programs of the module in moduleDir into dir.
func Build(ctx context.Context, moduleDir, dir string) (Binaries, error) {
	build := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	build.Dir = moduleDir
	if out, err := build.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return Binaries{
		Walnutd:   filepath.Join(dir, "walnutd"),
		Walnutctl: filepath.Join(dir, "walnutctl"),
		Walnutdev: filepath.Join(dir, "walnutdev"),
	}, nil
}

// buildLimit bounds the build of the programs.
const buildLimit = 5 * time.Minute

// WithBuilt builds the programs of the module in moduleDir, calls run with them, and
// removes them. It returns the exit code of run, or 1 if they cannot be built.
func WithBuilt(moduleDir string, run func(Binaries) int) int {
	dir, err := os.MkdirTemp("", "walnutcove-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	built, err := Build(ctx, moduleDir, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return run(built)
}

// Process is one running process. Its output is kept for failure reports.
type Process struct {
	// Name is for reports.
	Name string

	cmd    *exec.Cmd
	exited chan struct{}
	err    error

	mu    sync.Mutex
	lines []string
	more  chan struct{} // closed and replaced at each line
}

// keptLines bounds the output kept of a process.
const keptLines = 5000

// Start starts a program.
func Start(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, exited: make(chan struct{}), more: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	read, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout = write
	p.cmd.Stderr = write
	if err := p.cmd.Start(); err != nil {
		_ = read.Close()
		_ = write.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	_ = write.Close()
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		p.collect(read)
	}()
	go func() {
		<-readDone
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *Process) collect(out io.ReadCloser) {
	defer out.Close()
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		if len(p.lines) >= keptLines {
			p.lines = p.lines[keptLines/2:]
		}
		p.lines = append(p.lines, scanner.Text())
		close(p.more)
		p.more = make(chan struct{})
		p.mu.Unlock()
	}
}

// WaitLine waits until the process prints a line that contains text, and
// returns the line. Lines printed before count.
func (p *Process) WaitLine(text string) (string, error) {
	limit := time.NewTimer(startTimeout)
	defer limit.Stop()
	for {
		line, more := p.find(text)
		if line != "" {
			return line, nil
		}
		select {
		case <-more:
		case <-p.exited:
			if line, _ := p.find(text); line != "" {
				return line, nil
			}
			return "", fmt.Errorf("%s ended before it printed %q:\n%s", p.Name, text, p.Output())
		case <-limit.C:
			return "", fmt.Errorf("%s did not print %q:\n%s", p.Name, text, p.Output())
		}
	}
}

func (p *Process) find(text string) (string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		if strings.Contains(line, text) {
			return line, nil
		}
	}
	return "", p.more
}

// Output returns what the process printed.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. A process that has ended is no error.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Freeze stops the process where it stands, and Thaw lets it go on.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw is described with Freeze.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks the process to end gracefully.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Wait waits for the end and returns the exit code; -1 for a signal.
func (p *Process) Wait(limit time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, fmt.Errorf("%s did not end within %s", p.Name, limit)
	}
}

// Usage returns the processor time and the largest resident memory in bytes
// of a process that has ended.
func (p *Process) Usage() (time.Duration, int64) {
	state := p.cmd.ProcessState
	usage, ok := state.SysUsage().(*syscall.Rusage)
	if !ok {
		return 0, 0
	}
	return state.UserTime() + state.SystemTime(), usage.Maxrss * 1024
}
