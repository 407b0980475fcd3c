package store_test

import (
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/standin/countconn"
	"github.com/walnutcove/walnutcove/store"
)

// listPeriodSeconds is the default of the setting platform.vm_list_every, in seconds.
const listPeriodSeconds = 2

// BenchmarkUnchangedList reads an unchanging list from a platform with and without
// entity tags.
func BenchmarkUnchangedList(b *testing.B) {
	for _, vms := range []int{9, 340} {
		for _, tags := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/tags=%v", vms, tags), func(b *testing.B) { benchmarkListVMs(b, vms, tags) })
		}
	}
}

func benchmarkListVMs(b *testing.B, vms int, tags bool) {
	list, err := json.Marshal(store.VMsReply{VMs: makeVMs(vms)})
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { serveVMList(ctx, list, tags) }}
	go func() { _ = server.Serve(countconn.Listener{Listener: listener, Bytes: &bytes}) }()
	defer func() { _ = server.Shutdown() }()
	client := store.NewClient(store.Options{Address: listener.Addr().String(), Metrics: metrics.NewSet()})
	defer client.Close()
	if _, err := client.ListVMs(background); err != nil {
		b.Fatal(err)
	}
	before := bytes.Load()
	b.ResetTimer()
	for range b.N {
		if got, err := client.ListVMs(background); err != nil || len(got) != vms {
			b.Fatalf("%d VMs, %v", len(got), err)
		}
	}
	read := float64(bytes.Load()-before) / float64(b.N)
	b.ReportMetric(read, "bytes/read")
	b.ReportMetric(read/listPeriodSeconds, "bytes/s-at-2s")
}

func serveVMList(ctx *fasthttp.RequestCtx, list []byte, tags bool) {
	const tag = `"0123456789abcdef"`
	if !tags {
		ctx.SetBody(list)
		return
	}
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.NotModified()
	} else {
		ctx.SetBody(list)
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
}
