package table

import (
	"strings"
	"testing"
)

func TestWriteGivesMedianAndSpread(t *testing.T) {
	var rows []Row
	for n, v := range []float64{7, 1, 3, 5} {
		rows = append(rows, Row{Case: "even", Repeat: n + 1, Values: []Value{{"ms", v}}})
	}
	rows = append(rows, Row{Case: "one", Repeat: 1, Values: []Value{{"ms", 12.345}}})
	var out strings.Builder
	if err := Write(&out, rows); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	if got := strings.Join(strings.Fields(lines[1]), " "); got != "even 4 4 (1..7)" {
		t.Errorf("got %q", got)
	}
	if got := strings.Join(strings.Fields(lines[2]), " "); got != "one 1 12.3 (12.3..12.3)" {
		t.Errorf("got %q", got)
	}
}
