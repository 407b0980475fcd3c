package orders

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/targets"
)

// simulatedEngine applies orders as docs/TARGETS.md specifies.
type simulatedEngine struct{ state targets.OrderState }

func (e *simulatedEngine) applyOrder(o targets.Order) {
	unwanted := func(model string) bool { return !slices.Contains(o.KeepModels, model) }
	if len(o.KeepModels) > 0 {
		e.state.Models = slices.DeleteFunc(slices.Clone(e.state.Models), unwanted)
		e.state.Loading = slices.DeleteFunc(slices.Clone(e.state.Loading), unwanted)
	}
	known := slices.Contains(e.state.Models, o.LoadModel) || slices.Contains(e.state.Loading, o.LoadModel)
	if o.LoadModel != "" && !known {
		e.state.Loading = append(slices.Clone(e.state.Loading), o.LoadModel)
	}
	if o.Role != "" {
		e.state.Role = o.Role
	}
}

func (e *simulatedEngine) finishLoading() {
	e.state.Models = append(slices.Clone(e.state.Models), e.state.Loading...)
	e.state.Loading = nil
}

var modelsGenerator = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID[string])

// TestOrdersOfOneVersionCommute checks that orders of one version that were planned
// from any earlier state, and are applied late, twice or out of order, never undo
// each other, and that a few checks after that lead to the declared state.
func TestOrdersOfOneVersionCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := config.Target{LoadModels: modelsGenerator.Draw(t, "declared"), Role: rapid.SampledFrom([]string{"", "x"}).Draw(t, "role")}
		e := &simulatedEngine{targets.OrderState{Models: modelsGenerator.Draw(t, "at first"), Role: "y"}}
		seen := []targets.OrderState{e.state}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			before := e.state
			if rapid.Bool().Draw(t, "loading ends") {
				e.finishLoading()
			} else {
				e.applyOrder(planFor(declared, rapid.SampledFrom(seen).Draw(t, "old state")).order)
			}
			for _, model := range before.Models {
				if slices.Contains(declared.LoadModels, model) && !slices.Contains(e.state.Models, model) {
					t.Fatalf("declared model %s was unloaded", model)
				}
			}
			seen = append(seen, e.state)
		}
		for range len(declared.LoadModels) + 2 {
			if p := planFor(declared, e.state); p.hasOrder {
				e.applyOrder(p.order)
			}
			e.finishLoading()
		}
		if p := planFor(declared, e.state); !p.isSettled() {
			t.Fatalf("state %+v, plan %+v", e.state, p)
		}
	})
}
