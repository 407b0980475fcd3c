package store_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	standin "github.com/walnutcove/walnutcove/standin/platform"
	"github.com/walnutcove/walnutcove/store"
)

// TestWriteOutcomes checks that a write is attempted once, that its error states
// correctly whether it was applied, and that the failure is counted by reason.
func TestWriteOutcomes(t *testing.T) {
	// shortTimeout is for the calls that are to time out. The others may take longer than that on a
	// machine that lets this process wait.
	const shortTimeout = 200 * time.Millisecond
	cases := []struct {
		name    string
		faults  standin.Faults
		kind    error
		reason  string
		applied int
	}{
		{"refused", standin.Faults{Outage: standin.OutageRefuse}, store.ErrUnavailable, "refused", 0},
		{"read only", standin.Faults{ReadOnly: true}, store.ErrUnavailable, "read_only", 0},
		{"limited", standin.Faults{WritesPerSecond: 1e-9, RowsPerSecond: 1e-9}, store.ErrUnavailable, "rate_limited", 1},
		{"dropped", standin.Faults{Outage: standin.OutageDrop}, store.ErrUnknown, "reply_lost", 0},
		{"hung", standin.Faults{Outage: standin.OutageHang}, store.ErrUnknown, "timeout", 0},
		{"slow", standin.Faults{ReplyDelayMillis: 60_000}, store.ErrUnknown, "timeout", 1},
		{"reply lost", standin.Faults{LoseReplies: standin.LoseAllReplies, LoseTablePrefix: "ru"}, store.ErrUnknown, "reply_lost", 1},
		{"other reply lost", standin.Faults{LoseReplies: 1, LoseTablePrefix: "other"}, nil, "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var options store.Options
			if c.reason == "timeout" {
				options.Timeout = shortTimeout
			}
			f := newFixture(t, options)
			f.setFaults(t, c.faults)
			if c.faults.WritesPerSecond > 0 {
				if err := f.Commit(background, insert("first")); err != nil {
					t.Fatal(err)
				}
			}
			err := f.Commit(background, insert("a"))
			if c.kind == nil {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			wantError(t, err, c.kind, c.reason)
			if got := len(f.appliedKeys()); got != c.applied {
				t.Errorf("%d writes applied, want %d", got, c.applied)
			}
			if got := f.counter(`walnut_platform_errors_total{op="commit",reason=%q}`, c.reason); got != 1 {
				t.Errorf("counted %d failures, want 1", got)
			}
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	f := newFixture(t, store.Options{})
	if err := f.server.Close(); err != nil {
		t.Fatal(err)
	}
	wantError(t, f.Commit(background, insert("a")), store.ErrUnavailable, "connect")
	_, err := f.Get(background, "runs", "a")
	wantError(t, err, store.ErrUnavailable, "connect")
	if got := f.counter(`walnut_platform_retries_total{op="get",reason="connect"}`); got != 2 {
		t.Errorf("a read was retried %d times, want 2", got)
	}
}

// TestReadsSurviveAPlatformRestart checks that reads succeed after a restart of
// the platform, which leaves the client with closed connections.
func TestReadsSurviveAPlatformRestart(t *testing.T) {
	f := newFixture(t, store.Options{})
	if err := f.Commit(background, insert("a")); err != nil {
		t.Fatal(err)
	}
	if err := f.server.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := f.server.Start(f.address); err != nil {
		t.Fatal(err)
	}
	if row, err := f.Get(background, "runs", "a"); err != nil || string(row.Value) != "v" {
		t.Fatalf("got %+v, %v", row, err)
	}
}

func TestWriteBudget(t *testing.T) {
	f := newFixture(t, store.Options{WritesPerSecond: 1e-6, WriteBurst: 2})
	for _, key := range []string{"a", "b"} {
		if err := f.Commit(background, insert(key)); err != nil {
			t.Fatal(err)
		}
	}
	wantError(t, f.Commit(background, insert("c")), store.ErrUnavailable, "budget")
	wantError(t, f.Objects().Put(background, "c", nil), store.ErrUnavailable, "budget")
	if got := f.appliedKeys(); !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("applied %v", got)
	}
	f.SetWriteRate(1e6)
	eventually(t, "budget refilled", func() bool { return f.Commit(background, insert("c")) == nil })
}

// TestCancelledCallsOnAFrozenPlatform checks that a call cancelled before it was
// sent is never applied, while one cancelled after it was sent is reported as
// unknown and may be applied late.
func TestCancelledCallsOnAFrozenPlatform(t *testing.T) {
	f := newFixture(t, store.Options{MaxConns: 1, Timeout: time.Minute})
	f.setFaults(t, standin.Faults{Outage: standin.OutageFreeze})
	sent, cancelSent := context.WithCancel(background)
	sentDone := make(chan error, 1)
	go func() { sentDone <- f.Commit(sent, insert("sent")) }()
	eventually(t, "call held", func() bool { return f.server.HeldCalls() == 1 })

	waiting, cancelWaiting := context.WithTimeout(background, 10*time.Millisecond)
	defer cancelWaiting()
	wantError(t, f.Commit(waiting, insert("waiting")), store.ErrUnavailable, "busy")

	cancelSent()
	err := <-sentDone
	wantError(t, err, store.ErrUnknown, "cancelled")
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v does not wrap the context's error", err)
	}

	f.setFaults(t, standin.Faults{})
	eventually(t, "late write", func() bool { return len(f.appliedKeys()) > 0 })
	if err := f.Commit(background, insert("last")); err != nil {
		t.Fatal(err)
	}
	if got := f.appliedKeys(); !slices.Equal(got, []string{"sent", "last"}) {
		t.Fatalf("applied %v", got)
	}
}

// TestScanReadsAllPages checks that a scan returns all rows if pages are truncated
// by their bytes and if they are truncated by their rows.
func TestScanReadsAllPages(t *testing.T) {
	f := newFixture(t, store.Options{})
	var bigKeys, smallKeys []string
	for i := range store.MaxScanRows + 2 {
		smallKeys = append(smallKeys, fmt.Sprintf("%04d", i))
		putRow(t, f, "small", smallKeys[i], 1)
	}
	for i := range store.MaxScanBytes/store.MaxValueBytes + 2 {
		bigKeys = append(bigKeys, strings.Repeat("a\x00", i+1))
		putRow(t, f, "big", bigKeys[i], store.MaxValueBytes)
	}
	for _, limit := range []int{0, 1, len(bigKeys) - 1, len(bigKeys) + 1} {
		wantScan(t, f, "big", limit, bigKeys)
	}
	for _, limit := range []int{store.MaxScanRows, store.MaxScanRows + 1, store.MaxScanRows + 9} {
		wantScan(t, f, "small", limit, smallKeys)
	}
}

func putRow(t *testing.T, f *fixture, table, key string, size int) {
	t.Helper()
	ops := []store.Op{{Kind: store.OpInsert, Table: table, Key: key, Value: make([]byte, size)}}
	if err := f.server.Store().Commit(background, ops); err != nil {
		t.Fatal(err)
	}
}

func wantScan(t *testing.T, f *fixture, table string, limit int, keys []string) {
	t.Helper()
	rows, err := f.Scan(background, table, "", limit)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, row := range rows {
		got = append(got, row.Key)
	}
	if want := keys[:min(limit, len(keys))]; !slices.Equal(got, want) {
		t.Fatalf("limit %d: got %d rows %q, want %d", limit, len(got), got, len(want))
	}
}

func TestObjectsAndWeights(t *testing.T) {
	f := newFixture(t, store.Options{})
	if err := f.Objects().Put(background, "o", []byte("whole")); err != nil {
		t.Fatal(err)
	}
	if value, err := f.Objects().Get(background, "o"); err != nil || string(value) != "whole" {
		t.Fatalf("got %q, %v", value, err)
	}
	_, err := f.Objects().Get(background, "none")
	wantError(t, err, store.ErrNotFound, "not_found")

	fetch := store.WeightFetch{ID: "1", Artifact: "m", Target: "t"}
	f.setFaults(t, standin.Faults{LoseReplies: 1, LoseTablePrefix: standin.WeightsTable})
	_, err = f.RequestFetch(background, fetch)
	wantError(t, err, store.ErrUnknown, "reply_lost")
	permit, err := f.RequestFetch(background, fetch)
	if err != nil || !permit.Granted || permit.BytesPerSecond <= 0 || permit.TimeLeft <= 0 {
		t.Fatalf("got %+v, %v", permit, err)
	}
	wantFetches(t, f, 1)
	if err := f.FinishFetch(background, "1"); err != nil {
		t.Fatal(err)
	}
	wantFetches(t, f, 0)
}

func wantFetches(t *testing.T, f *fixture, want int) {
	t.Helper()
	rate, err := f.WeightsRate(background)
	if err != nil || rate.Fetches != want {
		t.Fatalf("got %+v, %v; want %d fetches", rate, err, want)
	}
}

func TestBytesAreCounted(t *testing.T) {
	f := newFixture(t, store.Options{})
	if err := f.Commit(background, insert("a")); err != nil {
		t.Fatal(err)
	}
	if got := f.counter(`walnut_platform_sent_bytes_total{op="commit"}`); got < uint64(len(store.PathCommit)) {
		t.Errorf("%d bytes sent", got)
	}
	if got := f.counter(`walnut_platform_received_bytes_total{op="commit"}`); got < uint64(len(`{"revision":1}`)) {
		t.Errorf("%d bytes received", got)
	}
}
