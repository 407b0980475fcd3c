package proctest

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/processes"
)

// buildLimit bounds the build of the programs.
const buildLimit = 5 * time.Minute

// binaries are the programs under test.
var binaries processes.Binaries

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "walnutcove-proctest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	if binaries, err = processes.Build(ctx, "..", dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
