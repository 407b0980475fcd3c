package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/pprof/profile"

	"github.com/walnutcove/walnutcove/operator"
)

// modulePath is the prefix of the function names of the router's own packages.
const modulePath = "github.com/walnutcove/walnutcove/"

// The stages outside the router's own packages.
const (
	stageHTTP    = "HTTP library"
	stageRuntime = "runtime"
	stageOther   = "other"
)

// processorProfile is an encoded profile of a router's processor time.
type processorProfile struct{ encoded []byte }

// takeProfile takes a processor profile of a router over the next duration.
func takeProfile(ctx context.Context, operators string, duration time.Duration) (processorProfile, error) {
	url := fmt.Sprintf("http://%s%s?seconds=%.0f", operators, operator.PathProfile, duration.Seconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return processorProfile{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return processorProfile{}, err
	}
	defer response.Body.Close()
	encoded, err := io.ReadAll(response.Body)
	return processorProfile{encoded}, err
}

// save writes the profile to a file for "go tool pprof".
func (p processorProfile) save(dir, name string) error {
	file := strings.Map(func(r rune) rune {
		if r == ' ' || r == ',' {
			return '-'
		}
		return r
	}, name)
	return os.WriteFile(filepath.Join(dir, file+".pprof"), p.encoded, 0o600)
}

// writeStages writes the processor time that a request spent in each stage, the largest
// first. A sample counts for the innermost of the router's packages in its stack. The
// part that was taken during system calls is also written separately.
func (p processorProfile) writeStages(out io.Writer, spent time.Duration, requests int64) error {
	parsed, err := profile.Parse(bytes.NewReader(p.encoded))
	if err != nil {
		return err
	}
	stages := map[string]*stage{}
	total := int64(0)
	for _, sample := range parsed.Sample {
		amount := sample.Value[len(sample.Value)-1]
		name, inSystemCall := stageOf(sample)
		s := stages[name]
		if s == nil {
			s = &stage{name: name}
			stages[name] = s
		}
		s.total += amount
		if inSystemCall {
			s.inSystemCalls += amount
		}
		total += amount
	}
	microsPerUnit := float64(spent.Microseconds()) / float64(requests) / float64(max(total, 1))
	for _, s := range sortedStages(stages) {
		fmt.Fprintf(out, "  %7.1f us, %6.1f of them in system calls  %s\n", float64(s.total)*microsPerUnit, float64(s.inSystemCalls)*microsPerUnit, s.name)
	}
	return nil
}

// stage is the processor time of one part of the router, in the unit of the profile.
type stage struct {
	name                 string
	total, inSystemCalls int64
}

func sortedStages(stages map[string]*stage) []*stage {
	var list []*stage
	for _, s := range stages {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stage) int { return int(b.total - a.total) })
	return list
}

// stageOf returns the name of a sample's stage, and reports whether the sample was taken
// during a system call.
func stageOf(sample *profile.Sample) (name string, inSystemCall bool) {
	name = stageOther
	runtimeOnly := true
	for _, location := range sample.Location {
		for _, line := range location.Line {
			function := line.Function.Name
			if strings.Contains(function, "yscall") {
				inSystemCall = true
			}
			if path, found := strings.CutPrefix(function, modulePath); found {
				pkg, _, _ := strings.Cut(path, ".")
				return pkg, inSystemCall
			}
			if strings.Contains(function, "valyala/fasthttp") {
				name = stageHTTP
			}
			runtimeOnly = runtimeOnly && strings.HasPrefix(function, "runtime.")
		}
	}
	if runtimeOnly {
		name = stageRuntime
	}
	return name, inSystemCall
}
