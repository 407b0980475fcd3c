package router

import (
	"slices"
	"testing"

	"github.com/walnutcove/walnutcove/control"
)

func TestChangesOfTheLiveRouters(t *testing.T) {
	before := []control.NodeID{"a", "b", "d"}
	joined, gone := changes(before, []control.NodeID{"b", "c", "d", "e"})
	if !slices.Equal(joined, []control.NodeID{"c", "e"}) || !slices.Equal(gone, []control.NodeID{"a"}) {
		t.Errorf("joined %v, gone %v", joined, gone)
	}
	if joined, gone := changes(before, before); len(joined)+len(gone) > 0 {
		t.Errorf("joined %v, gone %v where nothing changed", joined, gone)
	}
}
