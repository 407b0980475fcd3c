package config

import "testing"

// TestRevisionOrdersByEraFirst guards against comparing counters alone: a store restored from
// an older copy starts a new era and reuses lower counter values.
func TestRevisionOrdersByEraFirst(t *testing.T) {
	ordered := []Revision{0, 1, 500, NewRevision(1, 0), NewRevision(1, 900), NewRevision(2, 3), NewRevision(2, maxCounter), NewRevision(3, 0)}
	for i, r := range ordered[1:] {
		if r <= ordered[i] {
			t.Errorf("%s is not after %s", r, ordered[i])
		}
	}
	if got := NewRevision(7, 1<<50); got.Era() != 7 || got.Counter() != maxCounter {
		t.Errorf("a counter beyond its bits gives %s", got)
	}
	if got := NewRevision(2, 41); got.String() != "2/41" || NewRevision(0, 41).String() != "41" {
		t.Errorf("revisions are written as %s", got)
	}
}
