// Package soak runs the programs as real processes against the stand-in of a managed
// platform, injects random faults that overlap in time, and checks what callers and
// replicas see. A seed determines the faults:
//
//	go test ./soak -soak.seeds 1-50 -soak.length 20s -soak.routers 6
//
// There are no faults of clocks and disks: a router uses only the monotonic clock for
// its waits and stores nothing on a disk.
package soak

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/processes"
)

var (
	seedsFlag    = flag.String("soak.seeds", "1", "seeds of the runs: numbers and ranges, separated by commas, such as 3,10-19")
	lengthFlag   = flag.Duration("soak.length", 10*time.Second, "how long each run injects faults")
	routersFlag  = flag.Int("soak.routers", 4, "number of routers in each run")
	parallelFlag = flag.Int("soak.parallel", 2, "number of runs at the same time")
)

// binaries are the programs under test.
var binaries processes.Binaries

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(processes.WithBuilt("..", func(built processes.Binaries) int {
		binaries = built
		return m.Run()
	}))
}

// parseSeeds parses a list of seeds and ranges of seeds such as "3,10-19".
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, err
		}
		to, err := strconv.ParseUint(last, 10, 64)
		if err != nil {
			return nil, err
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}
