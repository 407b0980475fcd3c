package router

import "testing"

func TestUnreadCountsAreTakenOnce(t *testing.T) {
	var u unreadCounts
	key := unreadKey{pool: "gen", workspace: "a"}
	u.add(key)
	u.add(key)
	u.add(unreadKey{pool: "gen", workspace: "b"})
	if counts := u.take(); len(counts) != 2 || counts[key] != 2 {
		t.Errorf("took %v", counts)
	}
	if counts := u.take(); len(counts) > 0 {
		t.Errorf("took %v again", counts)
	}
}
