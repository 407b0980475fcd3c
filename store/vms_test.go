package store_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
)

func makeVMs(n int) []store.VM {
	var vms []store.VM
	for i := range n {
		vms = append(vms, store.VM{
			Name:        fmt.Sprintf("ikeja-%03d", i),
			DataCentre:  "ikeja",
			PeerAddress: fmt.Sprintf("10.1.%d.%d:7000", i/200, i%200+1),
			State:       store.VMLive,
		})
	}
	return vms
}

// setVMs replaces the stand-in's list.
func (f *fixture) setVMs(t *testing.T, vms []store.VM) {
	t.Helper()
	list, err := json.Marshal(store.VMsReply{VMs: vms})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.Post("http://"+f.address+"/_vms", "application/json", bytes.NewReader(list))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		t.Fatalf("setting the list: %s", answer.Status)
	}
	http.DefaultClient.CloseIdleConnections()
}

func wantVMs(t *testing.T, client *store.Client, want []store.VM) {
	t.Helper()
	got, err := client.ListVMs(background)
	if err != nil || !slices.Equal(got, want) {
		t.Fatalf("got %d VMs, want %d (%v)", len(got), len(want), err)
	}
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	f := newFixture(t, store.Options{})
	vms := makeVMs(3)
	f.setVMs(t, vms)
	wantVMs(t, f.Client, vms)
	received := func() uint64 { return f.counter(`walnut_platform_received_bytes_total{op="vms"}`) }
	once := received()
	first, err := f.ListVMs(background)
	if err != nil {
		t.Fatal(err)
	}
	first[0].Name = "changed by its reader"
	wantVMs(t, f.Client, vms)
	if got := received(); got != once {
		t.Fatalf("an unchanged list took %d bytes more", got-once)
	}
	vms = append(vms[1:], store.VM{Name: "new", State: store.VMLeaving})
	f.setVMs(t, vms)
	wantVMs(t, f.Client, vms)
	wantVMs(t, f.Client, vms)
}

// TestListTagCoversPeerAddresses checks that the entity tag of a view's list
// changes with the view's peer addresses.
func TestListTagCoversPeerAddresses(t *testing.T) {
	f := newFixture(t, store.Options{})
	vms := makeVMs(2)
	f.setVMs(t, vms)
	view, err := f.server.StartView("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer view.Close()
	client := store.NewClient(store.Options{Address: view.Address(), Metrics: metrics.NewSet()})
	defer client.Close()
	wantVMs(t, client, vms)
	wantVMs(t, client, vms)
	view.SetPeerAddresses(map[string]string{vms[0].Name: "127.0.0.1:1"})
	vms[0].PeerAddress = "127.0.0.1:1"
	wantVMs(t, client, vms)
	wantVMs(t, client, vms)
}

// TestListWithoutTags checks that the list is read again each time if the platform
// gives no entity tags.
func TestListWithoutTags(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		calls++
		if len(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) > 0 {
			t.Error("a tag was sent that the platform never gave")
		}
		fmt.Fprintf(ctx, `{"vms":[{"name":"vm-%d"}]}`, calls)
	}}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	client := store.NewClient(store.Options{Address: listener.Addr().String(), Metrics: metrics.NewSet()})
	defer client.Close()
	wantVMs(t, client, []store.VM{{Name: "vm-1"}})
	wantVMs(t, client, []store.VM{{Name: "vm-2"}})
}
