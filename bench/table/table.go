// Package table writes the results of an experiment: one line for each case,
// with the median and the range of the repeats, and the raw values as CSV.
package table

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// Value is one measured number.
type Value struct {
	// Name includes the unit and is the column's heading.
	Name   string
	Number float64
}

// Row is one repeat of one case.
type Row struct {
	Case   string
	Repeat int
	Values []Value
}

// Write writes one line for each case, in order of first appearance, and the
// machine's load average. Every row must have the same value names in the same
// order.
func Write(out io.Writer, rows []Row) error {
	if len(rows) == 0 {
		return nil
	}
	tabs := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(tabs, "case\tn")
	for _, v := range rows[0].Values {
		fmt.Fprintf(tabs, "\t%s", v.Name)
	}
	fmt.Fprintln(tabs)
	for _, name := range caseNames(rows) {
		writeCase(tabs, name, rows)
	}
	if err := tabs.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "median (least..greatest) of n repeats; load average of the machine at the end: %s\n", LoadAverage())
	return nil
}

func caseNames(rows []Row) []string {
	var names []string
	for _, r := range rows {
		if !slices.Contains(names, r.Case) {
			names = append(names, r.Case)
		}
	}
	return names
}

func writeCase(out io.Writer, name string, rows []Row) {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Case != name })
	fmt.Fprintf(out, "%s\t%d", name, len(rows))
	for i := range rows[0].Values {
		numbers := make([]float64, 0, len(rows))
		for _, r := range rows {
			numbers = append(numbers, r.Values[i].Number)
		}
		slices.Sort(numbers)
		fmt.Fprintf(out, "\t%s (%s..%s)", formatNumber(median(numbers)), formatNumber(numbers[0]), formatNumber(numbers[len(numbers)-1]))
	}
	fmt.Fprintln(out)
}

// median returns the middle of sorted numbers, or the mean of the middle two.
func median(sorted []float64) float64 {
	upper := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[upper]
	}
	return (sorted[upper-1] + sorted[upper]) / 2
}

// formatNumber formats a number with about three significant digits.
func formatNumber(v float64) string {
	switch {
	case v >= 100 || v <= -100 || v == float64(int64(v)):
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2f", v)
	}
}

// WriteCSV writes a header line and one line for each value. It does nothing if
// out is nil.
func WriteCSV(out io.Writer, rows []Row) error {
	if out == nil || len(rows) == 0 {
		return nil
	}
	var text strings.Builder
	text.WriteString("case,repeat,value,number\n")
	for _, r := range rows {
		for _, v := range r.Values {
			fmt.Fprintf(&text, "%q,%d,%q,%g\n", r.Case, r.Repeat, v.Name, v.Number)
		}
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// LoadAverage returns the machine's load averages over 1, 5 and 15 minutes,
// or "unknown".
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
