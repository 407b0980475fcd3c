package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/standin/engine"
	standin "github.com/walnutcove/walnutcove/standin/platform"
	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/targets"
)

// callsMeasured is how many calls each value of this file is the mean of.
const callsMeasured = 100

// measureVMList measures one reading of the platform's list of VMs.
func measureVMList(nodes int, _ uint64) ([]Value, error) {
	var vms []store.VM
	for n := range nodes {
		vms = append(vms, store.VM{
			Name: string(nodeName(n)), DataCentre: dataCentreName(n % plannedDataCentres),
			PeerAddress: fmt.Sprintf("10.1.%d.%d:7000", n/200, n%200+1), State: store.VMLive,
		})
	}
	return withPlatform(vms, func(client *store.Client) error {
		_, err := client.ListVMs(context.Background())
		return err
	})
}

// measureConfigPoll measures one poll of the configuration store that finds nothing
// new, in a table with this many versions.
func measureConfigPoll(versions int, _ uint64) ([]Value, error) {
	var opened *configstore.Store
	return withPlatform(nil, func(client *store.Client) error {
		if opened == nil {
			opened = configstore.New(client, client.Objects(), configstore.Options{})
			if err := fillVersions(opened, versions); err != nil {
				return err
			}
		}
		_, err := opened.Since(context.Background(), versionOf(versions))
		return err
	})
}

// withPlatform makes a call many times to a stand-in for the platform. The first
// call is preparation and isn't counted in the mean. If vms is set, the bytes of the
// first call are returned as a separate value.
func withPlatform(vms []store.VM, call func(*store.Client) error) ([]Value, error) {
	server := standin.New(standin.Options{VMs: vms})
	address, err := server.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer server.Close()
	counter, err := newByteCounter(address)
	if err != nil {
		return nil, err
	}
	defer counter.close()
	client := store.NewClient(store.Options{
		Address: counter.address(), Metrics: metrics.NewSet(), WritesPerSecond: 1e6, WriteBurst: 1000,
	})
	defer client.Close()
	if err := call(client); err != nil {
		return nil, err
	}
	before := counter.bytes.Load()
	spent := processorTime()
	for range callsMeasured {
		if err := call(client); err != nil {
			return nil, err
		}
	}
	spent = processorTime() - spent
	values := []Value{
		{"bytes/call", float64(counter.bytes.Load()-before) / callsMeasured},
		{"us/call, with stand-in", float64(spent.Microseconds()) / callsMeasured},
	}
	if vms != nil {
		values = append(values, Value{"bytes, first call", float64(before)})
	}
	return values, nil
}

// measureLoadPoll measures one load poll of an engine with this many cached
// prefixes, without and with the prefixes in the answer.
func measureLoadPoll(prefixes int, _ uint64) ([]Value, error) {
	e := engine.New(engine.Options{PrefixEntries: max(1, prefixes), Step: time.Microsecond})
	address, err := e.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer e.Close()
	if err := fillPrefixes(address, prefixes); err != nil {
		return nil, err
	}
	counter, err := newByteCounter(address)
	if err != nil {
		return nil, err
	}
	defer counter.close()
	client := targets.NewHTTPClient(targets.Options{})
	defer client.Close()
	bytes, spent, err := measurePolls(counter, client.Load)
	if err != nil {
		return nil, err
	}
	withPrefixes, _, err := measurePolls(counter, client.LoadWithPrefixes)
	if err != nil {
		return nil, err
	}
	return []Value{
		{"bytes/poll", bytes},
		{"us/poll, with stand-in", spent},
		{"bytes/poll with prefixes", withPrefixes},
	}, nil
}

// measurePolls returns the mean bytes and microseconds of processor time of a poll.
func measurePolls(counter *byteCounter, load func(context.Context, string) (targets.Load, error)) (bytes, micros float64, err error) {
	before := counter.bytes.Load()
	spent := processorTime()
	for range callsMeasured {
		if _, err := load(context.Background(), counter.address()); err != nil {
			return 0, 0, err
		}
	}
	spent = processorTime() - spent
	bytes = float64(counter.bytes.Load()-before) / callsMeasured
	return bytes, float64(spent.Microseconds()) / callsMeasured, nil
}

// fillPrefixes sends an engine prompts with different prefixes, which it caches.
func fillPrefixes(address string, prefixes int) error {
	client := targets.NewHTTPClient(targets.Options{})
	defer client.Close()
	for n := range prefixes {
		body := fmt.Sprintf(`{"model":"m","max_tokens":1,"prompt":"%04d %0300d"}`, n, n)
		answer, err := client.Do(context.Background(), targets.Request{
			ID: fmt.Sprint(n), Address: address, Method: "POST", Path: "/v1/completions", Body: []byte(body),
			Header: map[string]string{"Content-Type": "application/json"},
		})
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	return nil
}

// byteCounter is a TCP proxy that counts the bytes of both directions.
type byteCounter struct {
	listener net.Listener
	upstream string
	bytes    atomic.Int64
}

func newByteCounter(upstream string) (*byteCounter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &byteCounter{listener: listener, upstream: upstream}
	go c.accept()
	return c, nil
}

func (c *byteCounter) address() string { return c.listener.Addr().String() }

func (c *byteCounter) close() { _ = c.listener.Close() }

func (c *byteCounter) accept() {
	for {
		from, err := c.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", c.upstream)
		if err != nil {
			_ = from.Close()
			continue
		}
		go c.relay(from, to)
		go c.relay(to, from)
	}
}

func (c *byteCounter) relay(from, to net.Conn) {
	defer to.Close()
	_, _ = io.Copy(io.MultiWriter(to, c), from)
}

// Write implements io.Writer. It counts the bytes and discards them.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}
