package router

import (
	"testing"

	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/orders"
)

func TestOrderStatus(t *testing.T) {
	states := map[string]orders.Reason{"settled": "", "loads": orders.ReasonLoading}
	for target, want := range map[string]string{"settled": operator.OrdersDone, "loads": "loading", "undeclared": ""} {
		if got := orderStatus(states, target); got != want {
			t.Errorf("%s: %q, want %q", target, got, want)
		}
	}
}
