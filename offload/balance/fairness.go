package balance

import (
	"cmp"
	"slices"
)

// maxMinShares divides capacity among demands by max-min fairness: no demand gets more than it
// asks for, and what small ones leave is divided equally among the others.
func maxMinShares(capacity float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(demands[a], demands[b]) })
	shares := make([]float64, len(demands))
	for rank, i := range order {
		shares[i] = min(demands[i], capacity/float64(len(order)-rank))
		capacity -= shares[i]
	}
	return shares
}
