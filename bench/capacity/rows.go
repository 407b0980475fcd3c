package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
)

// Value is one measured quantity.
type Value struct {
	// Quantity is the name of the quantity, with its unit.
	Quantity string
	Amount   float64
}

// Row is a value measured in one repeat at one size.
type Row struct {
	// Mechanism is the name of what was measured.
	Mechanism string
	// Variable is the name of the size that was varied.
	Variable string
	Size     float64
	Repeat   int
	Value
}

// csvHeader is the header line of the raw rows.
const csvHeader = "mechanism,variable,size,repeat,quantity,amount\n"

func writeCSV(out io.Writer, rows []Row) {
	for _, r := range rows {
		fmt.Fprintf(out, "%s,%s,%g,%d,%s,%g\n", r.Mechanism, r.Variable, r.Size, r.Repeat, r.Quantity, r.Amount)
	}
}

// series is one quantity of a mechanism at all measured sizes.
type series struct {
	quantity string
	points   []point
}

// point is the median and range of a quantity at one size.
type point struct {
	size             float64
	low, median, max float64
}

// seriesOf groups rows by quantity, each in order of size.
func seriesOf(rows []Row) []series {
	var all []series
	for _, r := range rows {
		if !slices.ContainsFunc(all, func(s series) bool { return s.quantity == r.Quantity }) {
			all = append(all, series{quantity: r.Quantity, points: pointsOf(rows, r.Quantity)})
		}
	}
	return all
}

func pointsOf(rows []Row, quantity string) []point {
	bySize := make(map[float64][]float64)
	for _, r := range rows {
		if r.Quantity == quantity {
			bySize[r.Size] = append(bySize[r.Size], r.Amount)
		}
	}
	var points []point
	for size, amounts := range bySize {
		slices.Sort(amounts)
		points = append(points, point{size, amounts[0], amounts[len(amounts)/2], amounts[len(amounts)-1]})
	}
	slices.SortFunc(points, func(a, b point) int { return int(math.Copysign(1, a.size-b.size)) })
	return points
}

// slope returns the growth per unit of size between the smallest and the largest
// size.
func (s series) slope() float64 {
	first, last := s.points[0], s.points[len(s.points)-1]
	if first.size == last.size {
		return 0
	}
	return (last.median - first.median) / (last.size - first.size)
}

// exponent returns the power of the size with which the quantity grows over the
// larger half of the sizes: 0 is constant, 1 linear. It is NaN if the values do
// not determine it.
func (s series) exponent() float64 {
	from, last := s.points[(len(s.points)-1)/2], s.points[len(s.points)-1]
	if from.size <= 0 || from.size == last.size || from.median <= 0 || last.median <= 0 {
		return math.NaN()
	}
	return math.Log(last.median/from.median) / math.Log(last.size/from.size)
}

// maxConstantChange is the fraction by which a quantity that is called constant
// may change from the smallest size to the largest.
const maxConstantChange = 0.3

// growth names the kind of growth.
func (s series) growth() string {
	exponent := s.exponent()
	first, last := s.points[0].median, s.points[len(s.points)-1].median
	switch {
	case math.IsNaN(exponent):
		return "-"
	case exponent < -0.2:
		return "falls"
	case exponent < 0.2 && math.Abs(last-first) > maxConstantChange*first:
		return "levels off"
	case exponent < 0.2:
		return "constant"
	case exponent < 0.8:
		return "less than linear"
	case exponent < 1.2:
		return "linear"
	default:
		return "more than linear"
	}
}

// writeTable writes each quantity at each size with its range, and its growth.
func writeTable(out io.Writer, mechanism, variable string, rows []Row) {
	fmt.Fprintf(out, "\n%s, by %s: median [least, most] of the repeats\n", mechanism, variable)
	for _, s := range seriesOf(rows) {
		fmt.Fprintf(out, "  %-28s", s.quantity)
		for _, p := range s.points {
			fmt.Fprintf(out, "  %g: %.4g [%.4g, %.4g]", p.size, p.median, p.low, p.max)
		}
		fmt.Fprintf(out, "  slope %.4g  power %.2f  %s\n", s.slope(), s.exponent(), s.growth())
	}
}
