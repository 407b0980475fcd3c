package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/datadriven"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// startServer runs a stand-in and a client until the test ends.
func startServer(t *testing.T, options Options) (*Server, *store.Client, string) {
	t.Helper()
	server := New(options)
	addr, err := server.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := store.NewClient(store.Options{Address: addr, Metrics: metrics.NewSet(), WritesPerSecond: 1e6})
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		client.Close()
	})
	return server, client, addr
}

// TestTable runs one script against the in-memory table, and against the table over
// HTTP, to check that both behave alike.
func TestTable(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		runTableScript(t, memory.New(memory.Options{}))
	})
	t.Run("http", func(t *testing.T) {
		_, client, _ := startServer(t, Options{})
		runTableScript(t, client)
	})
}

func runTableScript(t *testing.T, table store.RevisionTable) {
	ctx := context.Background()
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		var name, key string
		d.MaybeScanArgs(t, "table", &name)
		d.MaybeScanArgs(t, "key", &key)
		switch d.Cmd {
		case "commit":
			revision, err := table.CommitRevision(ctx, parseOps(t, d.Input))
			return outcome(fmt.Sprintf("revision %d", revision), err)
		case "get":
			row, err := table.Get(ctx, name, key)
			return outcome(rowText(row), err)
		case "scan":
			limit := 0
			d.ScanArgs(t, "limit", &limit)
			rows, err := table.Scan(ctx, name, key, limit)
			var lines []string
			for _, row := range rows {
				lines = append(lines, rowText(row))
			}
			return outcome(strings.Join(lines, "\n"), err)
		default:
			d.Fatalf(t, "unknown command")
			return ""
		}
	})
}

// parseOps parses one operation per line: kind table key revision value.
func parseOps(t *testing.T, input string) []store.Op {
	t.Helper()
	var ops []store.Op
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		var op store.Op
		var value string
		if _, err := fmt.Sscanf(line, "%s %s %s %d %s", &op.Kind, &op.Table, &op.Key, &op.Revision, &value); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		op.Value = []byte(value)
		ops = append(ops, op)
	}
	return ops
}

func rowText(row store.Row) string {
	return fmt.Sprintf("%s/%s=%s at %d", row.Table, row.Key, row.Value, row.Revision)
}

func outcome(text string, err error) string {
	for _, kind := range []error{store.ErrNotFound, store.ErrConflict, store.ErrInvalid} {
		if errors.Is(err, kind) {
			return kind.Error()
		}
	}
	if err != nil {
		return err.Error()
	}
	return text
}

// TestHeldCalls checks what happens to calls that an outage holds: after a hang they
// are never applied, after a freeze they are applied late.
func TestHeldCalls(t *testing.T) {
	for outage, want := range map[Outage]int{OutageHang: 0, OutageFreeze: 1} {
		t.Run(string(outage), func(t *testing.T) {
			server, client, _ := startServer(t, Options{Faults: Faults{Outage: outage}})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				done <- client.Commit(ctx, []store.Op{{Kind: store.OpInsert, Table: "t", Key: "k"}})
			}()
			eventually(t, func() bool { return server.HeldCalls() == 1 })
			cancel()
			if err := <-done; !errors.Is(err, store.ErrUnknown) {
				t.Fatalf("got %v", err)
			}
			if err := server.SetFaults(Faults{}); err != nil {
				t.Fatal(err)
			}
			client.Close() // waits for the call's answer or its end
			if got := len(server.Journal(0, 10).Entries); got != want {
				t.Errorf("%d writes applied, want %d", got, want)
			}
		})
	}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition was not met in time")
		}
	}
}

// request sends a control call, decodes its answer and returns the status.
func request(t *testing.T, method, url, body string, answer any) int {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	encoded, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encoded, answer); err != nil {
		t.Fatalf("%s: %v", encoded, err)
	}
	return response.StatusCode
}

func TestFaultControl(t *testing.T) {
	_, client, addr := startServer(t, Options{})
	url := "http://" + addr + pathFault
	var got Faults
	request(t, "POST", url, `{"lose_replies":1,"lose_table_prefix":"ru"}`, &got)
	request(t, "POST", url, `{"vm_lag_ms":5}`, &got)
	if want := (Faults{LoseReplies: 1, LoseTablePrefix: "ru", VMLagMillis: 5}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	for _, bad := range []string{`{"outage":"often"}`, `{"delay_ms":-1}`, `{"no_such":1}`, `{} {}`, `[]`} {
		var reply store.ErrorReply
		if status := request(t, "POST", url, bad, &reply); status != 400 || reply.Code != store.CodeInvalid {
			t.Errorf("%s: status %d, %+v", bad, status, reply)
		}
	}
	ops := []store.Op{
		{Kind: store.OpInsert, Table: "other", Key: "a"},
		{Kind: store.OpInsert, Table: "runs", Key: "b", Value: []byte("12")},
	}
	if err := client.Commit(context.Background(), ops); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("got %v", err)
	}
	var page JournalPage
	request(t, "GET", "http://"+addr+pathJournal+"?after=1&limit=5", "", &page)
	if len(page.Entries) != 1 || page.Entries[0].Seq != 2 || page.Entries[0].Key != "b" ||
		page.Entries[0].Bytes != 2 || !page.Entries[0].ReplyLost {
		t.Fatalf("journal %+v", page)
	}
	request(t, "DELETE", url, "", &got)
	if got != (Faults{}) {
		t.Fatalf("faults left: %+v", got)
	}
}

func TestVMListLag(t *testing.T) {
	_, client, addr := startServer(t, Options{VMs: []store.VM{{Name: "old"}}, Faults: Faults{VMLagMillis: 1}})
	names := func() string {
		vms, err := client.ListVMs(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for _, vm := range vms {
			names = append(names, vm.Name)
		}
		return strings.Join(names, ",")
	}
	eventually(t, func() bool { return names() == "old" })
	var faults Faults
	request(t, "POST", "http://"+addr+pathFault, `{"vm_lag_ms":3600000}`, &faults)
	var reply store.VMsReply
	request(t, "POST", "http://"+addr+pathVMs, `{"vms":[{"name":"new","state":"leaving"}]}`, &reply)
	if got := names(); got != "" {
		t.Fatalf("the list of an hour ago is %q, want none", got)
	}
	request(t, "POST", "http://"+addr+pathFault, `{"vm_lag_ms":0}`, &faults)
	if got := names(); got != "new" {
		t.Fatalf("got %q, want new", got)
	}
}

func TestJournalDropsOldestEntries(t *testing.T) {
	server := New(Options{MinJournalEntries: 2})
	for i := range 5 {
		ops := []store.Op{{Kind: store.OpInsert, Table: "t", Key: fmt.Sprint(i)}}
		if err := server.Store().Commit(context.Background(), ops); err != nil {
			t.Fatal(err)
		}
	}
	page := server.Journal(0, 10)
	if page.Dropped != 2 || len(page.Entries) != 3 || page.Entries[0].Seq != 3 || page.Entries[0].Key != "2" {
		t.Fatalf("got %+v", page)
	}
}
