// Package processes runs walnutcove's programs as separate processes on loopback, for
// process tests and benchmarks. It builds and starts them, waits for lines that they
// print, and kills, freezes (SIGSTOP) and thaws (SIGCONT) them. Its proxies inject
// network faults between them.
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

// lineTimeout bounds the wait for a line that a process must print.
const lineTimeout = 60 * time.Second

// Binaries are the paths of the built programs.
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

// buildTimeout bounds the build of the programs.
const buildTimeout = 5 * time.Minute

// WithBuilt builds the programs of the module in moduleDir, calls run with them and
// deletes them afterwards. It returns run's exit code, or 1 if the build fails.
func WithBuilt(moduleDir string, run func(Binaries) int) int {
	dir, err := os.MkdirTemp("", "walnutcove-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	built, err := Build(ctx, moduleDir, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return run(built)
}

// Process is a process that was started. The end of its output is kept for failure reports.
type Process struct {
	// Name identifies the process in reports.
	Name string

	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
	err    error         // the result of cmd.Wait; set before exited is closed

	mu        sync.Mutex
	lines     []string
	lineAdded chan struct{} // closed and replaced when a line is added
}

// maxKeptLines bounds the lines of output that are kept of a process.
const maxKeptLines = 5000

// Start starts a program and collects its standard output and standard error.
func Start(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, exited: make(chan struct{}), lineAdded: make(chan struct{})}
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
		p.collectOutput(read)
	}()
	go func() {
		<-readDone
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// collectOutput reads the output line by line until its end.
func (p *Process) collectOutput(out io.ReadCloser) {
	defer out.Close()
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		if len(p.lines) >= maxKeptLines {
			p.lines = p.lines[maxKeptLines/2:]
		}
		p.lines = append(p.lines, scanner.Text())
		close(p.lineAdded)
		p.lineAdded = make(chan struct{})
		p.mu.Unlock()
	}
}

// WaitLine waits until the process has printed a line that contains text, and returns
// the line. Lines printed before the call count too.
func (p *Process) WaitLine(text string) (string, error) {
	limit := time.NewTimer(lineTimeout)
	defer limit.Stop()
	for {
		line, more := p.findLine(text)
		if line != "" {
			return line, nil
		}
		select {
		case <-more:
		case <-p.exited:
			if line, _ := p.findLine(text); line != "" {
				return line, nil
			}
			return "", fmt.Errorf("%s exited before it printed %q:\n%s", p.Name, text, p.Output())
		case <-limit.C:
			return "", fmt.Errorf("%s did not print %q:\n%s", p.Name, text, p.Output())
		}
	}
}

// findLine returns the first kept line that contains text. If there is none, it
// returns a channel that is closed when the next line is added.
func (p *Process) findLine(text string) (string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		if strings.Contains(line, text) {
			return line, nil
		}
	}
	return "", p.lineAdded
}

// Output returns the output of the process, up to the last maxKeptLines lines.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It returns no error if the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Freeze suspends the process until Thaw.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw resumes a process suspended by Freeze.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Wait waits until the process has ended and returns its exit code, or -1 if a signal
// ended it.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s did not exit within %s", p.Name, timeout)
	}
}

// Usage returns the processor time and the peak resident memory, in bytes, of a process
// that has ended.
func (p *Process) Usage() (time.Duration, int64) {
	state := p.cmd.ProcessState
	usage, ok := state.SysUsage().(*syscall.Rusage)
	if !ok {
		return 0, 0
	}
	return state.UserTime() + state.SystemTime(), usage.Maxrss * 1024
}
