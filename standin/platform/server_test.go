package platform

import (
	"context"
	"errors"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/platform"
)

// startServer runs a stand-in and a client for the length of the test.
func startServer(t *testing.T) (*Server, *platform.Client) {
	t.Helper()
	server := New(Options{})
	addr, err := server.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewClient(platform.Options{Address: addr, Metrics: metrics.NewSet()})
	t.Cleanup(func() {
		client.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return server, client
}

func TestTableOverHTTP(t *testing.T) {
	server, client := startServer(t)
	ctx := context.Background()
	insert := []platform.Op{
		{Kind: platform.OpInsert, Table: "runs", Key: "b&=/ é", Value: []byte{0, 255}},
		{Kind: platform.OpInsert, Table: "runs", Key: "a", Value: []byte("1")},
	}
	revision, err := client.CommitRevision(ctx, insert)
	if err != nil {
		t.Fatal(err)
	}
	row, err := client.Get(ctx, "runs", "b&=/ é")
	if err != nil || row.Revision != revision || string(row.Value) != "\x00\xff" {
		t.Fatalf("got %+v, %v; want revision %d", row, err, revision)
	}
	if err := client.Commit(ctx, insert); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("second insert: got %v, want ErrConflict", err)
	}
	if _, err := client.Get(ctx, "runs", "none"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("got %v, want ErrNotFound", err)
	}
	rows, err := client.Scan(ctx, "runs", "a", 10)
	if err != nil || len(rows) != 2 || rows[0].Key != "a" {
		t.Fatalf("scan: got %+v, %v", rows, err)
	}
	rows, err = client.Scan(ctx, "runs", "a\x00", 10)
	if err != nil || len(rows) != 1 {
		t.Fatalf("scan after a: got %+v, %v", rows, err)
	}
	server.Store().SetVMs([]platform.VM{{Name: "vm-1", State: platform.VMLeaving}})
	vms, err := client.ListVMs(ctx)
	if err != nil || len(vms) != 1 || vms[0].State != platform.VMLeaving {
		t.Fatalf("VMs: got %+v, %v", vms, err)
	}
}
