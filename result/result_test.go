package result

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	pagePath   = "../docs/RESULTS.md"
	tableBegin = "<!-- table: begin -->\n"
	tableEnd   = "<!-- table: end -->\n"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the table in docs/RESULTS.md")

// TestPageMatchesTable keeps docs/RESULTS.md and Table equal. After a change of
// the table run: go test ./result -rewrite
func TestPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok := strings.Cut(string(page), tableBegin)
	current, after, ended := strings.Cut(rest, tableEnd)
	if !ok || !ended {
		t.Fatalf("%s has no table markers", pagePath)
	}
	want := renderTable()
	if current == want {
		return
	}
	if !*rewrite {
		t.Fatalf("%s differs from result.Table(); want\n%s", pagePath, want)
	}
	if err := os.WriteFile(pagePath, []byte(before+tableBegin+want+tableEnd+after), 0o644); err != nil {
		t.Fatal(err)
	}
}

func renderTable() string {
	var b strings.Builder
	b.WriteString("| code | reason | given by | HTTP status | ran | same request again | meaning |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, row := range Table() {
		again := "no"
		if row.Retry {
			again = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %d | %s | %s | %s |\n",
			row.Code, row.Name, row.Filter, row.Status, row.Ran, again, row.Meaning)
	}
	return b.String()
}

func TestTableIsConsistent(t *testing.T) {
	filters := map[int]string{
		0: "settle", 1: "accept", 2: "authenticate", 3: "classify", 4: "guard",
		5: "admit", 6: "grant", 7: "dispatch", 8: "relay", 9: "any", 10: "operators",
	}
	names := make(map[string]bool)
	last := Code(-1)
	for _, row := range Table() {
		if row.Code <= last || names[row.Name] {
			t.Errorf("%d %s: out of order, or a duplicate name", row.Code, row.Name)
		}
		last = row.Code
		names[row.Name] = true
		if row.Filter != filters[int(row.Code)/100] {
			t.Errorf("%d is given by %s", row.Code, row.Filter)
		}
		const clientClosedRequest = 499 // widely used, but not standardised
		if http.StatusText(row.Status) == "" && row.Status != clientClosedRequest {
			t.Errorf("%d has HTTP status %d", row.Code, row.Status)
		}
		if row.Code != OK && row.Status < http.StatusBadRequest {
			t.Errorf("%d is a failure with HTTP status %d", row.Code, row.Status)
		}
		if row.Code.Info() != row {
			t.Errorf("%d: Info gives %v", row.Code, row.Code.Info())
		}
	}
	if unknown := Code(9999).Info(); unknown.Ran != RanUnknown || unknown.Status != http.StatusInternalServerError {
		t.Errorf("an unknown code gives %v", unknown)
	}
}

func TestError(t *testing.T) {
	err := fmt.Errorf("while relaying: %w", Wrap(StreamBroken, io.ErrUnexpectedEOF, "After %d bytes.", 7).WithRetryAfter(time.Second))
	var refusal *Error
	if !errors.As(err, &refusal) || refusal.Ran != RanUnknown || refusal.RetryAfter != time.Second {
		t.Fatalf("got %+v", refusal)
	}
	if !errors.Is(err, io.ErrUnexpectedEOF) || !strings.Contains(err.Error(), "801 (stream_broken): After 7 bytes.: unexpected EOF") {
		t.Errorf("got %v", err)
	}
}
