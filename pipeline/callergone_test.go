package pipeline

import "testing"

// TestCallerGoneFunctions checks that added functions run once, in order, and that
// removed ones do not run.
func TestCallerGoneFunctions(t *testing.T) {
	var ex Exchange
	var ran []int
	add := func(number int) func() bool { return ex.OnCallerGone(func() { ran = append(ran, number) }) }
	stopFirst := add(1)
	stopSecond := add(2)
	add(3)
	if !stopSecond() || stopSecond() {
		t.Error("stop does not report whether the function was still registered")
	}
	ex.NotifyCallerGone()
	ex.NotifyCallerGone()
	if len(ran) != 2 || ran[0] != 1 || ran[1] != 3 {
		t.Errorf("ran %v", ran)
	}
	if stopFirst() {
		t.Error("stop reports that a function was removed after it had run")
	}
}
