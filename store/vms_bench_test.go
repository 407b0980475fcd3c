package store_test

import (
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
)

// listPeriod is the default of the setting platform.vm_list_every, in seconds.
const listPeriod = 2

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkUnchangedList reads a list that does not change from a platform with
// and without entity tags.
func BenchmarkUnchangedList(b *testing.B) {
	for _, vms := range []int{9, 340} {
		for _, tags := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/tags=%v", vms, tags), func(b *testing.B) { readList(b, vms, tags) })
		}
	}
}

func readList(b *testing.B, vms int, tags bool) {
	list, err := json.Marshal(store.VMsReply{VMs: fleetOf(vms)})
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { serveList(ctx, list, tags) }}
	go func() { _ = server.Serve(countingListener{listener, &bytes}) }()
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
	b.ReportMetric(read/listPeriod, "bytes/s-at-2s")
}

func serveList(ctx *fasthttp.RequestCtx, list []byte, tags bool) {
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
