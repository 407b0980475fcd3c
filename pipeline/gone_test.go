package pipeline

import "testing"

// TestCallerGoneFunctions: what was added runs once, in order, and what was taken out
// does not.
func TestCallerGoneFunctions(t *testing.T) {
	var ex Exchange
	var ran []int
	add := func(n int) func() bool { return ex.OnCallerGone(func() { ran = append(ran, n) }) }
	stopFirst := add(1)
	stopSecond := add(2)
	add(3)
	if !stopSecond() || stopSecond() {
		t.Error("stop does not tell whether the function was held")
	}
	ex.CallerWentAway()
	ex.CallerWentAway()
	if len(ran) != 2 || ran[0] != 1 || ran[1] != 3 {
		t.Errorf("ran %v", ran)
	}
	if stopFirst() {
		t.Error("stop says that a function that has run was taken out")
	}
}
