package orders

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/targets"
)

// engine takes orders as docs/TARGETS.md says.
type engine struct{ state targets.OrderState }

func (e *engine) take(o targets.Order) {
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

func (e *engine) loaded() {
	e.state.Models = append(slices.Clone(e.state.Models), e.state.Loading...)
	e.state.Loading = nil
}

var genModels = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID[string])

// Orders of one version that were planned from any old state, and are taken
// late, doubled or out of turn, never undo each other; then a few looks lead to
// the declared state.
func TestOrdersOfOneVersionCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := config.Target{LoadModels: genModels.Draw(t, "declared"), Role: rapid.SampledFrom([]string{"", "x"}).Draw(t, "role")}
		e := &engine{targets.OrderState{Models: genModels.Draw(t, "at first"), Role: "y"}}
		seen := []targets.OrderState{e.state}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			before := e.state
			if rapid.Bool().Draw(t, "loading ends") {
				e.loaded()
			} else {
				e.take(planFor(declared, rapid.SampledFrom(seen).Draw(t, "old state")).order)
			}
			for _, model := range before.Models {
				if slices.Contains(declared.LoadModels, model) && !slices.Contains(e.state.Models, model) {
					t.Fatalf("declared model %s was unloaded", model)
				}
			}
			seen = append(seen, e.state)
		}
		for range len(declared.LoadModels) + 2 {
			if p := planFor(declared, e.state); p.needed {
				e.take(p.order)
			}
			e.loaded()
		}
		if p := planFor(declared, e.state); !p.settled() {
			t.Fatalf("state %+v, plan %+v", e.state, p)
		}
	})
}
