package proctest

import (
	"os"
	"testing"

	"github.com/walnutcove/walnutcove/processes"
)

// binaries are the programs under test.
var binaries processes.Binaries

func TestMain(m *testing.M) {
	os.Exit(processes.WithBuilt("..", func(built processes.Binaries) int {
		binaries = built
		return m.Run()
	}))
}
