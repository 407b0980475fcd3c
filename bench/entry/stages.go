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

// module begins the names of the functions of the router's own packages.
const module = "github.com/walnutcove/walnutcove/"

// Stages that are no package of the router's own.
const (
	stageHTTP    = "HTTP library"
	stageRuntime = "runtime"
	stageOther   = "other"
)

// processorProfile is where a router spent its processor time.
type processorProfile struct{ encoded []byte }

// profileFor takes a router's profile of the next time.
func profileFor(ctx context.Context, operators string, length time.Duration) (processorProfile, error) {
	url := fmt.Sprintf("http://%s%s?seconds=%.0f", operators, operator.PathProfile, length.Seconds())
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

// save writes the profile for "go tool pprof".
func (p processorProfile) save(dir, name string) error {
	file := strings.Map(func(r rune) rune {
		if r == ' ' || r == ',' {
			return '-'
		}
		return r
	}, name)
	return os.WriteFile(filepath.Join(dir, file+".pprof"), p.encoded, 0o600)
}

// writeStages writes what each stage took of a request's processor time, the most first.
// A sample counts for the innermost of the router's packages in its stack, apart by
// whether a system call was under way.
func (p processorProfile) writeStages(out io.Writer, spent time.Duration, requests int64) error {
	parsed, err := profile.Parse(bytes.NewReader(p.encoded))
	if err != nil {
		return err
	}
	stages := map[string]*stage{}
	total := int64(0)
	for _, sample := range parsed.Sample {
		amount := sample.Value[len(sample.Value)-1]
		name, inCall := stageOf(sample)
		s := stages[name]
		if s == nil {
			s = &stage{name: name}
			stages[name] = s
		}
		s.all += amount
		if inCall {
			s.calls += amount
		}
		total += amount
	}
	each := float64(spent.Microseconds()) / float64(requests) / float64(max(total, 1))
	for _, s := range sorted(stages) {
		fmt.Fprintf(out, "  %7.1f us, %6.1f of them in system calls  %s\n", float64(s.all)*each, float64(s.calls)*each, s.name)
	}
	return nil
}

// stage is the time of one part of the router, in the profile's unit.
type stage struct {
	name       string
	all, calls int64
}

func sorted(stages map[string]*stage) []*stage {
	var list []*stage
	for _, s := range stages {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stage) int { return int(b.all - a.all) })
	return list
}

// stageOf names the stage of a sample, and says whether it is of a system call.
func stageOf(sample *profile.Sample) (name string, inCall bool) {
	name = stageOther
	runtimeOnly := true
	for _, location := range sample.Location {
		for _, line := range location.Line {
			function := line.Function.Name
			if strings.Contains(function, "yscall") {
				inCall = true
			}
			if own, found := strings.CutPrefix(function, module); found {
				pkg, _, _ := strings.Cut(own, ".")
				return pkg, inCall
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
	return name, inCall
}
