// Package soak runs the programs as real processes against the stand-in of a managed
// platform, brings random faults about in overlapping series, and checks what callers
// and replicas see. A seed decides the faults:
//
//	go test ./soak -soak.seeds 1-50 -soak.length 20s -soak.routers 6
//
// There are no clocks and disks to disturb: a router waits by the monotonic clock
// alone and keeps nothing on a disk.
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
	seedsFlag    = flag.String("soak.seeds", "1", "seeds of the runs: numbers and ranges with commas, such as 3,10-19")
	lengthFlag   = flag.Duration("soak.length", 10*time.Second, "how long faults come in each run")
	routersFlag  = flag.Int("soak.routers", 4, "routers of each run")
	parallelFlag = flag.Int("soak.parallel", 2, "runs side by side")
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

// parseSeeds reads "3,10-19".
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
