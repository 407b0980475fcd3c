package router

import (
	"slices"
	"testing"

	"github.com/walnutcove/walnutcove/control"
)

func TestDiffSorted(t *testing.T) {
	before := []control.NodeID{"a", "b", "d"}
	joined, gone := diffSorted(before, []control.NodeID{"b", "c", "d", "e"})
	if !slices.Equal(joined, []control.NodeID{"c", "e"}) || !slices.Equal(gone, []control.NodeID{"a"}) {
		t.Errorf("joined %v, gone %v", joined, gone)
	}
	if joined, gone := diffSorted(before, before); len(joined)+len(gone) > 0 {
		t.Errorf("joined %v, gone %v although nothing changed", joined, gone)
	}
}
