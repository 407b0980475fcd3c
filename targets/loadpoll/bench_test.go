package loadpoll

import (
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/standin/countconn"
	"github.com/walnutcove/walnutcove/targets"
)

const (
	benchTargets = 11
	benchTime    = 20 * time.Second
)

// BenchmarkTargets polls 11 steadily loaded targets for 20 s: with the earlier defaults (every
// 250 ms, always with the prefixes) and with the current ones. Run it with -benchtime=1x.
func BenchmarkTargets(b *testing.B) {
	for _, prefixes := range []int{0, 64, 512} {
		for name, options := range map[string]Options{
			"before": {Every: DefaultEvery, SlowEvery: DefaultEvery, PrefixesEvery: 1},
			"after":  {},
		} {
			b.Run(fmt.Sprintf("prefixes=%d/%s", prefixes, name), func(b *testing.B) {
				for range b.N {
					pollFor(b, prefixes, options)
				}
			})
		}
	}
}

func pollFor(b *testing.B, prefixes int, options Options) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes, polls atomic.Int64
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { serveReport(ctx, prefixes) }}
	go func() { _ = server.Serve(countconn.Listener{Listener: listener, Bytes: &bytes}) }()
	defer func() { _ = server.Shutdown() }()
	client := targets.NewHTTPClient(targets.Options{})
	defer client.Close()
	options.Client = client
	options.OnResult = func(string, targets.Load, error) { polls.Add(1) }
	addresses := make(map[string]string)
	for n := range benchTargets {
		addresses[fmt.Sprint(n)] = listener.Addr().String()
	}
	poller := New(options)
	cpuTime := cpuTimeUsed(b)
	poller.SetTargets(addresses)
	time.Sleep(benchTime)
	cpuTime = cpuTimeUsed(b) - cpuTime
	poller.Close()
	b.ReportMetric(float64(bytes.Load())/benchTime.Seconds(), "bytes/s")
	b.ReportMetric(float64(polls.Load())/benchTime.Seconds(), "polls/s")
	b.ReportMetric(100*cpuTime.Seconds()/benchTime.Seconds(), "%core-with-server")
}

// serveReport answers as a target with a steady load does.
func serveReport(ctx *fasthttp.RequestCtx, prefixes int) {
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"running":14,"queued":1,"slots":16,"leaving":false`)
	if prefixes > 0 && ctx.QueryArgs().GetBool("prefixes") {
		fmt.Fprintf(ctx, `,"cached_prefixes":[%d`, uint64(1<<63))
		for n := range prefixes - 1 {
			fmt.Fprintf(ctx, ",%d", uint64(1<<63)+uint64(n))
		}
		fmt.Fprint(ctx, "]")
	}
	fmt.Fprint(ctx, "}")
}

func cpuTimeUsed(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
