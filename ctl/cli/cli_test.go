package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/ctl"
)

// run runs walnutctl and returns its output and exit code.
func run(input string, args ...string) (stdout, stderr string, exit ctl.Exit) {
	var out, errs bytes.Buffer
	exit = Main(args, Streams{In: strings.NewReader(input), Out: &out, Err: &errs})
	return out.String(), errs.String(), exit
}

// TestCommands runs the scripts in testdata, each with its own fleet. The
// directives are: ctl (the arguments on one line, and standard input after a
// blank line), file path=NAME, behind node=N version=V, caught-up,
// lose-replies n=N, store down=true|false, drained.
func TestCommands(t *testing.T) {
	t.Setenv("WALNUT_AUTHOR", "ada")
	t.Setenv("WALNUT_OPERATOR_KEY", "")
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFleet(t)
		dir := t.TempDir()
		t.Setenv("WALNUT_ROUTERS", f.serve(t))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return f.runDirective(t, d, dir)
		})
	})
}

func (f *testFleet) runDirective(t *testing.T, d *datadriven.TestData, dir string) string {
	if d.Cmd == "ctl" {
		return runCtl(d, dir)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch d.Cmd {
	case "file":
		var name string
		d.ScanArgs(t, "path", &name)
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
	case "behind":
		var node string
		var version uint64
		d.ScanArgs(t, "node", &node)
		d.ScanArgs(t, "version", &version)
		f.behind[node] = config.Version(version)
	case "caught-up":
		clear(f.behind)
	case "lose-replies":
		d.ScanArgs(t, "n", &f.lostReplies)
	case "store":
		d.ScanArgs(t, "down", &f.storeDown)
	case "drained":
		return strings.Join(f.drained, "\n")
	default:
		d.Fatalf(t, "unknown directive %q", d.Cmd)
	}
	return ""
}

func runCtl(d *datadriven.TestData, dir string) string {
	line, input, _ := strings.Cut(d.Input, "\n\n")
	args := strings.Fields(strings.ReplaceAll(line, "$DIR", dir))
	stdout, stderr, exit := run(input, args...)
	text := fmt.Sprintf("%s%sexit %d", stdout, stderr, exit)
	return strings.ReplaceAll(text, dir, "$DIR")
}

// TestRacingOperators has several operators patch the same versions while the first
// answers are lost after the patch was accepted. After a conflict an operator
// patches the newest version. Every patch must be accepted exactly once.
func TestRacingOperators(t *testing.T) {
	const operators, patches = 4, 5
	f := newFleet(t)
	f.lostReplies = 6
	router := "--router=" + f.serve(t)
	var pending sync.WaitGroup
	for o := range operators {
		pending.Go(func() {
			for p := range patches {
				name := fmt.Sprintf("w%d-%d", o, p)
				if err := patchUntilAccepted(router, name); err != nil {
					t.Error(err)
				}
			}
		})
	}
	pending.Wait()
	newest, err := f.store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if newest.Version != operators*patches || len(newest.Declarations.Workspaces) != operators*patches {
		t.Errorf("version %d with %d workspaces, want %d of each", newest.Version, len(newest.Declarations.Workspaces), operators*patches)
	}
	if f.lostReplies != 0 {
		t.Errorf("%d replies were not lost", f.lostReplies)
	}
}

// patchUntilAccepted declares a workspace. After each conflict it reads the newest version
// and sends the patch against that.
func patchUntilAccepted(router, workspace string) error {
	changes := fmt.Sprintf(`{"workspaces":{%q:{"share":1}}}`, workspace)
	for base := config.Version(0); ; {
		stdout, stderr, exit := run(changes, "patch", router, fmt.Sprintf("--base=%d", base), "-")
		if exit == ctl.ExitOK {
			return nil
		}
		if exit != ctl.ExitConflict {
			return fmt.Errorf("exit %d: %s%s", exit, stdout, stderr)
		}
		stdout, stderr, exit = run("", "get", router)
		if exit != ctl.ExitOK {
			return fmt.Errorf("get: exit %d: %s", exit, stderr)
		}
		if _, err := fmt.Sscanf(stdout, "# version %d,", &base); err != nil {
			return err
		}
	}
}
